"""Tests of responses that are late, misrouted, truncated or malformed.

The upstream sends scripted bytes. The tests guard against a response that
reaches the wrong request, and against a truncated one that passes as whole.
"""

import asyncio
import contextlib
from contextlib import AsyncExitStack
import socket
import struct
import unittest

from standins.scripted_upstream import cut_responses
from standins.scripted_upstream import NO_STATUSES
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import response_bytes
from standins.scripted_upstream import ScriptedUpstream
from standins.scripted_upstream import status_response
from standins.scripted_upstream import STATUSES
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.adapters.upstream_reply import ExchangeError
from wigeongw.core.clock import Clock
from wigeongw.core.site import Target

ID_HEADER = "x-id"
EXCHANGE_TIMEOUT_S = 5.0
# Prefix of bytes that the upstream repeats until its caller closes.
ENDLESS = b"ENDLESS "


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class UpstreamConnectionTestCase(unittest.IsolatedAsyncioTestCase):
    scripts: list[list[bytes]]

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.upstream = ScriptedUpstream(self.respond)
        await self.upstream.start(self.stack)
        self.pool = UpstreamPool(Clock(), ID_HEADER)
        self.stack.callback(self.pool.close)
        self.target = Target("a", "s", self.upstream.address, "amman", 4)

    async def respond(
        self, heard: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        for piece in self.scripts.pop(0):
            if piece == b"RESET":
                await writer.drain()
                reset(writer)
                return
            if piece == b"CLOSE":
                writer.close()
                return
            if piece == b"PAUSE":
                await writer.drain()
                await asyncio.sleep(0.05)
                continue
            if piece.startswith(ENDLESS):
                await self.write_until_closed(
                    piece.removeprefix(ENDLESS), writer
                )
                return
            writer.write(piece)

    async def write_until_closed(
        self, piece: bytes, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()

    async def exchange(
        self, request_id: str, method: str = "GET"
    ) -> tuple[int, bytes, UpstreamConnection]:
        connection = await self.pool.acquire(self.target)
        head = (
            f"{method} / HTTP/1.1\r\nHost: a\r\n"
            f"{ID_HEADER}: {request_id}\r\n\r\n"
        )
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            reply = await connection.exchange(
                head.encode(), b"", request_id, method == "HEAD"
            )
        self.pool.release(self.target, connection)
        return reply.status, reply.body, connection


class StatusLineTest(UpstreamConnectionTestCase):
    """The upstream keeps its connection open after each answer."""

    async def test_status_that_is_none_fails_at_once(self) -> None:
        """000 was waited out like an informational one, 600 passed on."""
        for status in NO_STATUSES:
            with self.subTest(status=status):
                self.scripts = [[status_response(status)]]
                with self.assertRaises(ExchangeError) as raised:
                    await self.exchange("1")
                self.assertTrue(raised.exception.sent)
                self.assertIn("not an answer", raised.exception.reason)

    async def test_other_statuses_are_answers(self) -> None:
        for status in STATUSES:
            with self.subTest(status=status):
                self.scripts = [[status_response(status)]]
                answer = await self.exchange("1")
                self.assertEqual(answer[:2], (int(status), b"one"))

    async def test_informational_statuses_come_before_an_answer(self) -> None:
        for status in (100, 103, 199):
            with self.subTest(status=status):
                early = response_bytes(status, b"", length=-1)
                self.scripts = [[early, response_bytes(200, b"one")]]
                answer = await self.exchange("1")
                self.assertEqual(answer[:2], (200, b"one"))


class UpstreamConnectionTest(UpstreamConnectionTestCase):
    async def test_accepts_complete_responses(self) -> None:
        chunked = "Transfer-Encoding: chunked"
        cases = (
            (
                "plain",
                [response_bytes(200, b"one", f"{ID_HEADER}: 1")],
                b"one",
                True,
            ),
            (
                "chunked",
                [
                    response_bytes(
                        200, b"3\r\none\r\n0\r\n\r\n", chunked, length=-1
                    )
                ],
                b"one",
                True,
            ),
            (
                "after an informational response",
                [
                    response_bytes(103, b"", length=-1),
                    response_bytes(200, b"one"),
                ],
                b"one",
                True,
            ),
            (
                "close-delimited",
                [response_bytes(200, b"one", length=-1), b"CLOSE"],
                b"one",
                False,
            ),
            (
                "followed by a second response",
                [response_bytes(200, b"one"), response_bytes(200, b"two")],
                b"one",
                False,
            ),
            (
                "after a late response to another request",
                [
                    response_bytes(200, b"old", f"{ID_HEADER}: 0"),
                    response_bytes(200, b"one"),
                ],
                b"one",
                False,
            ),
            (
                "connection: close",
                [response_bytes(200, b"one", "Connection: close")],
                b"one",
                False,
            ),
        )
        for case, pieces, body, reusable in cases:
            with self.subTest(case=case):
                self.scripts = [pieces]
                status, found, connection = await self.exchange("1")
                self.assertEqual((status, found), (200, body))
                self.assertEqual(connection.is_open, reusable)
                self.pool.close()

    async def test_head_response_has_no_body(self) -> None:
        self.scripts = [[response_bytes(200, b"", length=500)]]
        status, found, _ = await self.exchange("1", "HEAD")
        self.assertEqual((status, found), (200, b""))

    async def test_late_bytes_close_idle_connection(self) -> None:
        self.scripts = [
            [
                response_bytes(200, b"one"),
                b"PAUSE",
                response_bytes(200, b"late"),
            ],
            [response_bytes(200, b"two")],
        ]
        _, _, first = await self.exchange("1")
        await asyncio.sleep(0.1)
        self.assertFalse(first.is_open)
        _, body, second = await self.exchange("2")
        self.assertEqual(body, b"two")
        self.assertIsNot(first, second)

    async def test_reuses_idle_connection(self) -> None:
        self.scripts = [
            [response_bytes(200, b"one")],
            [response_bytes(200, b"two")],
        ]
        await self.exchange("1")
        await self.exchange("2")
        self.assertEqual(self.upstream.connection_count, 1)


class RefusalWrittenTwiceTest(UpstreamConnectionTestCase):
    """A faulty upstream writes an earlier refusal once more.

    The second copy must answer no later request: it would be told that it was
    not run, and it runs.
    """

    def refusal(self, *lines: str) -> bytes:
        return response_bytes(503, b"", "X-Not-Run: 1", *lines)

    async def test_copy_that_waits_to_be_read_answers_the_next_request(
        self,
    ) -> None:
        answer = response_bytes(200, b"two", f"{ID_HEADER}: 2")
        for lines in ((f"{ID_HEADER}: 1",), ()):
            with self.subTest(lines=lines):
                self.scripts = [
                    [self.refusal(f"{ID_HEADER}: 1"), b"PAUSE"]
                    + [self.refusal(*lines)],
                    [answer],
                ]
                status, _, first = await self.exchange("1")
                self.assertEqual(status, 503)
                await self.until_readable(first)
                status, body, second = await self.exchange("2")
                self.assertEqual((status, body), (200, b"two"))
                self.assertIsNot(first, second)
                self.pool.close()

    async def test_copy_sent_with_the_request_answers_it(self) -> None:
        """It arrives while the request is on its way."""
        answer = response_bytes(200, b"two", f"{ID_HEADER}: 2")
        cases = (
            ("id of the earlier request", (f"{ID_HEADER}: 1",), True),
            ("no id", (), False),
        )
        for case, lines, is_answered in cases:
            with self.subTest(case=case):
                self.scripts = [
                    [response_bytes(200, b"one", f"{ID_HEADER}: 1")],
                    [self.refusal(*lines), answer],
                ]
                await self.exchange("1")
                if is_answered:
                    _, body, _ = await self.exchange("2")
                    self.assertEqual(body, b"two")
                else:
                    with self.assertRaises(ExchangeError) as caught:
                        await self.exchange("2")
                    self.assertTrue(caught.exception.sent)
                self.pool.close()

    async def test_refusal_on_a_kept_connection_counts_without_the_id(
        self,
    ) -> None:
        """An upstream that echoes no IDs may have refused an earlier one."""
        self.scripts = [
            [response_bytes(200, b"one")],
            [self.refusal()],
            [self.refusal()],
        ]
        await self.exchange("1")
        connection = await self.pool.acquire(self.target)
        reply = await connection.exchange(
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"", "2", False
        )
        self.assertFalse(reply.answers_request)
        self.pool.close()
        connection = await self.pool.acquire(self.target)
        reply = await connection.exchange(
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"", "3", False
        )
        self.assertTrue(reply.answers_request)

    async def until_readable(self, connection: UpstreamConnection) -> None:
        """Block the event loop until bytes have arrived that it cannot read.

        The bytes are then read only after the next request was written.
        """
        assert connection.transport is not None
        connection.transport.pause_reading()
        await asyncio.sleep(0.1)
        connection.transport.resume_reading()


class UpstreamConnectionFailureTest(UpstreamConnectionTestCase):
    async def test_fails_on_incomplete_responses(self) -> None:
        cases = (
            ("truncated", [response_bytes(200, b"one", length=9), b"CLOSE"]),
            (
                "truncated by reset",
                [response_bytes(200, b"one", length=9), b"RESET"],
            ),
            (
                "close-delimited and reset",
                [response_bytes(200, b"one", length=-1), b"RESET"],
            ),
            ("malformed", [b"\x00\x01garbage\r\n\r\n"]),
            ("closed before the response", [b"CLOSE"]),
            (
                "three responses to other requests",
                [response_bytes(200, b"old", f"{ID_HEADER}: 0")] * 3,
            ),
        )
        for case, pieces in cases:
            with self.subTest(case=case):
                self.scripts = [list(pieces)]
                with self.assertRaises(ExchangeError) as caught:
                    await self.exchange("1")
                self.assertTrue(caught.exception.sent)

    async def test_fails_on_bytes_without_end_that_are_no_answer(self) -> None:
        """A faulty upstream sends until its caller closes the connection.

        The caller must neither keep the bytes nor wait for its timeout.
        """
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = (
            ("header value", [b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 1_024]),
            ("headers", [b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n" * 100]),
            ("reason", [b"HTTP/1.1 200 ", b"a" * 1_024]),
            ("chunk extension", [chunked, b"1;", b"a" * 1_024]),
            ("trailers", [chunked, b"0\r\n", b"X-A: a\r\n" * 100]),
            (
                "head of the response after another one",
                [
                    response_bytes(200, b"old", f"{ID_HEADER}: 0"),
                    b"HTTP/1.1 200 OK\r\nX-A: ",
                    b"a" * 1_024,
                ],
            ),
        )
        for case, pieces in cases:
            with self.subTest(case=case):
                self.scripts = [[*pieces[:-1], ENDLESS + pieces[-1]]]
                with self.assertRaises(ExchangeError) as caught:
                    await self.exchange("1")
                self.assertTrue(caught.exception.sent)
                self.assertEqual(self.pool.idle, {})

    async def test_response_that_stops_at_any_byte_passes_as_whole(
        self,
    ) -> None:
        """The upstream then closes or resets the connection."""
        for case, whole in cut_responses(f"{ID_HEADER}: 1").items():
            for end in (b"CLOSE", b"RESET"):
                for size in range(len(whole)):
                    with self.subTest(case=case, end=end, sent=whole[:size]):
                        self.scripts = [[whole[:size], end]]
                        with self.assertRaises(ExchangeError):
                            await self.exchange("1")
                        self.assertEqual(self.pool.idle, {})

    async def test_head_without_length_that_stops_passes_as_whole(
        self,
    ) -> None:
        """Such a response ends with its connection, so its head must not."""
        head = response_bytes(200, b"", f"{ID_HEADER}: 1", length=-1)
        for end in (b"CLOSE", b"RESET"):
            for size in range(len(head)):
                with self.subTest(end=end, sent=head[:size]):
                    self.scripts = [[head[:size], end]]
                    with self.assertRaises(ExchangeError):
                        await self.exchange("1")

    async def test_silence_in_the_middle_of_a_response_ends_it(self) -> None:
        """The caller gives up; the connection is not used again."""
        whole = response_bytes(200, b"one", f"{ID_HEADER}: 1")
        for size in (1, 12, 20, len(whole) - 4, len(whole) - 1):
            with self.subTest(sent=whole[:size]):
                self.scripts = [[whole[:size]]]
                connection = await self.pool.acquire(self.target)
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await connection.exchange(
                            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                            b"",
                            "1",
                            False,
                        )
                self.assertFalse(connection.is_open)

    async def test_answer_after_a_long_body_is_not_read(self) -> None:
        """Reading stayed paused when the pause came with the body's end."""
        body = b"400\r\n" + b"x" * 1_024 + b"\r\n"
        framing = "Transfer-Encoding: chunked"
        head = response_bytes(200, b"", f"{ID_HEADER}: 1", framing, length=-1)
        # The last chunks and the end arrive together, after those that fill
        # the buffer.
        self.scripts = [
            [head + body * 1_025, b"PAUSE", body * 60 + b"0\r\n\r\n"],
            [response_bytes(200, b"two", f"{ID_HEADER}: 2")],
        ]
        connection = await self.pool.acquire(self.target)
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            reply = await connection.exchange(
                b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"", "1", False
            )
            await asyncio.sleep(0.2)
            assert reply.rest is not None
            size = len(reply.body)
            while chunk := await reply.rest.get():
                size += len(chunk)
        self.assertEqual(size, 1_085 * 1_024)
        self.pool.release(self.target, connection)
        _, second, used = await self.exchange("2")
        self.assertEqual(second, b"two")
        self.assertIs(used, connection)

    async def test_refused_connection_sends_nothing(self) -> None:
        self.target = Target("a", "s", "127.0.0.1:1", "amman", 4)
        with self.assertRaises(ExchangeError) as caught:
            await self.exchange("1")
        self.assertFalse(caught.exception.sent)


if __name__ == "__main__":
    unittest.main()
