"""One request of a client and its exchange with an upstream."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass

from wigeongw.core.clock import seconds
from wigeongw.core.records import Outcome
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Held
from wigeongw.ports.errors import BodyError
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import Headers
from wigeongw.ports.upstream import Reply

# Larger response bodies are streamed.
MAX_BUFFERED_RESPONSE_BYTES = 65_536
BODILESS_STATUSES = frozenset((204, 304))
MIN_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class Request:
    """A client request, ready to be sent to an upstream.

    Attributes:
        identity: unique identity of the request.
        target: path and query.
        headers: end-to-end headers only.
        body: bytes, which a retry can send again, or a stream, which can be
            sent only once; None for an empty body.
        ends_at: deadline in monotonic milliseconds.
    """

    identity: str
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    ends_at: float

    @property
    def is_replayable(self) -> bool:
        """Whether a retry can send the body again."""
        return self.body is None or isinstance(self.body, bytes)


class Exchange:
    """A response whose head has arrived, and the permit it occupies.

    Attributes:
        reply: response of the upstream.
        held: permit under which the request was sent.
        release_permit: called once, on close.
        buffered_body: complete body of a small response, else None.
        elapsed_ms: time from sending the request to the response head, or to
            the end of a buffered body.
        is_open: whether the permit is still occupied.
    """

    def __init__(
        self,
        reply: Reply,
        held: Held,
        release_permit: Callable[[Verdict], None],
    ) -> None:
        self.reply = reply
        self.held = held
        self.release_permit = release_permit
        self.buffered_body: bytes | None = None
        self.elapsed_ms = 0.0
        self.is_open = True

    def body(self) -> AsyncIterator[bytes]:
        """Stream a body that was not buffered."""
        return self.reply.body()

    async def buffer_small_body(self, request: Request, now: float) -> None:
        """Buffer a small response body.

        A response that breaks off while it is buffered can still be retried,
        because none of it has been sent to the client.

        Args:
            request: the request that is answered.
            now: monotonic milliseconds.

        Raises:
            UpstreamError: when the body breaks off, its length differs from
                Content-Length, or its end cannot be detected.
        """
        reply = self.reply
        size = _content_length(reply.headers)
        has_no_body = (
            request.method == "HEAD" or reply.status in BODILESS_STATUSES
        )
        if has_no_body:
            size = 0
        if size is None:
            if not _is_chunked(reply.headers):
                await reply.close()
                raise _failed("answer without a length")
            return
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            return
        remaining_ms = max(0.0, request.ends_at - now)
        try:
            async with asyncio.timeout(seconds(remaining_ms)):
                chunks = [chunk async for chunk in reply.body()]
        except (BodyError, TimeoutError) as error:
            await reply.close()
            raise _failed(f"answer without its end: {error!r}") from error
        body = b"".join(chunks)
        if len(body) != size:
            await reply.close()
            raise _failed("answer of another length")
        self.buffered_body = body

    async def close(self, is_complete: bool) -> None:
        """Close the response and release the permit.

        Calls after the first one have no effect.

        Args:
            is_complete: whether the whole body was received.
        """
        if not self.is_open:
            return
        self.is_open = False
        await self.reply.close()
        failed = (
            self.reply.status >= MIN_SERVER_ERROR_STATUS or not is_complete
        )
        self.release_permit(Verdict.FAILED if failed else Verdict.GOOD)


def _failed(reason: str) -> UpstreamError:
    """Return the error of a request that an upstream may have run."""
    return UpstreamError(reason, Outcome.UNKNOWN, Verdict.FAILED)


def _content_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None


def _is_chunked(headers: Headers) -> bool:
    return any(
        name.lower() == "transfer-encoding" and "chunked" in value.lower()
        for name, value in headers
    )
