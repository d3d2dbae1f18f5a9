"""How a request ends without an upstream's answer."""

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Outcome


class RequestError(WigeongwError):
    """A request that this host answers itself.

    Attributes:
        status: of the answer.
        reason: a word for logs and metrics.
        outcome: NOT_RUN only when that is certain.
        retry_after_ms: when there should be room; 0 to say nothing.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: float = 0.0,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


class RefusedError(RequestError):
    """There is no room for a request now; it has not run."""

    def __init__(self, reason: str, retry_after_ms: float) -> None:
        super().__init__(503, reason, Outcome.NOT_RUN, retry_after_ms)


class FailedError(RequestError):
    """A request was sent and its answer did not come; it may have run."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status, reason, Outcome.UNKNOWN)


class AnswerCutError(WigeongwError):
    """An answer broke off after its head had gone to the client."""
