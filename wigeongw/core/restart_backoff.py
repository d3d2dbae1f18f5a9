"""Decides how soon a failed background task is started again.

Answers a task that fails at once whenever it is started, for the same cause.
Its restarts become rare, so that they neither fill the log nor take processor
time from the requests. A task that ran for a while before it failed, or that
fails for another cause, is restarted soon.
"""

from dataclasses import dataclass

MIN_DELAY_MS = 200.0
MAX_DELAY_MS = 5_000.0
# A task that ran for so long has made progress.
PROGRESS_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class RepeatedFailure:
    """A failure and those just before it with the same cause.

    Attributes:
        cause: what the task failed with.
        count: number of failures in succession without progress.
        delay_ms: time until the task is started again.
    """

    cause: str
    count: int
    delay_ms: float


def next_failure(
    previous: RepeatedFailure | None, cause: str, ran_ms: float
) -> RepeatedFailure:
    """Return the failure that follows another.

    Args:
        previous: the last failure of the task; None for none.
        cause: what the task failed with now.
        ran_ms: how long it ran before that, in milliseconds.
    """
    if previous is None or previous.cause != cause or ran_ms >= PROGRESS_MS:
        return RepeatedFailure(cause, 1, MIN_DELAY_MS)
    delay_ms = min(MAX_DELAY_MS, 2.0 * previous.delay_ms)
    return RepeatedFailure(cause, previous.count + 1, delay_ms)
