"""A small HTTP client with little overhead, to keep measurements accurate.

Connections are pooled by address. A connection carries one request at a time.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import httptools

from wigeongw.core.addresses import split_address


@dataclass(frozen=True, slots=True)
class Response:
    """One response.

    Attributes:
        status: Status code; 0 when the exchange failed.
        outcome: Value of the Wigeongw-Outcome header, empty when missing;
            ``failed`` when the exchange failed.
        body: Complete body.
    """

    status: int
    outcome: str
    body: bytes


FAILED = Response(0, "failed", b"")


class Connection(asyncio.Protocol):
    """One connection with at most one request on it."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.pending_response: asyncio.Future[Response] | None = None
        self.closed = False
        self.is_reusable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits for a response."""
        self.closed = True
        self._complete(FAILED)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def send(self, request: bytes) -> asyncio.Future[Response]:
        """Send a request and return the future of its response."""
        self.parser = httptools.HttpResponseParser(self)
        self.outcome = ""
        self.body: list[bytes] = []
        self.pending_response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.pending_response

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the outcome and whether the server closes the connection."""
        lower = name.lower()
        if lower == b"wigeongw-outcome":
            self.outcome = value.decode()
        elif lower == b"connection" and value.lower() == b"close":
            self.is_reusable = False

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Complete the request."""
        status = self.parser.get_status_code()
        self._complete(Response(status, self.outcome, b"".join(self.body)))

    def _complete(self, response: Response) -> None:
        if (
            self.pending_response is not None
            and not self.pending_response.done()
        ):
            self.pending_response.set_result(response)


class Client:
    """Sends requests; a failed exchange yields ``FAILED``, not an error."""

    def __init__(self) -> None:
        self.idle: dict[str, list[Connection]] = defaultdict(list)

    async def get(
        self, address: str, target: str, headers: str = ""
    ) -> Response:
        """Send a GET and return its response.

        Args:
            address: ``host:port`` of the server.
            target: Request target.
            headers: Further header lines, each with its line end.
        """
        request = (
            f"GET {target} HTTP/1.1\r\nHost: {address}\r\n{headers}\r\n"
        ).encode()
        try:
            connection = await self._acquire_connection(address)
        except OSError:
            return FAILED
        try:
            response = await connection.send(request)
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        if (
            connection.is_reusable
            and not connection.closed
            and response.status
        ):
            self.idle[address].append(connection)
        else:
            connection.transport.close()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.close()
        self.idle.clear()

    async def _acquire_connection(self, address: str) -> Connection:
        idle_connections = self.idle[address]
        while idle_connections:
            connection = idle_connections.pop()
            if not connection.closed:
                return connection
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(Connection, host, port)
        return connection
