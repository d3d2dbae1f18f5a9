"""Time in milliseconds, so that no other module reads a system clock."""

import time

MS_PER_S = 1000.0
NS_PER_MS = 1_000_000.0


class Clock:
    """The system's clocks, in milliseconds."""

    def now(self) -> float:
        """Read the monotonic clock.

        Returns:
            Milliseconds since an arbitrary start; never goes back.
        """
        return time.monotonic_ns() / NS_PER_MS

    def wall(self) -> float:
        """Read the calendar clock.

        Returns:
            Milliseconds since 1970-01-01 UTC; may jump.
        """
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and replay."""

    def __init__(self, now: float = 0.0) -> None:
        self.at = now

    def now(self) -> float:
        """Return the set time in milliseconds."""
        return self.at

    def wall(self) -> float:
        """Return the set time in milliseconds."""
        return self.at

    def advance(self, by_ms: float) -> float:
        """Move the clock forward.

        Args:
            by_ms: how far, in milliseconds.

        Returns:
            The new time in milliseconds.
        """
        self.at += by_ms
        return self.at


def seconds(ms: float) -> float:
    """Convert milliseconds to the seconds that asyncio takes."""
    return ms / MS_PER_S
