"""How many requests an upstream may have in flight while it warms up.

Cold is the presumption. The limit rises only on completed work that was not
slower than usual, and any sign of trouble puts it back to the start.
"""

from dataclasses import dataclass
from dataclasses import replace

from wigeongw.settings.model import ColdStartSettings

USUAL_WEIGHT = 0.02
RECENT_WEIGHT = 0.125
RECENT_LEAST = 16


@dataclass(frozen=True, slots=True)
class Ramp:
    """The warm-up of one upstream.

    Attributes:
        slots: the limit once warm.
        limit: requests allowed in flight over all entry hosts.
        good: good completions since the limit last changed.
        recent_ms: decayed time of recent completions; 0 when none.
        seen: completions since the start, for judging recent_ms.
        closed_until: no request before this time, monotonic milliseconds.
        pause_ms: the next pause after an unreachable upstream.
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
        """Whether the upstream bears its full load."""
        return self.limit >= self.slots


def cold(slots: int, rules: ColdStartSettings) -> Ramp:
    """Start an upstream cold."""
    return Ramp(slots, min(rules.first_limit, slots))


def warm(slots: int) -> Ramp:
    """Take an upstream for warm, as another entry host said."""
    return Ramp(slots, slots)


def after_good(
    ramp: Ramp, rules: ColdStartSettings, served_ms: float, usual_ms: float
) -> Ramp:
    """Count a completed request.

    Args:
        ramp: the state before.
        rules: when to rise and when to turn cold.
        served_ms: how long the request took.
        usual_ms: what is usual in this pool; 0 when not known.

    Returns:
        The state after; cold when recent work was far slower than usual.
    """
    recent = ramp.recent_ms or served_ms
    recent += RECENT_WEIGHT * (served_ms - recent)
    after = replace(ramp, recent_ms=recent, seen=ramp.seen + 1, pause_ms=0.0)
    if ramp.warm:
        far = usual_ms > 0 and recent > rules.turn_factor * usual_ms
        if far and after.seen >= RECENT_LEAST:
            return cold(ramp.slots, rules)
        return after
    if usual_ms > 0 and served_ms > rules.slow_factor * usual_ms:
        return after
    if ramp.good + 1 < rules.work_per_step:
        return replace(after, good=ramp.good + 1)
    return replace(after, good=0, limit=ramp.limit + 1)


def after_shed(
    ramp: Ramp, rules: ColdStartSettings, now: float, in_flight: int
) -> Ramp:
    """Count a request that the upstream turned away.

    Args:
        ramp: the state before.
        rules: the pause after it.
        now: monotonic milliseconds.
        in_flight: permits out for the upstream, this request included.

    Returns:
        Cold and closed for a short pause: an upstream that sheds within its
        limit does not bear what was thought.
    """
    if in_flight > ramp.limit:
        return ramp
    return _closed(ramp, rules, now)


def after_unreachable(
    ramp: Ramp, rules: ColdStartSettings, now: float
) -> Ramp:
    """Count a connection that could not be opened: cold, and closed."""
    return _closed(ramp, rules, now)


def _closed(ramp: Ramp, rules: ColdStartSettings, now: float) -> Ramp:
    if now < ramp.closed_until:
        return ramp
    pause = min(max(rules.retry_ms, ramp.pause_ms), rules.retry_most_ms)
    return replace(
        cold(ramp.slots, rules),
        closed_until=now + pause,
        pause_ms=min(pause * 2, rules.retry_most_ms),
    )


def usual(before_ms: float, served_ms: float) -> float:
    """Fold a completion into what is usual for a pool.

    Returns:
        Decayed milliseconds.
    """
    if before_ms <= 0:
        return served_ms
    return before_ms + USUAL_WEIGHT * (served_ms - before_ms)
