"""Queue time limits, hedging delays and Retry-After values.

Handles overload and upstreams that become slow or unresponsive. A request
that cannot finish before its deadline is refused immediately, with the time
after which capacity should be available. A request whose response is later
than expected is hedged: it is sent to a second upstream if it may run twice.
"""

import random

# Share of the objective reserved for the network time to and from the client.
# A request stays queued only while it can still meet its objective with this
# reserve and its service time. Longer waits produce late responses, which are
# of little use to the client and delay other requests.
TRANSIT_SHARE = 0.1
# Safety factor on the service time of a queued request.
WORK_MARGIN_FACTOR = 1.35
# A request may be queued for at least this share of its objective.
MIN_QUEUE_SHARE = 0.15
# Requests that may wait for one service at one host.
MAX_QUEUE_LENGTH = 64
# Share of its remaining time for which an overdue request is queued. It is
# late in any case, and its client can still retry in the time that is left.
OVERDUE_WAIT_SHARE = 0.5
# Slow upstreams are skipped while more requests than this are queued. A
# request would be late there and occupy a slot that could serve several
# requests one after the other once the upstream is fast again.
SKIP_SLOW_QUEUE_LENGTH = 1
# A request skips slow upstreams until this share of its objective has passed.
SKIP_SLOW_SHARE = 0.35
# A request is hedged when the expected response time, times this factor, and
# the share of the objective below have both passed.
HEDGE_DELAY_FACTOR = 1.6
HEDGE_DELAY_SHARE = 0.45
MIN_RETRY_AFTER_MS = 50.0
# Retry-After for a request that an upstream rejected while others have free
# slots.
SHORT_RETRY_AFTER_MS = 15.0
MAX_RETRY_AFTER_MS = 1_000.0
# Time reserved for sending the response to the client.
RESPONSE_MARGIN_MS = 5.0


def can_finish(expected_ms: float, left_ms: float) -> bool:
    """Return whether a request is expected to finish before its deadline.

    Args:
        expected_ms: expected time until completion.
        left_ms: time until the deadline.
    """
    return expected_ms + RESPONSE_MARGIN_MS < left_ms


def queue_deadline(
    arrived: float, objective_ms: float, work_ms: float, deadline: float
) -> float:
    """Return the time until which a request may be queued.

    Args:
        arrived: when the request was read, monotonic milliseconds.
        objective_ms: latency objective; a response within it is on time.
        work_ms: service time of the request on an upstream of normal speed.
        deadline: when the client must have a response, monotonic
            milliseconds.
    """
    slack_ms = (
        objective_ms * (1.0 - TRANSIT_SHARE) - work_ms * WORK_MARGIN_FACTOR
    )
    wait = max(MIN_QUEUE_SHARE * objective_ms, slack_ms)
    return min(arrived + wait, deadline - RESPONSE_MARGIN_MS)


def overdue_queue_deadline(
    arrived: float, work_ms: float, deadline: float
) -> float:
    """Return the time until which an overdue request may be queued.

    Args:
        arrived: when the request was read, monotonic milliseconds.
        work_ms: service time of the request on an upstream of normal speed.
        deadline: when the client must have a response, monotonic
            milliseconds.
    """
    latest_start = deadline - RESPONSE_MARGIN_MS - work_ms * WORK_MARGIN_FACTOR
    share_ends_at = arrived + OVERDUE_WAIT_SHARE * (deadline - arrived)
    return min(share_ends_at, latest_start)


def should_skip_slow(
    arrived: float, objective_ms: float, waiting: int, now: float
) -> bool:
    """Return whether a request should skip slow upstreams now.

    Args:
        arrived: when the request was read, monotonic milliseconds.
        objective_ms: latency objective; a response within it is on time.
        waiting: requests queued for the same service, including this one.
        now: monotonic clock in milliseconds.
    """
    if waiting > SKIP_SLOW_QUEUE_LENGTH:
        return True
    return now < arrived + SKIP_SLOW_SHARE * objective_ms


def hedge_delay_ms(expected_ms: float, objective_ms: float) -> float:
    """Return the delay after arrival at which a request is hedged.

    Args:
        expected_ms: expected duration at the first upstream.
        objective_ms: latency objective of the request.

    Returns:
        The delay in milliseconds.
    """
    return max(
        expected_ms * HEDGE_DELAY_FACTOR, objective_ms * HEDGE_DELAY_SHARE
    )


def retry_after(
    waiting: int, slots: int, work_ms: float, rng: random.Random
) -> float:
    """Estimate the time after which a refused client should retry.

    The estimate is the time in which the queue drains, with a random factor
    between 0.5 and 1.5.

    Args:
        waiting: requests queued for the same upstreams at this host.
        slots: upstream slots available to this host.
        work_ms: service time of one request.
        rng: spreads the retries of clients that are refused together.

    Returns:
        The time in milliseconds.
    """
    rounds = (waiting + 1) / max(1, slots)
    drain_ms = rounds * work_ms * (0.5 + rng.random())
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, drain_ms))
