"""What an exchange with an upstream ends with: its response, or an error."""

from dataclasses import dataclass
from dataclasses import field

from wigeongw.adapters.body_stream import BodyStream


class ExchangeError(Exception):
    """An exchange failed.

    Attributes:
        reason: description that metrics, logs and responses contain.
        sent: whether any byte of the request may have been sent.
        is_broken: whether the connection was closed or reset meanwhile.
    """

    def __init__(
        self, reason: str, sent: bool, is_broken: bool = False
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.is_broken = is_broken


@dataclass(slots=True)
class BufferedReply:
    """An upstream's response.

    Attributes:
        headers: headers in order, names in lower case.
        body: the whole body, or its first bytes if ``rest`` is set.
        rest: the further bytes of a long body; None if there are none.
        fields: headers by name in lower case.
        answers_request: whether it is certain that this answers the request:
            it echoes the request's ID, or nothing was sent before on the
            connection.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    rest: BodyStream | None = None
    fields: dict[str, str] = field(default_factory=dict)
    answers_request: bool = False
