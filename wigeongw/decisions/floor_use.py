"""When a host may use floor upstreams, while their pool has no grantor.

Nobody grants permits then. Each host sends one request at a time to the few
upstreams of its floor, pauses after a failed connection, and keeps an even
part of the rate limit that an upstream has named.
"""

from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.rate_limit import GrantTerms
from wigeongw.decisions.rate_limit import LimitGrantor

# Pause after a failed connection.
UNREACHABLE_BACKOFF_MS = 2_000.0


class FloorUse:
    """Limits the use of floor upstreams.

    The caller passes the current time as `now`, in monotonic milliseconds.

    Attributes:
        slots: concurrent requests of one upstream; an upstream is the floor
            of as many hosts.
        backoff_until: end of the pause, by upstream.
        limits: this host's part of the rate limit, by upstream.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.backoff_until: dict[str, float] = {}
        self.limits: dict[str, LimitGrantor] = {}

    def record_unreachable(self, upstream: str, now: float) -> None:
        """Start a pause after a failed connection."""
        self.backoff_until[upstream] = now + UNREACHABLE_BACKOFF_MS

    def record_success(self, upstream: str) -> None:
        """End the pause."""
        self.backoff_until.pop(upstream, None)

    def learn_limit(
        self, upstream: str, limit: LimitReport | None, now: float
    ) -> None:
        """Remember what a response said about a rate limit."""
        if limit is None:
            return
        if limit.per_s is None:
            self.limits.pop(upstream, None)
            return
        # The grantor may still be reachable from other hosts.
        terms = GrantTerms(limit.per_s, self.slots, may_be_replaced=True)
        known = self.limits.get(upstream)
        if known is None:
            self.limits[upstream] = LimitGrantor(terms, False, now)
        else:
            known.set_terms(terms, now)

    def is_paused(self, upstream: str, now: float) -> bool:
        """Return whether a connection to an upstream has just failed."""
        return now < self.backoff_until.get(upstream, now)

    def take(self, upstream: str, now: float) -> bool:
        """Take one request from this host's part of the rate limit."""
        limit = self.limits.get(upstream)
        return limit is None or limit.grant(limit.terms, now) <= 0.0
