"""Order of queued requests, with overdue requests last.

Handles overload by clients that retry. A refused request is retried after a
while and is then often too late for its objective. If such requests occupied
the slots, the requests behind them would become late as well, and no request
would be on time for seconds after the overload. Overdue requests are
therefore queued behind requests that can still be on time, and use only a
limited share of the slots of an upstream.
"""

from dataclasses import dataclass

# Share of the median timeout by which one request moves it at most.
MEDIAN_STEP_SHARE = 0.02
# Share of the slots of an upstream up to which overdue requests use them.
OVERDUE_SLOT_SHARE = 0.5


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Position of a request in a queue; the smallest is served first.

    Attributes:
        account_priority: priority of the client account; 0 is the highest.
        priority: priority of the route; 0 is the highest.
        overdue: whether the request can no longer meet its objective.
        round_number: the turn of its account among the others.
        ends_at: deadline of the request, monotonic milliseconds.
        number: sequence number of its arrival.
    """

    account_priority: int
    priority: int
    overdue: bool
    round_number: int
    ends_at: float
    number: int


@dataclass(slots=True)
class TypicalTimeout:
    """Running estimate of the timeout that clients of a route set.

    Attributes:
        median_ms: estimated median; None before the first request.
    """

    median_ms: float | None = None

    def learn(self, timeout_ms: float) -> None:
        """Update the estimate with the timeout of one request."""
        if self.median_ms is None:
            self.median_ms = timeout_ms
            return
        max_step = self.median_ms * MEDIAN_STEP_SHARE
        self.median_ms += max(
            -max_step, min(max_step, timeout_ms - self.median_ms)
        )

    def estimate_waited_ms(self, timeout_ms: float) -> float:
        """Estimate how long a client waited before it sent this request.

        The timeout of a retry is the remainder of the original timeout.

        Args:
            timeout_ms: timeout of this request.

        Returns:
            The time in milliseconds; 0 when the timeout is not below the
            median.
        """
        if self.median_ms is None:
            return 0.0
        return max(0.0, self.median_ms - timeout_ms)


def is_overdue(waited_ms: float, objective_ms: float, work_ms: float) -> bool:
    """Return whether a request is expected to miss its latency objective.

    Args:
        waited_ms: time that the client waited before it sent this request.
        objective_ms: latency objective; a response within it is on time.
        work_ms: service time of the request on an upstream of normal speed.
    """
    return waited_ms + work_ms > objective_ms
