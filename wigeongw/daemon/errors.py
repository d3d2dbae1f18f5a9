"""What a client is told when a request cannot be answered."""

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Outcome


class Problem(WigeongwError):
    """A failure as the client sees it.

    Attributes:
        status: the HTTP status.
        title: a short fixed text for the kind of problem.
        detail: what happened this time.
        outcome: what is certain about the request.
        retry_after_s: when to try again; 0 when that is not useful.
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


class AnswerCutError(WigeongwError):
    """An answer broke off after its head had gone to the client."""
