"""Who is there: entry hosts by heartbeats, upstreams by any first sign.

The platform's list lags. An entry host counts as reachable while it is heard.
An upstream counts as leaving as soon as the list, one of its own responses or
any other entry host says so, and stays so until the list has forgotten it or
shows it live long after.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeongw.core.identity import rendezvous
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream

LEAVING_STICKS_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class Leaving:
    """Upstreams that are on their way out.

    Attributes:
        until: per name, when the word of it is too old, monotonic ms.
    """

    until: dict[str, float] = field(default_factory=dict)


def note_leaving(
    leaving: Leaving, names: Iterable[str], now: float
) -> Leaving:
    """Take in a sign that upstreams leave; the first sign sets the time."""
    until = {n: t for n, t in leaving.until.items() if now < t}
    for name in names:
        until.setdefault(name, now + LEAVING_STICKS_MS)
    return Leaving(until)


def forget_unlisted(leaving: Leaving, listing: HostListing) -> Leaving:
    """Drop upstreams that the list no longer has."""
    listed = {u.name for u in listing.upstreams}
    return Leaving({n: t for n, t in leaving.until.items() if n in listed})


def with_leaving(
    upstreams: Iterable[Upstream], leaving: Leaving
) -> tuple[Upstream, ...]:
    """Return upstreams with the first sign of leaving applied."""
    return tuple(
        replace(u, state=HostState.LEAVING) if u.name in leaving.until else u
        for u in upstreams
    )


def reachable(
    hosts: Iterable[EntryHost],
    heard_at: dict[str, float],
    me: str,
    suspect_ms: float,
    now: float,
) -> tuple[EntryHost, ...]:
    """Return the entry hosts that are heard, this one included.

    Args:
        hosts: all that are known.
        heard_at: when each was last heard, monotonic milliseconds.
        me: this entry host.
        suspect_ms: silence after which one counts as gone.
        now: monotonic milliseconds.
    """
    return tuple(
        h
        for h in hosts
        if h.name == me
        or now - heard_at.get(h.name, float("-inf")) < suspect_ms
    )


def candidate(
    pool: str, availability_zone: str, hosts: Iterable[EntryHost]
) -> str | None:
    """Choose who should be the grantor of a pool.

    Hosts of the pool's own availability zone go first, so that a zone which
    is cut off can still serve itself.

    Returns:
        A name, or None when there is no host.
    """
    staying = [h for h in hosts if h.state is HostState.LIVE]
    near = [h for h in staying if h.availability_zone == availability_zone]
    names = [h.name for h in (near or staying)]
    return next(iter(rendezvous(pool, names)), None)


def floor_of(
    me: str, upstreams: Iterable[str], hosts: Iterable[str], slots: int
) -> tuple[str, ...]:
    """Return the upstreams this entry host may use while cut off.

    Each upstream is given to as many hosts as it has slots, one request at a
    time each, so that all floors together stay within the slots while the
    hosts agree on who is there. A host that got none takes its best one.

    Args:
        me: this entry host.
        upstreams: the warm ones of a pool.
        hosts: all entry hosts that are known.
        slots: requests that one upstream runs side by side.
    """
    names = tuple(hosts)
    all_upstreams = tuple(upstreams)
    mine = tuple(u for u in all_upstreams if me in rendezvous(u, names, slots))
    return mine or tuple(rendezvous(me, all_upstreams))
