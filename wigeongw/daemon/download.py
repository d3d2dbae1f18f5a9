"""Carries a large answer to its end, over another upstream when one breaks.

A download is continued only when that cannot mix two versions of a file: the
first answer had a strong validator and a length, and the continuation shows
the same validator and the exact place. A request's deadline is for the head
of its answer; a body may take longer as long as it moves, except on an
upstream in its cold start, which must be free again by the deadline.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import replace

from wigeongw.core.clock import seconds
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.dispatcher import Exchange
from wigeongw.daemon.dispatcher import Request
from wigeongw.daemon.errors import AnswerCutError
from wigeongw.daemon.errors import Problem
from wigeongw.ports.errors import BodyError
from wigeongw.ports.upstream import Headers

CONTINUATIONS_MOST = 3
STALL_MS = 10_000.0
WHOLE = 200
PARTIAL = 206


@dataclass(frozen=True, slots=True)
class Version:
    """What identifies the content that is being sent.

    Attributes:
        etag: a strong validator.
        size: of the whole content in bytes.
    """

    etag: str
    size: int


def header(headers: Headers, wanted: str) -> str:
    """Return the first value of a header, or an empty text."""
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return ""


def version_of(request: Request, exchange: Exchange) -> Version | None:
    """Return what a continuation must match, or None when none is safe."""
    reply = exchange.reply
    etag = header(reply.headers, "etag")
    size = header(reply.headers, "content-length")
    asked_for_part = bool(header(request.headers, "range"))
    if request.method != "GET" or reply.status != WHOLE or asked_for_part:
        return None
    if not etag.startswith('"') or not size.isdigit():
        return None
    return Version(etag, int(size))


def continues(exchange: Exchange, version: Version, place: int) -> bool:
    """Whether an answer is exactly the rest of what was begun."""
    reply = exchange.reply
    expected = f"bytes {place}-{version.size - 1}/{version.size}"
    return (
        reply.status == PARTIAL
        and header(reply.headers, "etag") == version.etag
        and header(reply.headers, "content-range") == expected
    )


class Download:
    """The body of one answer, whole or cut but never mixed."""

    def __init__(
        self, dispatcher: Dispatcher, request: Request, exchange: Exchange
    ) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.exchange = exchange
        self.version = version_of(request, exchange)
        self.budget_ms = request.ends_at - dispatcher.clock.now()
        self.sent = 0
        self.continuations = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises:
            AnswerCutError: when the rest cannot be had; the caller must end
                the answer so that nobody takes it for whole.
        """
        while True:
            try:
                async for chunk in self._body():
                    self.sent += len(chunk)
                    yield chunk
                return
            except BodyError as error:
                await self.exchange.close(whole=False)
                if not await self._continue():
                    raise AnswerCutError(str(error)) from error

    async def close(self, whole: bool) -> None:
        """Let go of the upstream."""
        await self.exchange.close(whole)

    async def _body(self) -> AsyncIterator[bytes]:
        if self.exchange.small is not None:
            yield self.exchange.small
            return
        body = self.exchange.body()
        while True:
            try:
                async with asyncio.timeout(seconds(self._patience_ms())):
                    chunk = await anext(body, None)
            except TimeoutError as error:
                raise BodyError("the body stalled") from error
            if chunk is None:
                return
            yield chunk

    def _patience_ms(self) -> float:
        """Return how long the next piece may take."""
        if not self.exchange.held.cold:
            return STALL_MS
        left = self.request.ends_at - self.dispatcher.clock.now()
        return max(0.0, min(STALL_MS, left))

    async def _continue(self) -> bool:
        version = self.version
        if version is None or self.continuations >= CONTINUATIONS_MOST:
            return False
        if not self.dispatcher.spend(self.request.service):
            return False
        self.continuations += 1
        headers = (
            *self.request.headers,
            ("Range", f"bytes={self.sent}-"),
            ("If-Range", version.etag),
        )
        rest = replace(
            self.request,
            headers=headers,
            ends_at=self.dispatcher.clock.now() + self.budget_ms,
            identity=f"{self.request.identity}-{self.continuations}",
        )
        self.request = replace(self.request, ends_at=rest.ends_at)
        try:
            self.exchange = await self.dispatcher.open(rest)
        except Problem:
            return False
        if continues(self.exchange, version, self.sent):
            return True
        await self.exchange.close(whole=False)
        return False
