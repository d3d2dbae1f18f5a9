"""Each wait for a byte of an upstream ends, over real sockets."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace
import socket
import time
import unittest
import unittest.mock

import aiohttp

from standins.scripted_upstream import response_bytes
from wigeongw.adapters.client_protocol import LimitedProtocol
from wigeongw.core.addresses import split_address
from wigeongw.decisions.memory_shares import MAX_BUFFERED_BYTES
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import SIGNATURE_HEADER

TIMEOUT_MS = 1_000.0
IDLE_MS = 800.0
# A final answer may be so much later than the route's timeout.
SLACK_MS = 500.0
# Ends a request that the host does not end.
GIVE_UP_MS = 2.0 * TIMEOUT_MS + SLACK_MS
MS_PER_S = 1_000.0
HEAD = f"HTTP/1.1 200 OK\r\n{SIGNATURE_HEADER}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"
SIZED = HEAD + b"Content-Length: 1000000000000\r\n\r\n"
# More than is buffered before the client gets the first byte.
LONG_START = b"x" * (MAX_BUFFERED_BYTES + 1)
PIECE_BYTES = 65_536
PIECE = b"x" * PIECE_BYTES
# A connection is closed within so many bytes that are no answer, long before
# the timeout: an exchange may have 64 KiB of them.
MAX_NO_ANSWER_BYTES = 1 << 20


@dataclass(frozen=True)
class EndlessAnswer:
    """An answer that does not end.

    Attributes:
        start: its first bytes.
        piece: what follows, again and again; empty for silence.
        pause_s: pause after each piece.
        is_no_answer: whether its bytes count as none, as they are neither
            silence nor parts of a body.
    """

    name: str
    start: bytes
    piece: bytes
    pause_s: float = 0.0
    is_no_answer: bool = False


def _no_answer(name: str, start: bytes, unit: bytes) -> EndlessAnswer:
    """Return an answer with so many units a piece that no pause matters."""
    piece = unit * (PIECE_BYTES // len(unit))
    return EndlessAnswer(name, start, piece, is_no_answer=True)


ANSWERS = (
    _no_answer("status line", b"HTTP/1.1 200 ", b"O"),
    EndlessAnswer("silence in the head", HEAD, b"", 0.02),
    _no_answer("headers", HEAD, b"x-a: " + b"y" * 100 + b"\r\n"),
    EndlessAnswer("slow headers", HEAD, b"x-a: y\r\n", 0.02),
    _no_answer("informational", b"", b"HTTP/1.1 103 Hints\r\n\r\n"),
    EndlessAnswer("slow body", SIZED, b"x", 0.02),
    EndlessAnswer("silence at the start of a body", SIZED, b"", 0.02),
    EndlessAnswer("body without framing", UNFRAMED, PIECE),
    EndlessAnswer("body with a length", SIZED, PIECE),
    EndlessAnswer("chunks", CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    EndlessAnswer("tiny chunks", CHUNKED, b"1\r\nx\r\n" * 1_000),
    _no_answer("chunk size", CHUNKED, b"0"),
    _no_answer("chunk extension", CHUNKED + b"5;", b"a"),
    _no_answer("trailers", CHUNKED + b"1\r\nx\r\n0\r\n", b"x-t: y\r\n"),
    EndlessAnswer("silence after 1 MiB", SIZED + LONG_START, b"", 0.02),
    EndlessAnswer("slow after 1 MiB", SIZED + LONG_START, b"x", 0.02),
    EndlessAnswer("no framing after 1 MiB", UNFRAMED + LONG_START, b"", 0.02),
)


class EndlessAnswerTest(HostCase):
    async def test_client_has_an_end_soon_after_the_timeout(self) -> None:
        """Clients were held past the route's timeout, until they left.

        Informational responses set the count of bytes back, so that they
        were parsed until the timeout, and little else was read.
        """
        await self.publish_all(TIMEOUT_MS)
        for number, answer in enumerate(ANSWERS):
            with self.subTest(answer=answer.name):
                for upstream in self.upstreams:
                    upstream.script = [answer.start, b"ENDLESS"]
                    upstream.endless_piece = answer.piece
                    upstream.endless_pause_s = answer.pause_s
                    upstream.most_taken = 0
                started = [len(u.ran) for u in self.upstreams]
                closed = [u.closed_by_caller for u in self.upstreams]
                started_at = time.monotonic()
                status = await self._fetch(f"id-{number}")
                took_ms = (time.monotonic() - started_at) * MS_PER_S
                self.assertIn(status, (0, 502, 504))
                self.assertLess(took_ms, TIMEOUT_MS + SLACK_MS)
                await self._wait_until_closed(started, closed)
                if answer.is_no_answer:
                    taken = max(u.most_taken for u in self.upstreams)
                    self.assertLess(
                        taken, MAX_NO_ANSWER_BYTES, "no answer, not closed"
                    )

    async def test_slow_download_within_the_timeout_is_not_cut(self) -> None:
        await self.publish_all(TIMEOUT_MS)
        body = LONG_START + b"y" * 300_000
        answer = response_bytes(200, body, SIGNATURE_HEADER)
        half = len(answer) - 200_000
        for upstream in self.upstreams:
            upstream.script = [
                answer[:half],
                *[b"PAUSE"] * 8,
                answer[half:],
            ]
        status, received, _ = await self.send("/fetch/x")
        self.assertEqual(status, 200)
        self.assertEqual(received, body)

    async def test_complete_answer_is_delivered_after_the_timeout(
        self,
    ) -> None:
        """A client that reads slowly still gets what has arrived."""
        await self.publish_all(TIMEOUT_MS)
        body = LONG_START + b"y" * 300_000
        for upstream in self.upstreams:
            upstream.script = [response_bytes(200, body, SIGNATURE_HEADER)]
        address = self.host.state.host_config.front
        headers = {"Host": "a.example"}
        async with self.session.get(
            f"http://{address}/fetch/x", headers=headers
        ) as response:
            received = await response.content.read(1_000)
            await asyncio.sleep((TIMEOUT_MS + SLACK_MS) / MS_PER_S)
            received += await response.read()
        self.assertEqual(len(received), len(body))

    async def test_client_that_reads_nothing_is_aborted(self) -> None:
        """Closing its connection would wait for it, with the bytes kept."""
        targets = [u.target() for u in self.upstreams]
        published = configuration(1, timeout_ms=TIMEOUT_MS)
        limits = replace(published.limits, idle_ms=IDLE_MS)
        await self.catalog.publish(replace(published, limits=limits), *targets)
        await self.until(lambda: len(self.host.state.targets) == len(targets))
        for upstream in self.upstreams:
            upstream.script = [UNFRAMED, b"ENDLESS"]
        lost = asyncio.Event()
        connection_lost = LimitedProtocol.connection_lost

        def record_lost(
            protocol: LimitedProtocol, error: Exception | None
        ) -> None:
            connection_lost(protocol, error)
            lost.set()

        with unittest.mock.patch.object(
            LimitedProtocol, "connection_lost", record_lost
        ):
            sock = socket.create_connection(
                split_address(self.host.state.host_config.front)
            )
            self.stack.callback(sock.close)
            sock.sendall(b"GET /fetch/x HTTP/1.1\r\nHost: a.example\r\n\r\n")
            async with asyncio.timeout((TIMEOUT_MS + 2 * IDLE_MS) / MS_PER_S):
                await lost.wait()

    async def _fetch(self, request_id: str) -> int:
        """Return the status; 0 when the body is visibly cut."""
        try:
            async with asyncio.timeout(GIVE_UP_MS / MS_PER_S):
                status, _, _ = await self.send(
                    "/fetch/x", request_id=request_id
                )
        except aiohttp.ClientPayloadError:
            return 0
        except TimeoutError:
            self.fail(f"no end {GIVE_UP_MS} ms after the request")
        return status

    async def _wait_until_closed(
        self, started: list[int], closed: list[int]
    ) -> None:
        """Wait until the host has closed all connections of the answers."""
        expected = [
            ended + len(upstream.ran) - ran
            for upstream, ran, ended in zip(
                self.upstreams, started, closed, strict=True
            )
        ]
        await self.until(
            lambda: [u.closed_by_caller for u in self.upstreams] == expected,
            1.0,
        )


if __name__ == "__main__":
    unittest.main()
