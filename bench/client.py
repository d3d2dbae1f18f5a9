"""A small HTTP client that costs little, so that it does not distort.

Connections are kept per address and never shared by two requests at a time.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import httptools

from wigeongw.core.addresses import split_address


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer.

    Attributes:
        status: 0 when the exchange failed.
    """

    status: int
    outcome: str
    body: bytes


FAILED = Answer(0, "failed", b"")


class Connection(asyncio.Protocol):
    """One connection with at most one request on it."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.future: asyncio.Future[Answer] | None = None
        self.closed = False
        self.keep = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits."""
        self.closed = True
        self._settle(FAILED)

    def data_received(self, data: bytes) -> None:
        """Parse."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def ask(self, raw: bytes) -> asyncio.Future[Answer]:
        """Send a request; the future holds its answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.outcome = ""
        self.body: list[bytes] = []
        self.future = asyncio.get_running_loop().create_future()
        self.transport.write(raw)
        return self.future

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note what matters."""
        lower = name.lower()
        if lower == b"wigeongw-outcome":
            self.outcome = value.decode()
        elif lower == b"connection" and value.lower() == b"close":
            self.keep = False

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Hand the answer over."""
        status = self.parser.get_status_code()
        self._settle(Answer(status, self.outcome, b"".join(self.body)))

    def _settle(self, answer: Answer) -> None:
        if self.future is not None and not self.future.done():
            self.future.set_result(answer)


class Client:
    """Sends requests; never raises for a failed exchange."""

    def __init__(self) -> None:
        self.idle: dict[str, list[Connection]] = defaultdict(list)

    async def get(
        self, address: str, target: str, headers: str = ""
    ) -> Answer:
        """Send a GET."""
        raw = (
            f"GET {target} HTTP/1.1\r\nHost: {address}\r\n{headers}\r\n"
        ).encode()
        try:
            connection = await self._connection(address)
        except OSError:
            return FAILED
        try:
            answer = await connection.ask(raw)
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        if connection.keep and not connection.closed and answer.status:
            self.idle[address].append(connection)
        else:
            connection.transport.close()
        return answer

    def close(self) -> None:
        """Close all kept connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.close()
        self.idle.clear()

    async def _connection(self, address: str) -> Connection:
        kept = self.idle[address]
        while kept:
            connection = kept.pop()
            if not connection.closed:
                return connection
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(Connection, host, port)
        return made
