"""State of the site as one entry host knows it, and functions of that state.

The site is all entry hosts and upstreams that share one store and host list.
Its state is immutable and replaced on every update; the functions derive the
grantor of each pool and the views of the pools from it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeongw.core.identifiers import pool_name
from wigeongw.core.identifiers import pool_service
from wigeongw.core.identifiers import pool_zone
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream
from wigeongw.decisions import fence as fences
from wigeongw.decisions import membership
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import NO_LEASE
from wigeongw.decisions.fence import PeerStatus
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.membership import LeavingUpstreams
from wigeongw.decisions.sharing import PoolView
from wigeongw.settings.schema import Settings

NEVER = float("-inf")
FIXED_SHARING = "fixed"
# One day; for heartbeats of hosts that are no longer listed.
PEER_STATUS_TTL_MS = 86_400_000.0


@dataclass(frozen=True)
class SiteState:
    """State of the site; times are local monotonic milliseconds.

    Attributes:
        me: this entry host, as it appears in the host list.
        settings: settings in force; None before the first revision.
        revision: revision of these settings.
        listing: host list as last read.
        leaving: upstreams that are shutting down.
        peer_statuses: last heartbeat of each other entry host, by host.
        departing_hosts: entry hosts that announced their shutdown.
        connected_hosts: hosts to which this host has an open stream.
        fences: fences as last read or announced, by pool.
        store_era: how many returns of the store from an older copy are known.
        lease: lease of this entry host.
        store_responded_at: when the store last responded to this host.
        upstreams: last view of each upstream from its grantor, by name.
        upstreams_by_pool: listed upstreams of each pool.
    """

    me: EntryHost
    settings: Settings | None = None
    revision: int = 0
    listing: HostListing = field(default_factory=HostListing)
    leaving: LeavingUpstreams = field(default_factory=LeavingUpstreams)
    peer_statuses: Mapping[str, PeerStatus] = field(default_factory=dict)
    departing_hosts: frozenset[str] = frozenset()
    connected_hosts: frozenset[str] = frozenset()
    fences: Mapping[str, Fence] = field(default_factory=dict)
    store_era: int = 0
    lease: LeaseState = NO_LEASE
    store_responded_at: float = NEVER
    upstreams: Mapping[str, UpstreamView] = field(default_factory=dict)
    upstreams_by_pool: Mapping[str, tuple[Upstream, ...]] = field(
        default_factory=dict
    )


def with_listing(
    site: SiteState, listing: HostListing, now: float
) -> SiteState:
    """Return the state with a new host list.

    Views of upstreams that are no longer listed are dropped. Heartbeats of
    unlisted hosts are dropped after PEER_STATUS_TTL_MS.
    """
    hosts = {h.name for h in listing.entry_hosts}
    names = {u.name for u in listing.upstreams}
    upstreams_by_pool: dict[str, list[Upstream]] = {}
    for upstream in listing.upstreams:
        pool = pool_name(upstream.service, upstream.availability_zone)
        upstreams_by_pool.setdefault(pool, []).append(upstream)
    return replace(
        site,
        listing=listing,
        upstreams_by_pool={
            pool: tuple(found) for pool, found in upstreams_by_pool.items()
        },
        upstreams={n: v for n, v in site.upstreams.items() if n in names},
        peer_statuses={
            name: status
            for name, status in site.peer_statuses.items()
            if name in hosts or now - status.received_at < PEER_STATUS_TTL_MS
        },
        departing_hosts=site.departing_hosts & hosts,
    )


def entry_hosts(site: SiteState) -> tuple[EntryHost, ...]:
    """Return all known entry hosts, this one first.

    Hosts that announced their shutdown are marked as leaving.
    """
    others = (h for h in site.listing.entry_hosts if h.name != site.me.name)
    return (
        site.me,
        *(
            replace(h, state=HostState.LEAVING)
            if h.name in site.departing_hosts
            else h
            for h in others
        ),
    )


def reachable(site: SiteState, now: float) -> tuple[EntryHost, ...]:
    """Return the entry hosts with a recent heartbeat, and this one."""
    suspect_ms = site.settings.membership.suspect_ms if site.settings else 0.0
    received_at = {
        name: n.received_at for name, n in site.peer_statuses.items()
    }
    return membership.reachable(
        entry_hosts(site), received_at, site.me.name, suspect_ms, now
    )


def pools(site: SiteState) -> tuple[str, ...]:
    """Return the names of all pools, in the order of the settings."""
    if site.settings is None:
        return ()
    return tuple(
        pool_name(service, availability_zone)
        for service in site.settings.services
        for availability_zone in site.settings.availability_zones
    )


def is_open(site: SiteState, pool: str) -> bool:
    """Return whether the pool's availability zone takes new requests."""
    if site.settings is None:
        return False
    zone = site.settings.availability_zones.get(pool_zone(pool))
    return zone is not None and zone.state == "in"


def zones_out(site: SiteState) -> frozenset[str]:
    """Return the availability zones that are out of service."""
    if site.settings is None:
        return frozenset()
    zones = site.settings.availability_zones.items()
    return frozenset(
        name for name, zone_settings in zones if zone_settings.state == "out"
    )


def upstreams_of(site: SiteState, pool: str) -> tuple[Upstream, ...]:
    """Return a pool's upstreams; those shutting down are marked leaving."""
    return membership.with_leaving(
        site.upstreams_by_pool.get(pool, ()), site.leaving
    )


def grantors(site: SiteState, now: float) -> dict[str, str | None]:
    """Return the grantor of each pool; None while it cannot be reached.

    A fence owner without heartbeats keeps the pool until it is suspect, so
    that a short interruption does not lead to two grantors.
    """
    reachable_hosts = reachable(site, now)
    return {
        pool: _grantor_of(site, pool, reachable_hosts) for pool in pools(site)
    }


def _grantor_of(
    site: SiteState, pool: str, reachable_hosts: tuple[EntryHost, ...]
) -> str | None:
    names = {h.name for h in reachable_hosts}
    fence = site.fences.get(pool)
    if fence is not None and fence.host in names:
        chosen: str | None = fence.host
    else:
        chosen = membership.choose_grantor(
            pool, pool_zone(pool), reachable_hosts
        )
    if chosen == site.me.name or chosen in site.connected_hosts:
        return chosen
    return None


def is_preferred_grantor(
    site: SiteState, pool: str, reachable_hosts: Iterable[EntryHost]
) -> bool:
    """Return whether this host should acquire a pool's fence if it is free.

    Args:
        site: the site's state.
        pool: name of the pool.
        reachable_hosts: entry hosts that are reachable now.
    """
    preferred = membership.choose_grantor(
        pool, pool_zone(pool), reachable_hosts
    )
    return preferred == site.me.name


def are_fences_exclusive(site: SiteState, now: float) -> bool:
    """Return whether this host's fences still exclude other grantors."""
    if site.settings is None:
        return False
    others = {
        h.name: site.peer_statuses.get(h.name, PeerStatus(NEVER, 0.0))
        for h in entry_hosts(site)[1:]
    }
    return fences.are_exclusive(
        site.lease, others, site.settings.membership.suspect_ms, now
    )


def owns_fence(site: SiteState, pool: str, fences_exclusive: bool) -> bool:
    """Return whether no other entry host can be the pool's grantor.

    Args:
        site: the site's state.
        pool: name of the pool.
        fences_exclusive: current result of are_fences_exclusive.
    """
    fence = site.fences.get(pool)
    return (
        fences_exclusive
        and fence is not None
        and fence.host == site.me.name
        and fence.era == site.store_era
    )


def takeover(
    site: SiteState, pool: str, incarnation: int, now: float
) -> Takeover:
    """Return the initial state of a new grantor of a pool.

    Every entry host that is listed or sent a heartbeat within the service's
    longest deadline may have a request in flight until that deadline has
    passed.
    """
    assert site.settings is not None
    max_deadline_ms = site.settings.services[
        pool_service(pool)
    ].deadline_most_ms
    names = {h.name for h in entry_hosts(site)}
    names |= {
        name
        for name, status in site.peer_statuses.items()
        if now - status.received_at < max_deadline_ms
    }
    until = dict.fromkeys(names, now + max_deadline_ms)
    return Takeover(incarnation, dict(site.upstreams), until)


def round_trip_ms(site: SiteState, pool: str) -> float:
    """Return the network round trip to a pool's availability zone."""
    if site.settings is None:
        return 0.0
    zone_name = pool_zone(pool)
    if zone_name == site.me.availability_zone:
        return 0.0
    zone = site.settings.availability_zones.get(zone_name)
    return 2.0 * zone.distance_ms if zone else 0.0


def pool_view(site: SiteState, pool: str, grantor: str | None) -> PoolView:
    """Return the view of a pool that this host's holder needs."""
    names = tuple(
        u.name for u in upstreams_of(site, pool) if u.state is HostState.LIVE
    )
    floor: tuple[str, ...] = ()
    if grantor is None or _shares_are_fixed(site):
        floor = _floor_upstreams(site, pool, names)
    return PoolView(
        pool,
        grantor,
        round_trip_ms(site, pool),
        is_open(site, pool),
        names,
        floor,
    )


def service_views(
    site: SiteState, service: str, chosen: Mapping[str, str | None]
) -> list[PoolView]:
    """Return the views of a service's pools, nearest first.

    Args:
        site: the site's state.
        service: name of the service.
        chosen: the grantor of each pool.
    """
    assert site.settings is not None
    names = (
        pool_name(service, zone) for zone in site.settings.availability_zones
    )
    views = [pool_view(site, pool, chosen[pool]) for pool in names]
    return sorted(views, key=lambda v: v.round_trip_ms)


def _shares_are_fixed(site: SiteState) -> bool:
    return bool(
        site.settings and site.settings.permits.sharing == FIXED_SHARING
    )


def _floor_upstreams(
    site: SiteState, pool: str, names: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the upstreams that this host may use without a grantor.

    With fixed shares these are taken from all of the given upstreams; else
    only warm ones are used.
    """
    assert site.settings is not None
    slots = site.settings.services[pool_service(pool)].slots
    hosts = [h.name for h in entry_hosts(site)]
    if _shares_are_fixed(site):
        return membership.upstreams_when_isolated(
            site.me.name, names, hosts, slots
        )
    warm = [n for n in names if n in site.upstreams and site.upstreams[n].warm]
    return membership.upstreams_when_isolated(site.me.name, warm, hosts, slots)
