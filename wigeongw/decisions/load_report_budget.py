"""Rate limit on the calls that measure the load of upstreams.

The budget of the site is divided between the pools that the settings define.
Only the grantor that holds the fence of a pool spends the budget of the pool.
A fence has one owner at a time, and a new owner waits for one window before
its first call. The sum therefore stays within the site budget even when hosts
disagree about the membership.
"""

from collections import deque
from dataclasses import dataclass

from wigeongw.core.identifiers import pool_name
from wigeongw.settings.schema import Settings

# Length of the sliding window in which calls are counted.
WINDOW_MS = 1_000.0
# Time until all entry hosts are assumed to have a new settings revision.
SETTLE_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class PoolBudget:
    """Budget of one pool.

    Attributes:
        calls: the maximum number of calls in any window.
        call_bytes: the maximum number of bytes per call, both directions
            together.
    """

    calls: int
    call_bytes: int


def pool_budgets(settings: Settings) -> dict[str, PoolBudget]:
    """Divide the site budget between all pools.

    Every entry host computes the same result for the same settings.

    Args:
        settings: the revision in force.

    Returns:
        Budgets by pool name. Calls that cannot be divided evenly go to the
        first pools by name, so with a budget below one call per second and
        pool some pools have none.
    """
    pools = sorted(
        pool_name(service, availability_zone)
        for service in settings.services
        for availability_zone in settings.availability_zones
    )
    limits = settings.measuring
    calls = min(
        limits.calls_per_s, limits.bytes_per_s // limits.call_bytes_most
    )
    per_pool, remainder = divmod(calls, len(pools))
    return {
        pool: PoolBudget(
            per_pool + (index < remainder), limits.call_bytes_most
        )
        for index, pool in enumerate(pools)
    }


class CallLimiter:
    """Enforces the budget of one pool over a sliding window.

    The window is that of the upstreams. A call reaches its upstream at some
    time between its start and its end, so it counts from its start until one
    window after its end. No call is allowed in the first window, nor while a
    call of a previous owner of the fence may still be on its way.

    Attributes:
        in_progress: number of calls that have not ended.
        ended_at: end of the recent calls, monotonic milliseconds.
        budget: the latest budget; None before the first.
        earlier_budgets: earlier budgets and the time until which they apply.
        blocked_until: time before which no call is allowed.
    """

    def __init__(self, now: float, max_call_ms: float) -> None:
        """Create a limiter for a fence that this host has just taken.

        Args:
            now: monotonic clock in milliseconds.
            max_call_ms: the longest duration of a call.
        """
        self.in_progress = 0
        self.ended_at: deque[float] = deque()
        self.budget: PoolBudget | None = None
        self.earlier_budgets: list[tuple[float, PoolBudget]] = []
        self.blocked_until = now + max_call_ms + WINDOW_MS

    def set_budget(self, budget: PoolBudget, now: float) -> None:
        """Set the budget; a larger one takes effect after the settling time.

        Entry hosts receive a settings revision at different times. Until all
        have received it, the smaller of the old and the new budget applies,
        so that the sum stays within the site budget.
        """
        if budget == self.budget:
            return
        if self.budget is not None:
            self.earlier_budgets.append((now + SETTLE_MS, self.budget))
        self.budget = budget

    def allowed(self, now: float) -> PoolBudget:
        """Return the budget that applies at this time."""
        self.earlier_budgets = [
            (t, s) for t, s in self.earlier_budgets if now < t
        ]
        if self.budget is None:
            return PoolBudget(0, 0)
        applicable = [self.budget, *(s for _, s in self.earlier_budgets)]
        return PoolBudget(
            min(s.calls for s in applicable),
            min(s.call_bytes for s in applicable),
        )

    def used(self, now: float) -> int:
        """Return the number of calls that may be in the window until now."""
        while self.ended_at and now - self.ended_at[0] > WINDOW_MS:
            self.ended_at.popleft()
        return self.in_progress + len(self.ended_at)

    def take(self, now: float) -> int:
        """Start one call if the budget allows it.

        Args:
            now: monotonic clock in milliseconds.

        Returns:
            The maximum number of bytes for the call; 0 when no call is
            allowed.
        """
        budget = self.allowed(now)
        if now < self.blocked_until or self.used(now) >= budget.calls:
            return 0
        self.in_progress += 1
        return budget.call_bytes

    def end(self, now: float) -> None:
        """Record that a call ended, whatever its outcome."""
        self.in_progress -= 1
        self.ended_at.append(now)
