"""Limits how often the same problem is logged."""

# Problems beyond so many different ones in an interval are not logged.
MAX_KEYS = 200


class LogThrottle:
    """Allows one line per key and interval.

    Attributes:
        interval_ms: minimum time between two lines with the same key.
        logged_at: when a line was last allowed, by key, monotonic clock.
    """

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self.logged_at: dict[str, float] = {}

    def allows(self, key: str, now: float) -> bool:
        """Return whether a line may be logged now, and count it as logged."""
        logged_at = self.logged_at.get(key, float("-inf"))
        if now - logged_at < self.interval_ms:
            return False
        self.logged_at = {
            other: at_ms
            for other, at_ms in self.logged_at.items()
            if now - at_ms < self.interval_ms
        }
        if len(self.logged_at) >= MAX_KEYS:
            return False
        self.logged_at[key] = now
        return True
