"""Errors that end a request without a response from an upstream."""

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Outcome


class RequestError(WigeongwError):
    """A request that this host answers itself with an error.

    Attributes:
        status: HTTP status of the response.
        reason: short word for the response body, logs and metrics.
        outcome: NOT_RUN only when the request certainly did not run.
        retry_after_ms: value of the Retry-After header in milliseconds; 0 to
            omit the header.
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
    """No upstream could run the request now; it has not run."""

    def __init__(self, reason: str, retry_after_ms: float) -> None:
        super().__init__(503, reason, Outcome.NOT_RUN, retry_after_ms)


class OutcomeUnknownError(RequestError):
    """A request was sent but no response arrived; it may have run."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(status, reason, Outcome.UNKNOWN)


class ResponseTruncatedError(WigeongwError):
    """A response broke off after its head was sent to the client.

    Attributes:
        reason: short word for logs and metrics.
    """

    def __init__(self, reason: str, cause: str) -> None:
        super().__init__(f"response body cut: {cause}")
        self.reason = reason
