"""How long to wait for a place, when to send a second time, when to refuse.

Answers overload and upstreams that turn slow or silent: a request that
cannot finish in time is refused at once with the time after which there
should be room; one that is late by what is usual goes to a second upstream
if it may run twice.
"""

import random

# A request waits in the host's queue while it can still be on time, given the
# work and this part of the objective for the way to and from the client;
# longer waits lead to late answers, which are worth little to the caller and
# keep others waiting.
WAY_SHARE = 0.1
WORK_SPREAD = 1.35
QUEUE_LEAST_SHARE = 0.15
QUEUE_MOST = 64
# An overdue request waits for this part of the time it has: it loses little
# by waiting, and its caller can still come back with what is left.
OVERDUE_WAIT_SHARE = 0.5
# With more requests than this waiting, a slow upstream is no place for one:
# it would be late and hold a slot that several could use in turn.
PRESSURE = 1
# Up to this part of its objective a request waits for a fast upstream.
PICKY_SHARE = 0.35
# When the first answer is later than expected by this factor, and this part
# of the objective has gone, a second upstream is asked.
LATE_FACTOR = 1.6
LATE_SHARE = 0.45
RETRY_AFTER_LEAST_MS = 50.0
# For a caller whose request an upstream turned away though others have room.
RETRY_SOON_MS = 15.0
RETRY_AFTER_MOST_MS = 1_000.0
# Time that is kept for the way back to the client.
MARGIN_MS = 5.0


def can_finish(expected_ms: float, left_ms: float) -> bool:
    """Say whether work may end before its deadline."""
    return expected_ms + MARGIN_MS < left_ms


def queue_ends(
    arrived: float, objective_ms: float, work_ms: float, deadline: float
) -> float:
    """Return until when a request may wait for a place.

    Args:
        arrived: when it was read.
        objective_ms: within it an answer is on time.
        work_ms: what the request takes on a usual upstream.
        deadline: when its client must have an answer.
    """
    room = objective_ms * (1.0 - WAY_SHARE) - work_ms * WORK_SPREAD
    wait = max(QUEUE_LEAST_SHARE * objective_ms, room)
    return min(arrived + wait, deadline - MARGIN_MS)


def overdue_queue_ends(
    arrived: float, work_ms: float, deadline: float
) -> float:
    """Return until when a request may wait that cannot be on time.

    Args:
        arrived: when it was read.
        work_ms: what the request takes on a usual upstream.
        deadline: when its client must have an answer.
    """
    latest = deadline - MARGIN_MS - work_ms * WORK_SPREAD
    share_ends = arrived + OVERDUE_WAIT_SHARE * (deadline - arrived)
    return min(share_ends, latest)


def is_picky(
    arrived: float, objective_ms: float, waiting: int, now: float
) -> bool:
    """Say whether a slow upstream is no place for a request now.

    Args:
        arrived: when it was read.
        objective_ms: within it an answer is on time.
        waiting: requests that wait for the same service, with this one.
        now: monotonic clock.
    """
    if waiting > PRESSURE:
        return True
    return now < arrived + PICKY_SHARE * objective_ms


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
