"""Errors that an entry host reports to its clients."""

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Outcome


class Problem(WigeongwError):
    """A failure that is sent to the client as ``application/problem+json``.

    Attributes:
        status: HTTP status code of the response.
        title: short fixed text that names the kind of problem.
        detail: description of this occurrence.
        outcome: whether an upstream ran the request; NOT_RUN only when that is
            certain.
        retry_after_s: value of the Retry-After header in seconds; 0 leaves the
            header out.
    """

    def __init__(
        self,
        status: int,
        title: str,
        detail: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: int = 0,
    ) -> None:
        super().__init__(f"{status} {title}: {detail}")
        self.status = status
        self.title = title
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class ResponseTruncatedError(WigeongwError):
    """A response broke off after its head had been sent to the client."""
