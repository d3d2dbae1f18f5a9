"""The budget for asking upstreams about their load.

The site's budget is divided between the pools that the settings define, and
only the fenced grantor of a pool spends its part. A fence has one owner at a
time and a new owner waits longer than the window, so the sum stays within the
budget whatever anyone believes about membership.
"""

from collections import deque
from dataclasses import dataclass

from wigeongw.core.identity import pool_name
from wigeongw.settings.model import Settings

WINDOW_MS = 1_000.0
SETTLE_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Share:
    """The part of the budget for one pool.

    Attributes:
        calls: calls in any window.
        call_bytes: bytes, both ways, that each of them may take.
    """

    calls: int
    call_bytes: int


def shares(settings: Settings) -> dict[str, Share]:
    """Divide the budget between all pools, the same on every entry host.

    Args:
        settings: the revision in force.

    Returns:
        Pool names with their shares; when the budget does not reach for a
        call a second each, the first pools by name get one and others none.
    """
    pools = sorted(
        pool_name(service, availability_zone)
        for service in settings.services
        for availability_zone in settings.availability_zones
    )
    limits = settings.measuring
    calls = min(limits.calls_per_s, limits.bytes_per_s // limits.call_bytes_most)
    per_pool, remainder = divmod(calls, len(pools))
    return {
        pool: Share(per_pool + (index < remainder), limits.call_bytes_most)
        for index, pool in enumerate(pools)
    }


class Spender:
    """Spends one pool's share; a call is counted before it is made."""

    def __init__(self, now: float) -> None:
        self.sent_at: deque[float] = deque()
        self.share: Share | None = None
        self.earlier_shares: list[tuple[float, Share]] = []
        self.blocked_until = now + WINDOW_MS

    def set_share(self, share: Share, now: float) -> None:
        """Take in a share; a larger one counts only after a while.

        Entry hosts learn of a revision at different times. Until all have it
        the smaller of the old and the new share keeps the sum in bounds.
        """
        if share == self.share:
            return
        if self.share is not None:
            self.earlier_shares.append((now + SETTLE_MS, self.share))
        self.share = share

    def allowed(self, now: float) -> Share:
        """Return the share that may be spent at this time."""
        self.earlier_shares = [(t, s) for t, s in self.earlier_shares if now < t]
        if self.share is None:
            return Share(0, 0)
        applicable = [self.share, *(s for _, s in self.earlier_shares)]
        return Share(
            min(s.calls for s in applicable),
            min(s.call_bytes for s in applicable),
        )

    def used(self, now: float) -> int:
        """Return the calls of the window that ends now."""
        while self.sent_at and now - self.sent_at[0] > WINDOW_MS:
            self.sent_at.popleft()
        return len(self.sent_at)

    def take(self, now: float) -> int:
        """Take the right to one call.

        Args:
            now: monotonic milliseconds.

        Returns:
            The bytes that the call may take; 0 when none is allowed.
        """
        share = self.allowed(now)
        if now < self.blocked_until or self.used(now) >= share.calls:
            return 0
        self.sent_at.append(now)
        return share.call_bytes
