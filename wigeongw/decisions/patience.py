"""How long to wait for a place, when to send a second time, when to refuse.

Answers overload and upstreams that turn slow or silent: a request that
cannot finish in time is refused at once with the time after which there
should be room; one that is late by what is usual goes to a second upstream
if it may run twice.
"""

import random

# A request waits in the host's queue at most this part of its objective;
# longer waits lead to late answers, which are worth little to the caller.
QUEUE_SHARE = 0.5
QUEUE_MOST = 64
# Up to this part of its objective a request waits for a fast upstream.
PICKY_SHARE = 0.35
# When the first answer is later than expected by this factor, and this part
# of the objective has gone, a second upstream is asked.
LATE_FACTOR = 1.6
LATE_SHARE = 0.45
RETRY_AFTER_LEAST_MS = 50.0
RETRY_AFTER_MOST_MS = 1_000.0
# Time that is kept for the way back to the client.
MARGIN_MS = 5.0


def can_finish(expected_ms: float, left_ms: float) -> bool:
    """Say whether work may end before its deadline."""
    return expected_ms + MARGIN_MS < left_ms


def queue_ends(arrived: float, objective_ms: float, deadline: float) -> float:
    """Return until when a request may wait for a place."""
    return min(arrived + QUEUE_SHARE * objective_ms, deadline - MARGIN_MS)


def picky_ends(arrived: float, objective_ms: float) -> float:
    """Return until when a slow upstream is no place for a request."""
    return arrived + PICKY_SHARE * objective_ms


def second_try_after(expected_ms: float, objective_ms: float) -> float:
    """Return after how long a second upstream is worth a try."""
    return max(expected_ms * LATE_FACTOR, objective_ms * LATE_SHARE)


def retry_after(
    waiting: int, slots: int, work_ms: float, rng: random.Random
) -> float:
    """Return when a refused client should come back, in milliseconds.

    Args:
        waiting: requests that wait for the same upstreams at this host.
        slots: what this host may use of them at a time.
        work_ms: how long one request takes.
        rng: spreads clients that are refused together.
    """
    turns = (waiting + 1) / max(1, slots)
    drained = turns * work_ms * (0.5 + rng.random())
    return max(RETRY_AFTER_LEAST_MS, min(RETRY_AFTER_MOST_MS, drained))
