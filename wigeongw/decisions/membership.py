"""Membership: reachable entry hosts and upstreams that shut down.

The host list of the platform lags behind. An entry host counts as reachable
while its heartbeats arrive. An upstream counts as leaving as soon as the host
list, one of its own responses or another entry host reports it. It remains so
until the host list no longer contains it, or for a fixed time if the host
list still shows it live.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream

# Time for which a report that an upstream leaves remains valid.
LEAVING_TTL_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class LeavingUpstreams:
    """Upstreams that were reported to be leaving.

    Attributes:
        until: expiry time of the report by upstream name, monotonic
            milliseconds.
    """

    until: dict[str, float] = field(default_factory=dict)


def note_leaving(
    leaving: LeavingUpstreams, names: Iterable[str], now: float
) -> LeavingUpstreams:
    """Record that upstreams are leaving and drop expired reports.

    The first report for an upstream determines its expiry time.

    Args:
        leaving: the reports so far.
        names: names of the upstreams that are leaving.
        now: monotonic clock in milliseconds.
    """
    until = {n: t for n, t in leaving.until.items() if now < t}
    for name in names:
        until.setdefault(name, now + LEAVING_TTL_MS)
    return LeavingUpstreams(until)


def forget_unlisted(
    leaving: LeavingUpstreams, listing: HostListing
) -> LeavingUpstreams:
    """Drop the reports for upstreams that are no longer in the host list."""
    listed = {u.name for u in listing.upstreams}
    return LeavingUpstreams(
        {n: t for n, t in leaving.until.items() if n in listed}
    )


def with_leaving(
    upstreams: Iterable[Upstream], leaving: LeavingUpstreams
) -> tuple[Upstream, ...]:
    """Return upstreams with the state of those that are leaving updated."""
    return tuple(
        replace(u, state=HostState.LEAVING) if u.name in leaving.until else u
        for u in upstreams
    )


def reachable(
    hosts: Iterable[EntryHost],
    heard_at: dict[str, float],
    this_host: str,
    suspect_ms: float,
    now: float,
) -> tuple[EntryHost, ...]:
    """Return the entry hosts with recent heartbeats, including this host.

    Args:
        hosts: all known entry hosts.
        heard_at: time of the last heartbeat by host name, monotonic
            milliseconds.
        this_host: name of this entry host.
        suspect_ms: time without a heartbeat after which a host counts as
            unreachable.
        now: monotonic clock in milliseconds.
    """
    return tuple(
        h
        for h in hosts
        if h.name == this_host
        or now - heard_at.get(h.name, float("-inf")) < suspect_ms
    )


def choose_grantor(
    pool: str, availability_zone: str, hosts: Iterable[EntryHost]
) -> str | None:
    """Choose the entry host that should be the grantor of a pool.

    Hosts in the availability zone of the pool are preferred, so that a zone
    that is partitioned from the others can still serve requests.

    Args:
        pool: name of the pool.
        availability_zone: availability zone of the pool.
        hosts: the reachable entry hosts.

    Returns:
        The host name, or None when there is no live host.
    """
    live_hosts = [h for h in hosts if h.state is HostState.LIVE]
    in_zone = [
        h for h in live_hosts if h.availability_zone == availability_zone
    ]
    names = [h.name for h in (in_zone or live_hosts)]
    return next(iter(rank_by_rendezvous(pool, names)), None)


def upstreams_when_isolated(
    this_host: str, upstreams: Iterable[str], hosts: Iterable[str], slots: int
) -> tuple[str, ...]:
    """Return the upstreams that an isolated entry host may use.

    Each upstream is assigned to as many hosts as it has slots, and each of
    them may send one request at a time. All isolated hosts together stay
    within the slots as long as they agree on the membership. A host without
    an assigned upstream uses the one that ranks first for it.

    Args:
        this_host: name of this entry host.
        upstreams: names of the warm upstreams of a pool.
        hosts: names of all known entry hosts.
        slots: the number of requests that one upstream runs concurrently.
    """
    names = tuple(hosts)
    candidates = tuple(upstreams)
    assigned = tuple(
        u
        for u in candidates
        if this_host in rank_by_rendezvous(u, names, slots)
    )
    return assigned or tuple(rank_by_rendezvous(this_host, candidates))
