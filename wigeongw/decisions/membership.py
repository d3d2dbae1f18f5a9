"""Membership: reachable entry hosts and upstreams that shut down.

The host list of the platform lags behind. An entry host counts as reachable
while its heartbeats arrive. An upstream counts as leaving as soon as the host
list, one of its own responses or another entry host reports it.

What an upstream reports to this host itself holds for a fixed time after its
latest report, whatever the host list shows meanwhile, and ends when a later
start of it answers otherwise. Only that is told to other hosts: reports that
are passed on again and again would keep each other alive. What other hosts
report holds for a fixed time, or until the host list no longer contains the
upstream.
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
class LeavingReport:
    """That an upstream leaves.

    Attributes:
        until: expiry time, monotonic milliseconds.
        is_own: whether the upstream said so to this host itself.
        start: identity of the start that said so; empty when unknown.
    """

    until: float
    is_own: bool = False
    start: str = ""


@dataclass(frozen=True, slots=True)
class LeavingUpstreams:
    """Upstreams that were reported to be leaving.

    Attributes:
        reports: the reports by upstream name.
    """

    reports: dict[str, LeavingReport] = field(default_factory=dict)

    def own_reports(self) -> tuple[str, ...]:
        """Return the upstreams that told this host themselves."""
        return tuple(n for n, report in self.reports.items() if report.is_own)


def note_leaving(
    leaving: LeavingUpstreams, names: Iterable[str], now: float
) -> LeavingUpstreams:
    """Record what others report, and drop expired reports.

    The first report for an upstream determines its expiry time.

    Args:
        leaving: the reports so far.
        names: names of the upstreams that are leaving.
        now: monotonic clock in milliseconds.
    """
    reports = {n: r for n, r in leaving.reports.items() if now < r.until}
    for name in names:
        reports.setdefault(name, LeavingReport(now + LEAVING_TTL_MS))
    return LeavingUpstreams(reports)


def note_own_leaving(
    leaving: LeavingUpstreams, name: str, start: str, now: float
) -> LeavingUpstreams:
    """Record that an upstream said itself that it leaves."""
    report = LeavingReport(now + LEAVING_TTL_MS, True, start)
    return LeavingUpstreams({**leaving.reports, name: report})


def note_serving(
    leaving: LeavingUpstreams, name: str, start: str
) -> LeavingUpstreams:
    """Record an answer of an upstream that does not say that it leaves.

    A late answer of the start that leaves changes nothing.
    """
    report = leaving.reports.get(name)
    if report is None or not report.start or report.start == start:
        return leaving
    rest = {n: r for n, r in leaving.reports.items() if n != name}
    return LeavingUpstreams(rest)


def forget_unlisted(
    leaving: LeavingUpstreams, listing: HostListing
) -> LeavingUpstreams:
    """Drop what others told of upstreams that the host list lacks now.

    A host to which the upstream reported it tells it again.
    """
    listed = {u.name for u in listing.upstreams}
    return LeavingUpstreams(
        {
            name: report
            for name, report in leaving.reports.items()
            if report.is_own or name in listed
        }
    )


def with_leaving(
    upstreams: Iterable[Upstream], leaving: LeavingUpstreams
) -> tuple[Upstream, ...]:
    """Return upstreams with the state of those that are leaving updated."""
    return tuple(
        replace(u, state=HostState.LEAVING) if u.name in leaving.reports else u
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
