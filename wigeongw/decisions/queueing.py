"""In which order requests wait for a slot, and who steps back.

Answers overload with callers that come back: a request that was refused once
returns, and by then it is often too late for its objective. Where such
requests take the slots, the next ones become late in turn, and for seconds
after the overload nobody is served in time. So they wait behind those that
can still be on time, and take a slot only where one more stays free.
"""

from dataclasses import dataclass

# Each caller's time limit moves the typical one by this part.
TYPICAL_GAIN = 0.02
# An overdue request takes a slot while no more than this part is in use.
OVERDUE_SLOT_SHARE = 0.5


@dataclass(frozen=True, slots=True, order=True)
class Turn:
    """Where a request stands in a queue.

    Attributes:
        priority: of its route; the lowest goes first.
        overdue: it cannot be on time any more.
        ends_at: when its time is over.
        number: of its arrival.
    """

    priority: int
    overdue: bool
    ends_at: float
    number: int


@dataclass(slots=True)
class TypicalPatience:
    """The time limit that the callers of a route usually give.

    Attributes:
        median_ms: None until there was a caller.
    """

    median_ms: float | None = None

    def learn(self, told_ms: float) -> None:
        """Take in the time limit of one request."""
        if self.median_ms is None:
            self.median_ms = told_ms
            return
        step = self.median_ms * TYPICAL_GAIN
        self.median_ms += max(-step, min(step, told_ms - self.median_ms))

    def waited_before(self, told_ms: float) -> float:
        """Estimate how long a caller waited before this attempt.

        A caller that comes back gives what is left of its time.
        """
        if self.median_ms is None:
            return 0.0
        return max(0.0, self.median_ms - told_ms)


def is_overdue(waited_ms: float, objective_ms: float, work_ms: float) -> bool:
    """Say whether a request can hardly be on time any more.

    Args:
        waited_ms: what its caller waited before it came here.
        objective_ms: within it an answer is on time.
        work_ms: what the request takes on a usual upstream.
    """
    return waited_ms + work_ms > objective_ms
