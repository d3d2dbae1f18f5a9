"""HTTP client sessions whose connections take no bytes without end.

The HTTP library reads informational responses, blank lines and chunk
extensions for as long as they come, and keeps what arrives on an idle
connection. Here a guard stands before it on each connection: while a response
is awaited, bytes that are no body are bounded as those of other messages;
while none is, any byte closes the connection.
"""

import asyncio
from typing import Any
from typing import cast

import aiohttp
from aiohttp import ClientRequest
from aiohttp import ClientTimeout
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from wigeongw.decisions.message_account import MessageAccount

# Bytes that a response may have beside its body. A body is only counted once
# its head has been taken, in the next turn of the loop, so what one read can
# bring belongs to them.
MAX_OVERHEAD_BYTES = 512 << 10
# Bytes that are parsed before the bound is checked.
SLICE_BYTES = 16 << 10


class GuardedConnection(asyncio.Protocol):
    """Stands between a transport and the protocol of the HTTP library.

    Attributes:
        inner: the library's protocol.
        transport: the connection.
        account: counts the bytes of the response in progress; None while no
            response is awaited.
        content: the body of the last response whose head has been taken.
    """

    def __init__(
        self, inner: asyncio.Protocol, transport: asyncio.Transport
    ) -> None:
        self.inner = inner
        self.transport = transport
        self.account: MessageAccount | None = None
        self.content: aiohttp.StreamReader | None = None

    def begin(self) -> None:
        """Await a response."""
        self.account = MessageAccount(MAX_OVERHEAD_BYTES)
        self.content = None

    def end(self) -> None:
        """Await nothing until the next response."""
        self.account = None

    # Callbacks of the transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection has ended; an open body fails.

        The library leaves the reader of a body waiting whose trailers it
        cannot read.
        """
        self.inner.connection_lost(exc)
        content = self.content
        if content and not content.is_eof() and content.exception() is None:
            content.set_exception(aiohttp.ClientPayloadError("broke off"))

    def data_received(self, data: bytes) -> None:
        """Pass bytes on, unless they belong to no response."""
        for start in range(0, len(data), SLICE_BYTES):
            account = self.account
            if account is None:
                self._close("bytes behind a response")
                return
            piece = data[start : start + SLICE_BYTES]
            account.received += len(piece)
            self.inner.data_received(piece)
            if self.content is not None:
                account.body = self.content.total_raw_bytes
            if account.is_exceeded:
                self._close("bytes without end")
                return

    def eof_received(self) -> bool | None:
        """Pass on that the other side sends nothing more."""
        return self.inner.eof_received()

    def pause_writing(self) -> None:
        """Pass on that the transport holds too much."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the transport takes more."""
        self.inner.resume_writing()

    def _close(self, reason: str) -> None:
        """Close at once; the response in progress fails."""
        self.transport.abort()
        self.inner.connection_lost(aiohttp.ClientPayloadError(reason))


class GuardedConnector(aiohttp.TCPConnector):
    """Opens connections with a guard."""

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Return a connection that awaits a response."""
        connection = await super().connect(req, traces, timeout)
        guard = _guard_of(connection)
        if guard is not None:
            guard.begin()
            connection.add_callback(guard.end)
        return connection


class GuardedResponse(aiohttp.ClientResponse):
    """Lets the guard of its connection know what is body."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Wait for the head."""
        guard = _guard_of(connection)
        response = await super().start(connection)
        if guard is not None and guard.account is not None:
            guard.content = self.content
        return response


def guarded_session(
    connector: GuardedConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Build a session; the caller closes it.

    Args:
        connector: opens its connections; the defaults if None.
        **options: passed on to the session.
    """
    return aiohttp.ClientSession(
        connector=connector or GuardedConnector(),
        response_class=GuardedResponse,
        **options,
    )


def _guard_of(connection: Connection) -> GuardedConnection | None:
    """Return the guard of a connection, put there if it has none.

    None if the connection has ended.
    """
    transport = connection.transport
    if transport is None:
        return None
    protocol = transport.get_protocol()
    if isinstance(protocol, GuardedConnection):
        return protocol
    guard = GuardedConnection(cast(asyncio.Protocol, protocol), transport)
    transport.set_protocol(guard)
    return guard
