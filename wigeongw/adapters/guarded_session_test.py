"""Bytes that are no answer end a connection, whoever reads with aiohttp.

The peer sends from a thread of its own with a small buffer, so that what it
could send is what was taken. Bounds are in bytes, so that nothing depends on
the machine's speed.
"""

import asyncio
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
import socket
import threading
import unittest

import aiohttp
import uvloop

from wigeongw.adapters.guarded_session import guarded_session
from wigeongw.adapters.guarded_session import MAX_OVERHEAD_BYTES
from wigeongw.adapters.http_upstream_client import new_session

SMALL_BUFFER_BYTES = 16 << 10
# What the system and a read may take ahead of a check.
AHEAD_BYTES = 1 << 20
MAX_TAKEN_BYTES = MAX_OVERHEAD_BYTES + AHEAD_BYTES
# A flood has so many bytes if nobody closes it.
FLOOD_BYTES = 12 << 20
TIMEOUT_S = 4.0
HEAD = b"HTTP/1.1 200 OK\r\n"
EMPTY = HEAD + b"Content-Length: 0\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@dataclass(frozen=True)
class Flood:
    """What a peer sends: a start, then a unit again and again."""

    name: str
    start: bytes
    unit: bytes


IN_PLACE_OF_AN_ANSWER = (
    Flood("informational responses", b"", INFORMATIONAL),
    Flood(
        "informational responses with a header",
        b"",
        b"HTTP/1.1 100 C\r\nX-A: b\r\n\r\n",
    ),
    Flood("blank lines", b"", b"\r\n"),
    Flood("status line", b"HTTP/1.1 200 ", b"O"),
    Flood("headers", HEAD, b"x-a: y\r\n"),
    Flood("one header", HEAD + b"x-a: ", b"y"),
    Flood("chunk extension", CHUNKED + b"5;", b"a"),
    Flood("chunk size", CHUNKED, b"0"),
    Flood("trailers", CHUNKED + b"1\r\nx\r\n0\r\n", b"x-a: y\r\n"),
    Flood("one trailer", CHUNKED + b"1\r\nx\r\n0\r\nx-a: ", b"y"),
)
BEHIND_AN_ANSWER = (
    Flood("answers", b"", EMPTY),
    Flood("informational responses", b"", INFORMATIONAL),
    Flood("blank lines", b"", b"\r\n"),
    Flood("no HTTP", b"", b"x"),
)


class FloodingPeer:
    """Serves one connection from a thread of its own.

    Attributes:
        go_on: set when the flood may begin.
        taken: bytes of the flood that were sent.
        has_ended: set when the flood is over.
    """

    def __init__(self, first: bytes, flood: Flood) -> None:
        self.first = first
        self.flood = flood
        self.go_on = threading.Event()
        self.taken = 0
        self.has_ended = threading.Event()
        self.sock = socket.socket()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}/"

    def run(self) -> None:
        """Answer a request with the first bytes, then flood."""
        with contextlib.suppress(OSError), self.listener:
            self.sock, _ = self.listener.accept()
            with self.sock:
                self.sock.settimeout(TIMEOUT_S)
                self.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
                )
                self.sock.recv(SMALL_BUFFER_BYTES)
                self.sock.sendall(self.first)
                self.go_on.wait(TIMEOUT_S)
                self.sock.sendall(self.flood.start)
                unit = self.flood.unit
                piece = unit * (SMALL_BUFFER_BYTES // len(unit))
                while self.taken < FLOOD_BYTES:
                    self.taken += self.sock.send(piece)
        self.has_ended.set()

    def close(self) -> None:
        """End the flood, if it has not ended."""
        self.go_on.set()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


@contextlib.contextmanager
def flooding(first: bytes, flood: Flood) -> Iterator[FloodingPeer]:
    """Run a peer until the block ends."""
    peer = FloodingPeer(first, flood)
    threading.Thread(target=peer.run, daemon=True).start()
    try:
        yield peer
    finally:
        peer.close()


class GuardedSessionTest(unittest.IsolatedAsyncioTestCase):
    def sessions(self) -> dict[str, aiohttp.ClientSession]:
        """Return a session of each kind that reads what others send."""
        return {
            "guarded": guarded_session(),
            "upstreams": new_session(True),
            "upstreams, not reused": new_session(False),
        }

    async def expect_failure(
        self, session: aiohttp.ClientSession, peer: FloodingPeer
    ) -> None:
        """Ask, and expect an error before the flood or the time ends."""
        with contextlib.suppress(aiohttp.ClientError):
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    async with session.get(peer.url) as response:
                        await response.read()
            except TimeoutError:
                self.fail(f"{peer.taken} bytes taken, and no end")
            self.fail("bytes that are no answer were taken for one")

    async def expect_closed(self, peer: FloodingPeer) -> None:
        await asyncio.to_thread(peer.has_ended.wait, TIMEOUT_S)
        self.assertLess(
            peer.taken, MAX_TAKEN_BYTES, "bytes that are no answer, not closed"
        )

    async def test_bytes_in_place_of_an_answer(self) -> None:
        """They were parsed until the caller gave up, and filled memory."""
        for flood in IN_PLACE_OF_AN_ANSWER:
            for kind, session in self.sessions().items():
                with self.subTest(flood=flood.name, session=kind):
                    async with session:
                        with flooding(b"", flood) as peer:
                            peer.go_on.set()
                            await self.expect_failure(session, peer)
                            await self.expect_closed(peer)

    async def test_bytes_behind_an_answer(self) -> None:
        """An idle connection kept all that came, until it lapsed."""
        for flood in BEHIND_AN_ANSWER:
            for kind, session in self.sessions().items():
                with self.subTest(flood=flood.name, session=kind):
                    async with session:
                        with flooding(EMPTY, flood) as peer:
                            async with session.get(peer.url) as response:
                                await response.read()
                            self.assertEqual(response.status, 200)
                            peer.go_on.set()
                            await self.expect_closed(peer)

    async def test_sound_answers_are_read(self) -> None:
        small_chunks = b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n"
        body = b"y" * 5_000_000
        head = HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode()
        answers = {
            "chunks of one byte": (CHUNKED + small_chunks, b"x" * 40_000),
            "a long body": (head + body, body),
            "after early hints": (100 * INFORMATIONAL + head + body, body),
        }
        for name, (answer, expected) in answers.items():
            for kind, session in self.sessions().items():
                with self.subTest(answer=name, session=kind):
                    async with session:
                        with flooding(answer, Flood("", b"", b"x")) as peer:
                            async with session.get(peer.url) as response:
                                received = await response.read()
                            self.assertEqual(received, expected)


class GuardedSessionOnUvloopTest(GuardedSessionTest):
    """The same on the event loop that the hosts run on."""

    def _setupAsyncioRunner(self) -> None:
        self._asyncioRunner = asyncio.Runner(
            debug=False, loop_factory=uvloop.new_event_loop
        )


if __name__ == "__main__":
    unittest.main()
