"""A client's request on its way through a host."""

from dataclasses import dataclass

from wigeongw.core.site import ClientAccount
from wigeongw.core.site import Route


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, read completely.

    Times are in milliseconds on the monotonic clock.

    Attributes:
        request_id: ID that the client sent; empty when it sent none.
        target: path and query, byte for byte as received.
        headers: end-to-end headers, names in lower case.
        arrived_at: when its head was read.
        deadline_at: when the client must have a response.
        overdue: whether it can no longer meet its latency objective.
        account: the client account that it belongs to, if any.
    """

    request_id: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | bytearray
    route: Route
    service: str
    arrived_at: float
    deadline_at: float
    overdue: bool = False
    account: ClientAccount | None = None
