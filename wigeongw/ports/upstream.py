"""A call to an upstream."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from wigeongw.core.records import Upstream

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A request as it goes to an upstream.

    Attributes:
        target: path and query.
        headers: end-to-end headers only.
        body: bytes that can be sent again, or a stream that cannot.
        deadline_ms: what is left of the request's time.
    """

    identity: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    deadline_ms: float


class Reply(Protocol):
    """The head of an answer, and its body to be read once."""

    status: int
    headers: Headers
    start: str
    leaving: bool

    def body(self) -> AsyncIterator[bytes]:
        """Read the body.

        Raises:
            BodyError: when it breaks off.
        """

    async def close(self) -> None:
        """Let go; a body not read to its end closes the connection."""


@dataclass(frozen=True, slots=True)
class Report:
    """An upstream's own report of its load.

    Attributes:
        start: its start identity.
        size: bytes that the call took, both ways.
    """

    start: str
    in_flight: int
    leaving: bool
    size: int


class UpstreamClient(Protocol):
    """Calls upstreams."""

    async def call(self, upstream: Upstream, call: Call) -> Reply:
        """Send a request and wait for the head of its answer.

        Raises:
            UpstreamError: with what is known of the outcome.
        """

    async def report(
        self, upstream: Upstream, most_bytes: int, timeout_ms: float
    ) -> Report:
        """Ask for a load report.

        Raises:
            UpstreamError: when none came in time and size.
        """
