"""Fences: locks in the store that exclude a second grantor of a pool.

A fence is a key that exists as long as its owner's lease. While the store is
unavailable, the lease cannot be renewed, but no other host can acquire the key
either. The owner therefore keeps its fences past the end of the lease as long
as it receives heartbeats from every other known entry host and none of them
reaches the store.

A store that comes back from an older copy of itself gives its revisions out
again. Such a return is told by a full reading that contradicts what was known
before it was sent; hosts count the returns, and an epoch means something in
its own era only.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

# The lease alone is relied on until this long before it expires. After that,
# every peer must have lost the store more than this long before the expiry.
FENCE_MARGIN_MS = 300.0


@dataclass(frozen=True, slots=True)
class Fence:
    """Ownership of a pool's fence, as last read from the store.

    Attributes:
        host: the owner; empty if the fence is free.
        epoch: store revision of the last change; increases with each change
            of an era.
        era: how many returns of the store from an older copy were known.
    """

    pool: str
    host: str
    epoch: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """State of another entry host from its last heartbeat.

    Attributes:
        received_at: when the heartbeat arrived, local monotonic milliseconds.
        store_silent_ms: time since the host last reached the store.
    """

    received_at: float
    store_silent_ms: float


@dataclass(frozen=True, slots=True)
class LeaseState:
    """This entry host's own lease.

    Attributes:
        expires_at: when the last renewal was sent, plus the lifetime.
        lifetime_ms: lifetime requested from the store.
    """

    expires_at: float
    lifetime_ms: float


NO_LEASE = LeaseState(float("-inf"), 0.0)


def are_exclusive(
    lease: LeaseState,
    peers: Mapping[str, PeerStatus],
    suspect_ms: float,
    now: float,
) -> bool:
    """Return whether the fences of this entry host exclude other grantors.

    Args:
        lease: lease of this entry host.
        peers: every other entry host that may be running.
        suspect_ms: a heartbeat of this age or more is ignored.
        now: monotonic milliseconds.

    Returns:
        True if the lease has not expired, or if no peer can reach the store
        either.
    """
    if now < lease.expires_at - FENCE_MARGIN_MS:
        return True
    if lease == NO_LEASE:
        return False
    lapsed_ms = now - lease.expires_at
    return all(
        now - peer.received_at < suspect_ms
        and peer.store_silent_ms > lapsed_ms + FENCE_MARGIN_MS
        for peer in peers.values()
    )


def newest_by_pool(
    known: Mapping[str, Fence], heard: Iterable[Fence]
) -> dict[str, Fence]:
    """Merge fences; for each pool the latest era wins, then the epoch."""
    merged = dict(known)
    for fence in heard:
        current = merged.get(fence.pool)
        if current is None or _age(fence) > _age(current):
            merged[fence.pool] = fence
    return merged


def _age(fence: Fence) -> tuple[int, int]:
    return fence.era, fence.epoch


def shows_return(
    known: Mapping[str, Fence],
    present: Iterable[Fence],
    revision: int,
    era: int,
) -> bool:
    """Return whether a reading proves that the store lost changes.

    Args:
        known: fences known before the read was sent, by pool.
        present: fences that the read returned.
        revision: store revision of the read.
        era: the era known before the read was sent.
    """
    epochs = {fence.pool: fence.epoch for fence in present}
    return any(
        fence.epoch > min(revision, epochs.get(fence.pool, revision))
        for fence in known.values()
        if fence.era == era
    )


def released_fences(
    known: Mapping[str, Fence],
    present: Iterable[Fence],
    revision: int,
    era: int = 0,
) -> list[Fence]:
    """Return the fences that a read of the store no longer contains.

    Args:
        known: fences known before the read, by pool.
        present: fences that the read returned.
        revision: store revision of the read; fences of its era with an epoch
            at or above it are skipped.
        era: era of the read.

    Returns:
        Each missing fence as free, with the read's revision as its epoch.
    """
    present_pools = {f.pool for f in present}
    return [
        Fence(f.pool, "", revision, era)
        for f in known.values()
        if f.host and f.pool not in present_pools and _age(f) < (era, revision)
    ]
