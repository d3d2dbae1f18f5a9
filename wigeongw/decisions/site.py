"""What one entry host knows of its site, and what follows from it.

The state is replaced as a whole on every piece of news; the functions below
work out from it who shares out which pool and what each pool can take.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeongw.core.identity import pool_name
from wigeongw.core.identity import pool_service
from wigeongw.core.identity import pool_zone
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream
from wigeongw.decisions import fence as fences
from wigeongw.decisions import membership
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import PeerNews
from wigeongw.decisions.grantor import Takeover
from wigeongw.decisions.grantor import UpstreamView
from wigeongw.decisions.membership import Leaving
from wigeongw.decisions.sharing import PoolView
from wigeongw.settings.model import Settings

NEVER = float("-inf")
FIXED = "fixed"
FORGET_MS = 86_400_000.0


@dataclass(frozen=True)
class Site:
    """What one entry host knows; times are its monotonic milliseconds.

    Attributes:
        me: this entry host, as the list would show it.
        settings: in force; None before the first revision.
        listing: the last reading of the host list.
        news: the last heartbeat of each other entry host.
        gone_hosts: entry hosts that said they leave.
        links_up: hosts to which the own stream stands.
        store_heard_at: when the store last answered this host.
        upstreams: the last word of each upstream's grantor.
        by_pool: the listed upstreams of each pool.
    """

    me: EntryHost
    settings: Settings | None = None
    revision: int = 0
    listing: HostListing = field(default_factory=HostListing)
    leaving: Leaving = field(default_factory=Leaving)
    news: Mapping[str, PeerNews] = field(default_factory=dict)
    gone_hosts: frozenset[str] = frozenset()
    links_up: frozenset[str] = frozenset()
    fences: Mapping[str, Fence] = field(default_factory=dict)
    lease: LeaseState = LeaseState(NEVER, 0.0)
    store_heard_at: float = NEVER
    upstreams: Mapping[str, UpstreamView] = field(default_factory=dict)
    by_pool: Mapping[str, tuple[Upstream, ...]] = field(default_factory=dict)


def with_listing(site: Site, listing: HostListing, now: float) -> Site:
    """Take in a host list; its upstreams are sorted into pools once.

    What was known of hosts and upstreams that are long gone is forgotten.
    """
    hosts = {h.name for h in listing.entry_hosts}
    names = {u.name for u in listing.upstreams}
    by_pool: dict[str, list[Upstream]] = {}
    for upstream in listing.upstreams:
        pool = pool_name(upstream.service, upstream.availability_zone)
        by_pool.setdefault(pool, []).append(upstream)
    return replace(
        site,
        listing=listing,
        by_pool={pool: tuple(found) for pool, found in by_pool.items()},
        upstreams={n: v for n, v in site.upstreams.items() if n in names},
        news={
            name: news
            for name, news in site.news.items()
            if name in hosts or now - news.heard_at < FORGET_MS
        },
        gone_hosts=site.gone_hosts & hosts,
    )


def entry_hosts(site: Site) -> tuple[EntryHost, ...]:
    """Return all known entry hosts, this one first."""
    others = (h for h in site.listing.entry_hosts if h.name != site.me.name)
    return (
        site.me,
        *(
            replace(h, state=HostState.LEAVING)
            if h.name in site.gone_hosts
            else h
            for h in others
        ),
    )


def reachable(site: Site, now: float) -> tuple[EntryHost, ...]:
    """Return the entry hosts that were heard lately, this one included."""
    suspect = site.settings.membership.suspect_ms if site.settings else 0.0
    heard = {name: n.heard_at for name, n in site.news.items()}
    return membership.reachable(
        entry_hosts(site), heard, site.me.name, suspect, now
    )


def pools(site: Site) -> tuple[str, ...]:
    """Return the names of all pools, in the order of the settings."""
    if site.settings is None:
        return ()
    return tuple(
        pool_name(service, availability_zone)
        for service in site.settings.services
        for availability_zone in site.settings.availability_zones
    )


def is_open(site: Site, pool: str) -> bool:
    """Whether the pool's availability zone takes new requests."""
    if site.settings is None:
        return False
    zone = site.settings.availability_zones.get(pool_zone(pool))
    return zone is not None and zone.state == "in"


def zones_out(site: Site) -> frozenset[str]:
    """Return the availability zones that are out of service."""
    if site.settings is None:
        return frozenset()
    zones = site.settings.availability_zones.items()
    return frozenset(name for name, its in zones if its.state == "out")


