"""Streams response bodies and resumes interrupted downloads.

When an upstream breaks off in the middle of a body, the download is resumed
with a range request to another upstream. A download is resumed only if it
cannot mix two versions of a file: the first response must have a strong
validator and a length, and the resumed response must have the same validator
and start at exactly the requested offset.

The deadline of a request applies to the response head. A body may take longer
as long as data keeps arriving, though not without end, and except from a cold
upstream, which must be free again by the deadline.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import replace

from wigeongw.core.clock import seconds
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.errors import ResponseTruncatedError
from wigeongw.daemon.exchange import Exchange
from wigeongw.daemon.exchange import Request
from wigeongw.ports.errors import BodyError
from wigeongw.ports.upstream import Headers

MAX_RESUMES = 3
BODY_STALL_TIMEOUT_MS = 10_000.0
# A body that has not ended by then has no end.
MAX_BODY_MS = 600_000.0
STATUS_OK = 200
STATUS_PARTIAL_CONTENT = 206


@dataclass(frozen=True, slots=True)
class Representation:
    """The representation that is being downloaded (RFC 9110, section 3.2).

    Attributes:
        etag: strong validator.
        size: size of the complete representation in bytes.
    """

    etag: str
    size: int


def first_header(headers: Headers, wanted_name: str) -> str:
    """Return the first value of a header, or an empty string."""
    for name, value in headers:
        if name.lower() == wanted_name:
            return value
    return ""


def resumable_representation(
    request: Request, exchange: Exchange
) -> Representation | None:
    """Return what a resumed response must match.

    Returns:
        None when the download cannot be resumed safely.
    """
    reply = exchange.reply
    etag = first_header(reply.headers, "etag")
    size = first_header(reply.headers, "content-length")
    is_range_request = bool(first_header(request.headers, "range"))
    if (
        request.method != "GET"
        or reply.status != STATUS_OK
        or is_range_request
    ):
        return None
    if not etag.startswith('"') or not size.isdigit():
        return None
    return Representation(etag, int(size))


def is_continuation(
    exchange: Exchange, representation: Representation, offset: int
) -> bool:
    """Whether a response is exactly the rest of a representation.

    Args:
        exchange: exchange of the range request.
        representation: representation of the first response.
        offset: number of bytes sent so far.
    """
    reply = exchange.reply
    expected_range = (
        f"bytes {offset}-{representation.size - 1}/{representation.size}"
    )
    return (
        reply.status == STATUS_PARTIAL_CONTENT
        and first_header(reply.headers, "etag") == representation.etag
        and first_header(reply.headers, "content-range") == expected_range
    )


class Download:
    """The body of one response, which may come from several upstreams.

    Attributes:
        representation: None when the download cannot be resumed.
        timeout_ms: time from the start to the deadline; a resumed request gets
            the same time again.
        body_ends_at: when the whole body must have arrived, monotonic clock.
        bytes_sent: number of body bytes yielded so far.
        resumes: number of range requests sent so far.
        broken_upstreams: the upstreams that broke off.
    """

    def __init__(
        self, dispatcher: Dispatcher, request: Request, exchange: Exchange
    ) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.exchange = exchange
        self.representation = resumable_representation(request, exchange)
        self.timeout_ms = request.ends_at - dispatcher.clock.now()
        self.body_ends_at = dispatcher.clock.now() + MAX_BODY_MS
        self.bytes_sent = 0
        self.resumes = 0
        self.broken_upstreams: list[str] = []

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body, resuming it when an upstream breaks off.

        Raises:
            ResponseTruncatedError: when the rest is not available; the caller
                must abort the response so that the client sees it as
                incomplete.
        """
        while True:
            try:
                async for chunk in self._read_chunks():
                    self.bytes_sent += len(chunk)
                    yield chunk
                return
            except BodyError as error:
                await self.exchange.close(is_complete=False)
                if not await self._resume():
                    raise ResponseTruncatedError(str(error)) from error

    async def close(self, is_complete: bool) -> None:
        """Close the exchange and release its permit."""
        await self.exchange.close(is_complete)

    async def _read_chunks(self) -> AsyncIterator[bytes]:
        if self.exchange.buffered_body is not None:
            yield self.exchange.buffered_body
            return
        body = self.exchange.body()
        while True:
            wait_ms = self._chunk_timeout_ms()
            if wait_ms <= 0.0:
                raise BodyError(
                    f"upstream {self.exchange.held.upstream}: body without end"
                )
            try:
                async with asyncio.timeout(seconds(wait_ms)):
                    chunk = await anext(body, None)
            except TimeoutError as error:
                raise BodyError(
                    f"upstream {self.exchange.held.upstream}: no body data "
                    "within the chunk timeout"
                ) from error
            if chunk is None:
                return
            yield chunk

    def _chunk_timeout_ms(self) -> float:
        """Return how long to wait for the next chunk."""
        ends_at = self.body_ends_at
        if self.exchange.held.cold:
            ends_at = min(ends_at, self.request.ends_at)
        remaining_ms = ends_at - self.dispatcher.clock.now()
        return min(BODY_STALL_TIMEOUT_MS, remaining_ms)

    async def _resume(self) -> bool:
        """Request the rest of the body from an upstream.

        Returns:
            False when the download cannot be resumed.
        """
        representation = self.representation
        if representation is None or self.resumes >= MAX_RESUMES:
            return False
        if not self.dispatcher.take_retry_token(self.request.service):
            return False
        self.resumes += 1
        self.broken_upstreams.append(self.exchange.held.upstream)
        headers = (
            *self.request.headers,
            ("Range", f"bytes={self.bytes_sent}-"),
            ("If-Range", representation.etag),
        )
        range_request = replace(
            self.request,
            headers=headers,
            ends_at=self.dispatcher.clock.now() + self.timeout_ms,
            identity=f"{self.request.identity}-{self.resumes}",
        )
        self.request = replace(self.request, ends_at=range_request.ends_at)
        try:
            self.exchange = await self.dispatcher.dispatch(
                range_request, avoid=tuple(self.broken_upstreams)
            )
        except Problem:
            return False
        if is_continuation(self.exchange, representation, self.bytes_sent):
            return True
        await self.exchange.close(is_complete=False)
        return False
