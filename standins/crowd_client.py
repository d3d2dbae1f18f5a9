"""One client of a crowd, and the host that it plays on."""

import asyncio
from dataclasses import dataclass
import socket

SMALL_RECEIVE_BUFFER_BYTES = 4096
CONNECT_TIMEOUT_S = 5.0
PIECE_BYTES = 64 << 10
SMALL_PIECE_BYTES = 8 << 10
PIECE_INTERVAL_S = 0.01
# A slow reader takes so much at a time.
SLOW_READ_BYTES = 512
SLOW_READ_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a crowd sends its requests.

    Attributes:
        address: ``ip:port`` of the host.
        host: value of the Host header.
        read_prefix: path of requests without a body, with a slash at its end.
        write_prefix: path of requests with a body.
        write_method: their method.
    """

    address: str
    host: str
    read_prefix: str
    write_prefix: str
    write_method: str = "POST"

    def read(self, name: str = "a") -> bytes:
        """Return a request without a body."""
        head = f"GET {self.read_prefix}{name} HTTP/1.1\r\nHost: {self.host}"
        return head.encode() + b"\r\n\r\n"

    def write(self, *lines: str) -> bytes:
        """Return the head of a request with a body."""
        start = f"{self.write_method} {self.write_prefix}a HTTP/1.1"
        head = "\r\n".join((start, f"Host: {self.host}", *lines))
        return head.encode() + b"\r\n\r\n"

    def write_length(self, length: int) -> bytes:
        """Return the head of a request whose body has a length."""
        return self.write(f"Content-Length: {length}")

    def write_chunked(self) -> bytes:
        """Return the head of a request whose body is sent in chunks."""
        return self.write("Transfer-Encoding: chunked")


class Client:
    """One client of a crowd, with one connection at a time.

    Attributes:
        endpoint: where it sends its requests.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.reader = asyncio.StreamReader()
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, reads_slowly: bool = False) -> None:
        """Open a connection in place of the one before."""
        self.close()
        host, _, port = self.endpoint.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if reads_slowly:
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                SMALL_RECEIVE_BUFFER_BYTES,
            )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, (host, int(port)))
        except BaseException:
            sock.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=SLOW_READ_BYTES
        )

    async def send(self, *pieces: bytes) -> None:
        """Send pieces, each after the one before has left."""
        assert self.writer is not None
        for piece in pieces:
            self.writer.write(piece)
            await self.writer.drain()

    async def send_slowly(self, data: bytes) -> None:
        """Send bytes in small pieces with pauses."""
        for start in range(0, len(data), SMALL_PIECE_BYTES):
            await self.send(data[start : start + SMALL_PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)

    async def read_answer(self) -> None:
        """Wait for an answer, or for the end of the connection."""
        await self.reader.read(SLOW_READ_BYTES)

    async def read_to_end(self) -> None:
        """Read all until the host closes the connection."""
        while await self.reader.read(PIECE_BYTES):
            pass

    async def read_slowly(self) -> None:
        """Read so little at a time that the host has to wait."""
        while await self.reader.read(SLOW_READ_BYTES):  # noqa: ASYNC110
            await asyncio.sleep(SLOW_READ_INTERVAL_S)

    def close(self) -> None:
        """Reset the connection, if there is one."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
