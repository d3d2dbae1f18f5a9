"""Counts events in sliding windows, for tests of rate limits."""

from collections.abc import Iterable


def max_in_window(times: Iterable[float], window_ms: float) -> int:
    """Return the largest number of events in any window.

    Args:
        times: when the events happened, in any order, milliseconds.
        window_ms: length of the window; an event at its end is outside.
    """
    ordered = sorted(times)
    maximum = first = 0
    for last, at_ms in enumerate(ordered):
        while ordered[first] <= at_ms - window_ms:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum
