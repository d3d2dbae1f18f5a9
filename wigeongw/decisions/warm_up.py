"""Warm-up (slow start) of an upstream: its limit of requests in flight.

An upstream is assumed to be cold. The limit rises only with completed
requests that were not much slower than usual. A rejected request, a failed
connection or a strong slowdown resets it to its initial value.
"""

from dataclasses import dataclass
from dataclasses import replace

from wigeongw.settings.schema import ColdStartSettings

# Weight of one completion in the moving average over all upstreams of a pool.
BASELINE_WEIGHT = 0.02
# Weight of one completion in the moving average of one upstream.
RECENT_WEIGHT = 0.125
# Completions of an upstream before its moving average can turn it cold.
MIN_RECENT_COMPLETIONS = 16


@dataclass(frozen=True, slots=True)
class Ramp:
    """Warm-up state of one upstream.

    Attributes:
        slots: the limit of the warm upstream.
        limit: the maximum number of requests in flight from all entry hosts.
        good: completions of usual duration since the limit last changed.
        recent_ms: moving average of the request duration; 0 before the first
            completion.
        seen: completions since the state was created or reset.
        closed_until: no requests are sent before this time, monotonic
            milliseconds.
        pause_ms: the next pause after a rejected request or a failed
            connection.
    """

    slots: int
    limit: int
    good: int = 0
    recent_ms: float = 0.0
    seen: int = 0
    closed_until: float = 0.0
    pause_ms: float = 0.0

    @property
    def warm(self) -> bool:
        """Whether the upstream may receive its full load."""
        return self.limit >= self.slots


def cold(slots: int, rules: ColdStartSettings) -> Ramp:
    """Create the state of a cold upstream."""
    return Ramp(slots, min(rules.first_limit, slots))


def warm(slots: int) -> Ramp:
    """Create the state of an upstream that another host reported as warm."""
    return Ramp(slots, slots)


def after_success(
    ramp: Ramp, rules: ColdStartSettings, served_ms: float, baseline_ms: float
) -> Ramp:
    """Update the state after a completed request.

    Args:
        ramp: the state before.
        rules: conditions for raising the limit and for turning cold.
        served_ms: duration of the request.
        baseline_ms: usual duration in this pool; 0 when unknown.

    Returns:
        The new state; cold when recent requests were much slower than usual.
    """
    recent = ramp.recent_ms or served_ms
    recent += RECENT_WEIGHT * (served_ms - recent)
    after = replace(ramp, recent_ms=recent, seen=ramp.seen + 1, pause_ms=0.0)
    if ramp.warm:
        is_too_slow = (
            baseline_ms > 0 and recent > rules.turn_factor * baseline_ms
        )
        if is_too_slow and after.seen >= MIN_RECENT_COMPLETIONS:
            return cold(ramp.slots, rules)
        return after
    if baseline_ms > 0 and served_ms > rules.slow_factor * baseline_ms:
        return after
    if ramp.good + 1 < rules.work_per_step:
        return replace(after, good=ramp.good + 1)
    return replace(after, good=0, limit=ramp.limit + 1)


def after_shed(
    ramp: Ramp, rules: ColdStartSettings, now: float, in_flight: int
) -> Ramp:
    """Update the state after a request that the upstream rejected.

    Args:
        ramp: the state before.
        rules: the length of the pause.
        now: monotonic clock in milliseconds.
        in_flight: permits in use for the upstream, including this request.

    Returns:
        The new state: cold and closed for a short pause, because an upstream
        that rejects requests within its limit cannot serve the load that the
        limit assumes. Unchanged if the limit was exceeded.
    """
    if in_flight > ramp.limit:
        return ramp
    return _close(ramp, rules, now)


def after_unreachable(
    ramp: Ramp, rules: ColdStartSettings, now: float
) -> Ramp:
    """Update the state after a failed connection attempt: cold and closed."""
    return _close(ramp, rules, now)


def _close(ramp: Ramp, rules: ColdStartSettings, now: float) -> Ramp:
    if now < ramp.closed_until:
        return ramp
    closed_ms = min(max(rules.retry_ms, ramp.pause_ms), rules.retry_most_ms)
    return replace(
        cold(ramp.slots, rules),
        closed_until=now + closed_ms,
        pause_ms=min(closed_ms * 2, rules.retry_most_ms),
    )


def update_baseline_ms(baseline_ms: float, served_ms: float) -> float:
    """Update the usual request duration of a pool with one completion.

    Args:
        baseline_ms: usual duration so far; 0 when unknown.
        served_ms: duration of the completed request.

    Returns:
        The moving average in milliseconds.
    """
    if baseline_ms <= 0:
        return served_ms
    return baseline_ms + BASELINE_WEIGHT * (served_ms - baseline_ms)
