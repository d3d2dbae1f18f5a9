"""Interface to the HTTP client for upstreams."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from wigeongw.core.records import Upstream
from wigeongw.decisions.messages import LimitReport

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A request to an upstream.

    Attributes:
        identity: request ID, sent along and echoed by the upstream.
        target: path and query.
        headers: end-to-end headers only.
        body: bytes, which a retry can send again, or a stream, which can be
            read only once.
        deadline_ms: milliseconds left until the request's deadline.
    """

    identity: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    deadline_ms: float


class Reply(Protocol):
    """A response's status and headers, and a body that can be read once.

    Attributes:
        start: identity of the upstream's start; empty if not reported.
        leaving: whether the upstream declared that it is leaving.
        limit: what the response says about a rate limit; None when its value
            is invalid.
    """

    status: int
    headers: Headers
    start: str
    leaving: bool
    limit: LimitReport | None

    def body(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks.

        Raises:
            BodyError: if the body is truncated.
        """

    async def close(self) -> None:
        """Release the connection; close it if the body was not fully read."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's load report.

    Attributes:
        start: identity of the upstream's start.
        in_flight: requests that the upstream is running.
        leaving: whether the upstream is leaving.
        size: bytes of the call in both directions.
    """

    start: str
    in_flight: int
    leaving: bool
    size: int


class UpstreamClient(Protocol):
    """HTTP client for upstreams."""

    async def call(self, upstream: Upstream, call: Call) -> Reply:
        """Send a request and wait for the response headers.

        Raises:
            UpstreamError: if the exchange failed; tells whether the request
                may have run.
        """

    async def report(
        self, upstream: Upstream, max_bytes: int, timeout_ms: float
    ) -> LoadReport:
        """Fetch a load report.

        Args:
            upstream: the upstream to ask.
            max_bytes: limit on the bytes of the call in both directions.
            timeout_ms: limit on the time of the call.

        Raises:
            UpstreamError: if no report arrived within the limits.
        """