def upstreams_of(site: Site, pool: str) -> tuple[Upstream, ...]:
    """Return a pool's upstreams, with those that leave marked."""
    return membership.with_leaving(site.by_pool.get(pool, ()), site.leaving)


def grantors(site: Site, now: float) -> dict[str, str | None]:
    """Return whom to ask for permits of each pool, None while cut off.

    A fence's owner that fell silent keeps the pool until it is suspect, so
    that a short break does not make two grantors.
    """
    near = reachable(site, now)
    return {pool: _grantor_of(site, pool, near) for pool in pools(site)}


def _grantor_of(
    site: Site, pool: str, near: tuple[EntryHost, ...]
) -> str | None:
    names = {h.name for h in near}
    fence = site.fences.get(pool)
    if fence is not None and fence.host in names:
        chosen: str | None = fence.host
    else:
        chosen = membership.candidate(pool, pool_zone(pool), near)
    if chosen == site.me.name or chosen in site.links_up:
        return chosen
    return None


def is_candidate(site: Site, pool: str, near: Iterable[EntryHost]) -> bool:
    """Whether this entry host should take a pool's fence when it is free.

    Args:
        site: what is known.
        pool: which.
        near: the hosts that are reachable at this moment.
    """
    found = membership.candidate(pool, pool_zone(pool), near)
    return found == site.me.name


def lease_holds(site: Site, now: float) -> bool:
    """Whether the fences that are ours still exclude everybody else."""
    if site.settings is None:
        return False
    others = {
        h.name: site.news.get(h.name, PeerNews(NEVER, 0.0))
        for h in entry_hosts(site)[1:]
    }
    return fences.fence_holds(
        site.lease, others, site.settings.membership.suspect_ms, now
    )


def owns_fence(site: Site, pool: str, holds: bool) -> bool:
    """Whether no other entry host can be the pool's grantor.

    Args:
        site: what is known.
        pool: which.
        holds: what lease_holds said at this moment.
    """
    fence = site.fences.get(pool)
    return holds and fence is not None and fence.host == site.me.name


def takeover(site: Site, pool: str, incarnation: int, now: float) -> Takeover:
    """Return what a new grantor of a pool starts from.

    Every entry host that is listed, or was heard until lately, may have a
    request in flight until the longest deadline has passed.
    """
    assert site.settings is not None
    longest = site.settings.services[pool_service(pool)].deadline_most_ms
    names = {h.name for h in entry_hosts(site)}
    names |= {n for n, w in site.news.items() if now - w.heard_at < longest}
    until = dict.fromkeys(names, now + longest)
    return Takeover(incarnation, dict(site.upstreams), until)


def round_trip_ms(site: Site, pool: str) -> float:
    """Return the travel to a pool's availability zone and back."""
    if site.settings is None:
        return 0.0
    there = pool_zone(pool)
    if there == site.me.availability_zone:
        return 0.0
    zone = site.settings.availability_zones.get(there)
    return 2.0 * zone.distance_ms if zone else 0.0


def pool_view(site: Site, pool: str, grantor: str | None) -> PoolView:
    """Return what this entry host's holder needs to know of a pool."""
    names = tuple(
        u.name for u in upstreams_of(site, pool) if u.state is HostState.LIVE
    )
    floor: tuple[str, ...] = ()
    if grantor is None or _shares_are_fixed(site):
        floor = _floor(site, pool, names)
    return PoolView(
        pool,
        grantor,
        round_trip_ms(site, pool),
        is_open(site, pool),
        names,
        floor,
    )


def service_views(
    site: Site, service: str, chosen: Mapping[str, str | None]
) -> list[PoolView]:
    """Return the views of a service's pools, nearest first.

    Args:
        site: what is known.
        service: which.
        chosen: the grantors of all pools.
    """
    assert site.settings is not None
    names = (
        pool_name(service, zone) for zone in site.settings.availability_zones
    )
    views = [pool_view(site, pool, chosen[pool]) for pool in names]
    return sorted(views, key=lambda v: v.round_trip_ms)


def _shares_are_fixed(site: Site) -> bool:
    return bool(site.settings and site.settings.permits.sharing == FIXED)


def _floor(site: Site, pool: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the warm upstreams that this host may use while cut off."""
    assert site.settings is not None
    slots = site.settings.services[pool_service(pool)].slots
    hosts = [h.name for h in entry_hosts(site)]
    if _shares_are_fixed(site):
        return membership.floor_of(site.me.name, names, hosts, slots)
    warm = [n for n in names if n in site.upstreams and site.upstreams[n].warm]
    return membership.floor_of(site.me.name, warm, hosts, slots)
