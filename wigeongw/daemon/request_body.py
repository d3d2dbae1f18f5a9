"""The body of a client request over ASGI, and the end of its connection."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import Connection
from wigeongw.core.records import Outcome
from wigeongw.daemon.asgi import Receive
from wigeongw.daemon.client_response import ClientResponse
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.headers import ParsedHeaders

# What a body takes that is passed on as it arrives: a piece here, and what
# waits to be sent.
STREAMED_BODY_BYTES = 128 << 10
MEMORY_RETRY_AFTER_S = 1


class ClientDisconnectedError(Exception):
    """The client closed its connection before the response ended."""


class RequestBody:
    """The body of a request; it can be read once.

    Attributes:
        resources: where its bytes are counted.
        owner: the connection that sends it, if known.
        held_bytes: bytes that are counted, until ``release``.
        max_bytes: largest accepted body.
        is_ended: whether the whole body was received.
        size: number of bytes received so far.
        rejection: set when a streamed body exceeded ``max_bytes``; replaces
            the upstream error that the aborted body causes.
        fully_read: set when the whole body was received.
    """

    def __init__(
        self,
        receive: Receive,
        parsed: ParsedHeaders,
        resources: ClientResources,
        owner: Connection | None = None,
    ) -> None:
        self.receive = receive
        self.resources = resources
        self.owner = owner
        self.held_bytes = 0
        self.max_bytes = parsed.max_body_bytes
        self.is_ended = parsed.length == 0
        self.size = 0
        self.rejection: Problem | None = None
        self.fully_read = asyncio.Event()
        if self.is_ended:
            self.fully_read.set()

    def hold(self, size: int) -> None:
        """Take so many further bytes into memory.

        Raises:
            Problem: when they do not fit; the request has not run.
        """
        whole = self.held_bytes + size
        if not self.resources.hold_upload(size, whole, self.owner):
            raise Problem(
                503,
                "Not enough memory",
                "too many bodies are being received",
                Outcome.NOT_RUN,
                MEMORY_RETRY_AFTER_S,
            )
        self.held_bytes = whole

    def release(self) -> None:
        """Give back what was held; the body is gone."""
        self.resources.ledger.release_upload(self.held_bytes, self.owner)
        self.held_bytes = 0

    async def read(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Raises:
            Problem: when the body is larger than ``max_bytes``, or does not
                fit into the memory.
        """
        if self.is_ended:
            return b""
        chunks: list[bytes] = []
        async for chunk in self.stream():
            self.hold(len(chunk))
            chunks.append(chunk)
            if self.size > max_bytes:
                raise Problem(
                    413,
                    "The body is too large",
                    f"at most {max_bytes} bytes with an Idempotency-Key",
                )
        if self.owner is not None:
            self.resources.ledger.set_arriving(self.owner, 0)
        return b"".join(chunks)

    async def read_unless_long(
        self, max_bytes: int
    ) -> bytes | AsyncIterator[bytes]:
        """Read a body of unknown length until its end or so many bytes.

        Until then nobody but its client is waited for. Were it passed on from
        its first byte, one that never ends would keep its upstream's slot.

        Returns:
            The whole body, or a stream of the chunks of a longer one.

        Raises:
            Problem: when it does not fit into the memory.
        """
        chunks: list[bytes] = []
        stream = self.stream()
        async for chunk in stream:
            chunks.append(chunk)
            if self.size > max_bytes:
                self.hold(STREAMED_BODY_BYTES)
                return _joined(chunks, stream)
            self.hold(len(chunk))
        if self.owner is not None:
            self.resources.ledger.set_arriving(self.owner, 0)
        return b"".join(chunks)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive."""
        while not self.is_ended:
            message = await self.receive()
            if message["type"] != "http.request":
                raise ClientDisconnectedError
            chunk = message.get("body", b"")
            self.size += len(chunk)
            if self.size > self.max_bytes:
                self.rejection = Problem(
                    413,
                    "The body is too large",
                    f"at most {self.max_bytes} bytes",
                    Outcome.UNKNOWN,
                )
                raise self.rejection
            is_last = not message.get("more_body")
            del message
            if chunk:
                yield chunk
            # Else it would stay until the next one has come.
            del chunk
            if is_last:
                self.is_ended = True
                self.fully_read.set()

    async def wait_disconnected(self) -> None:
        """Wait until the client closes its connection.

        Waits for the end of the body first, since a body and a disconnect are
        received from the same ASGI channel.
        """
        await self.fully_read.wait()
        while (await self.receive())["type"] != "http.disconnect":
            pass


async def _joined(
    chunks: list[bytes], rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield chunks that have arrived, and then those that arrive."""
    while chunks:
        yield chunks.pop(0)
    async for chunk in rest:
        yield chunk


@contextlib.asynccontextmanager
async def cancel_on_disconnect(
    body: RequestBody, response: ClientResponse
) -> AsyncIterator[None]:
    """Cancel the enclosed block when the client closes its connection.

    Raises:
        ClientDisconnectedError: when the block was cancelled for that reason.
    """
    task = asyncio.current_task()
    assert task is not None
    disconnected = False

    async def watch() -> None:
        nonlocal disconnected
        await body.wait_disconnected()
        if not response.is_ended:
            disconnected = True
            task.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not disconnected:
            raise
        task.uncancel()
        raise ClientDisconnectedError from None
    finally:
        watcher.cancel()
