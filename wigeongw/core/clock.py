"""System clocks in milliseconds, replaceable by a manual clock in tests."""

import time

MS_PER_S = 1000.0
NS_PER_MS = 1_000_000.0


class Clock:
    """Reads the monotonic and the wall clock of the system."""

    def now(self) -> float:
        """Read the monotonic clock.

        Returns:
            Milliseconds since an arbitrary origin; never decreases.
        """
        return time.monotonic_ns() / NS_PER_MS

    def wall(self) -> float:
        """Read the wall clock.

        Returns:
            Milliseconds since 1970-01-01 UTC; may jump in either direction.
        """
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that advances only on request, for tests and replay."""

    def __init__(self, now: float = 0.0) -> None:
        self.at = now

    def now(self) -> float:
        """Return the current manual time in milliseconds."""
        return self.at

    def wall(self) -> float:
        """Return the same time as ``now``, in milliseconds."""
        return self.at

    def advance(self, by_ms: float) -> float:
        """Move the clock forward.

        Args:
            by_ms: the time to add, in milliseconds.

        Returns:
            The new time in milliseconds.
        """
        self.at += by_ms
        return self.at


def seconds(ms: float) -> float:
    """Convert milliseconds to seconds, the unit of asyncio timeouts."""
    return ms / MS_PER_S
