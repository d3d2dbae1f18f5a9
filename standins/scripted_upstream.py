"""An upstream that responds with the bytes that a test writes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
import re

LINE_END = b"\r\n"
HEADER_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
# What a status line may say that is no status, and what is one.
NO_STATUSES = (
    *("000", "001", "010", "099", "600", "999"),
    *("0", "20", "2000", "0200", "-20", "2e2", "20x", "abc", ""),
)
STATUSES = ("200", "201", "299", "300", "404", "500", "599")


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as received.

    Attributes:
        method: Request method.
        target: Request target.
        headers: Header values by name; names are in lower case.
        body: Complete body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


# Called with each request and the writer of its connection.
RequestHandler = Callable[
    [ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]


class ScriptedUpstream:
    """Listens on a free port and passes each request to a handler.

    Attributes:
        handler: Called with each request; writes the response.
        received_requests: All requests that were received, in order.
        connection_count: Number of connections that were accepted.
        ended_count: Number of connections that the client closed, that
            failed, or whose task was cancelled.
        address: Address of the upstream; empty before the start.
        writers: The open connections.
        server: Accepts connections; None before the start.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.received_requests: list[ReceivedRequest] = []
        self.connection_count = 0
        self.ended_count = 0
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free loopback port until the stack closes."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.server = server
        stack.callback(server.close)

    def crash(self) -> None:
        """End as a killed process does: all connections are reset."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self.writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                self.received_requests.append(request)
                await self.handler(request, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            self.ended_count += 1
        finally:
            self.writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = await reader.readuntil(HEADER_END)
    request_line, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    match = CONTENT_LENGTH.search(head)
    body = await reader.readexactly(int(match[1])) if match else b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    return ReceivedRequest(method, target, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(LINE_END), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(len(LINE_END))
        if not size:
            return body


def response_bytes(
    status: int, body: bytes, *lines: str, length: int | None = None
) -> bytes:
    """Return the bytes of a response.

    Args:
        status: Status code.
        body: Body, or the part of it that is sent.
        lines: Further header lines without line ends.
        length: Value of Content-Length if it differs from the length of the
            body; -1 leaves the header out.
    """
    content_length = len(body) if length is None else length
    head = [f"HTTP/1.1 {status} Scripted", *lines]
    if content_length >= 0:
        head.append(f"Content-Length: {content_length}")
    return "\r\n".join(head).encode() + HEADER_END + body


def status_response(status: str) -> bytes:
    """Return a complete response whose status line says a status."""
    head = f"HTTP/1.1 {status} Scripted\r\nContent-Length: 3"
    return head.encode() + HEADER_END + b"one"


def cut_responses(request_id_line: str) -> dict[str, bytes]:
    """Return complete responses that tests cut at each byte.

    Args:
        request_id_line: header line that echoes the ID of the request.
    """
    chunked = b"3;a=b\r\none\r\n3\r\ntwo\r\n0\r\nX-Trailer: a\r\n\r\n"
    lines = ("X-Signature: proof", request_id_line)
    early = response_bytes(103, b"", "Link: a", length=-1)
    return {
        "length": response_bytes(200, b"one", *lines),
        "length first": (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
            + "\r\n".join(lines).encode()
            + HEADER_END
            + b"one"
        ),
        "empty body": response_bytes(200, b"", *lines),
        "chunked": response_bytes(
            200, chunked, "Transfer-Encoding: chunked", *lines, length=-1
        ),
        "after an informational one": early
        + response_bytes(200, b"one", *lines),
    }
