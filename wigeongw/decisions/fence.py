"""Whether a grantor may be sure that there is no other.

A fence is a key in the store that lives as long as its owner's lease. While
the store is away the lease cannot be renewed, but then nobody else can take
the key either. So an owner goes on as long as it hears from every other entry
host it knows and none of them reaches the store.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

FENCE_MARGIN_MS = 300.0


@dataclass(frozen=True, slots=True)
class Fence:
    """Who owns a pool, as the store last said.

    Attributes:
        host: the owner; empty since the fence was given up.
        epoch: rises with each change; a store revision.
    """

    pool: str
    host: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PeerNews:
    """What another entry host last told.

    Attributes:
        heard_at: when, monotonic milliseconds here.
        store_silent_ms: since it last reached the store.
    """

    heard_at: float
    store_silent_ms: float


@dataclass(frozen=True, slots=True)
class LeaseState:
    """This entry host's own lease.

    Attributes:
        ends_at: the last renewal's sending time plus the lifetime.
        lifetime_ms: what the store was asked for.
    """

    ends_at: float
    lifetime_ms: float


def fence_holds(
    lease: LeaseState,
    peers: Mapping[str, PeerNews],
    suspect_ms: float,
    now: float,
) -> bool:
    """Decide whether fences of this entry host still exclude others.

    Args:
        lease: the own lease.
        peers: every other entry host that may be running.
        suspect_ms: news older than this counts as none.
        now: monotonic milliseconds.

    Returns:
        True when the lease runs, or when the store is away for everybody.
    """
    if now < lease.ends_at - FENCE_MARGIN_MS:
        return True
    if lease.ends_at == float("-inf"):
        return False
    lapsed_ms = now - lease.ends_at
    return all(
        now - peer.heard_at < suspect_ms
        and peer.store_silent_ms > lapsed_ms + FENCE_MARGIN_MS
        for peer in peers.values()
    )


def newest(
    known: Mapping[str, Fence], heard: Iterable[Fence]
) -> dict[str, Fence]:
    """Merge fences; the higher epoch of a pool wins."""
    merged = dict(known)
    for fence in heard:
        mine = merged.get(fence.pool)
        if mine is None or fence.epoch > mine.epoch:
            merged[fence.pool] = fence
    return merged


def missing(
    known: Mapping[str, Fence], present: Iterable[Fence], revision: int
) -> list[Fence]:
    """Return as given up what a reading of the store no longer shows.

    Args:
        known: what was believed before.
        present: what the reading showed.
        revision: of the store at the reading.
    """
    shown = {f.pool for f in present}
    return [
        Fence(f.pool, "", revision)
        for f in known.values()
        if f.host and f.pool not in shown and f.epoch < revision
    ]
