"""Answers that are late, foreign, cut, unframed or no answers at all."""

import asyncio
from contextlib import AsyncExitStack
import socket
import struct
import unittest

from standins.scripted import Heard
from standins.scripted import ScriptedUpstream
from standins.scripted import text
from wigeongw.adapters.upstream_connection import ExchangeError
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import Clock
from wigeongw.core.site import Target

ID = "x-id"
WAIT_S = 5.0


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    script: list[list[bytes]]

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.upstream = ScriptedUpstream(self.answer)
        await self.upstream.start(self.stack)
        self.pool = UpstreamPool(Clock(), ID)
        self.stack.callback(self.pool.close)
        self.target = Target("a", "s", self.upstream.address, "amman", 4)

    async def answer(self, heard: Heard, writer: asyncio.StreamWriter) -> None:
        for piece in self.script.pop(0):
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
            writer.write(piece)

    async def ask(
        self, identity: str, method: str = "GET"
    ) -> tuple[int, bytes, UpstreamConnection]:
        connection = await self.pool.take(self.target)
        head = f"{method} / HTTP/1.1\r\nHost: a\r\n{ID}: {identity}\r\n\r\n"
        async with asyncio.timeout(WAIT_S):
            reply = await connection.exchange(
                head.encode(), b"", identity, method == "HEAD"
            )
        self.pool.give_back(self.target, connection)
        return reply.status, reply.body, connection


class WholeAnswerTest(ConnectionCase):
    async def test_answers_that_are_whole(self) -> None:
        chunked = "Transfer-Encoding: chunked"
        cases = (
            ("plain", [text(200, b"one", f"{ID}: 1")], b"one", True),
            (
                "chunked",
                [text(200, b"3\r\none\r\n0\r\n\r\n", chunked, length=-1)],
                b"one",
                True,
            ),
            (
                "after an informational one",
                [text(103, b"", length=-1), text(200, b"one")],
                b"one",
                True,
            ),
            (
                "ends with its connection",
                [text(200, b"one", length=-1), b"CLOSE"],
                b"one",
                False,
            ),
            (
                "followed by a second one",
                [text(200, b"one"), text(200, b"two")],
                b"one",
                False,
            ),
            (
                "after a late one to another request",
                [text(200, b"old", f"{ID}: 0"), text(200, b"one")],
                b"one",
                False,
            ),
            (
                "leaving",
                [text(200, b"one", "Connection: close")],
                b"one",
                False,
            ),
        )
        for case, pieces, body, kept in cases:
            with self.subTest(case=case):
                self.script = [pieces]
                status, found, connection = await self.ask("1")
                self.assertEqual((status, found), (200, body))
                self.assertEqual(connection.is_open, kept)
                self.pool.close()

    async def test_head_only_answers_have_no_body(self) -> None:
        self.script = [[text(200, b"", length=500)]]
        status, found, _ = await self.ask("1", "HEAD")
        self.assertEqual((status, found), (200, b""))

    async def test_late_bytes_end_an_idle_connection(self) -> None:
        self.script = [
            [text(200, b"one"), b"PAUSE", text(200, b"late")],
            [text(200, b"two")],
        ]
        _, _, first = await self.ask("1")
        await asyncio.sleep(0.1)
        self.assertFalse(first.is_open)
        _, body, second = await self.ask("2")
        self.assertEqual(body, b"two")
        self.assertIsNot(first, second)

    async def test_kept_connection_is_used_again(self) -> None:
        self.script = [[text(200, b"one")], [text(200, b"two")]]
        await self.ask("1")
        await self.ask("2")
        self.assertEqual(self.upstream.connections, 1)


class BrokenAnswerTest(ConnectionCase):
    async def test_answers_that_are_not_whole(self) -> None:
        cases = (
            ("cut", [text(200, b"one", length=9), b"CLOSE"]),
            ("cut by reset", [text(200, b"one", length=9), b"RESET"]),
            ("unframed and reset", [text(200, b"one", length=-1), b"RESET"]),
            ("no answer", [b"\x00\x01garbage\r\n\r\n"]),
            ("closed", [b"CLOSE"]),
            (
                "three to other requests",
                [text(200, b"old", f"{ID}: 0")] * 3,
            ),
        )
        for case, pieces in cases:
            with self.subTest(case=case):
                self.script = [list(pieces)]
                with self.assertRaises(ExchangeError) as caught:
                    await self.ask("1")
                self.assertTrue(caught.exception.sent)

    async def test_nothing_is_sent_when_nobody_listens(self) -> None:
        self.target = Target("a", "s", "127.0.0.1:1", "amman", 4)
        with self.assertRaises(ExchangeError) as caught:
            await self.ask("1")
        self.assertFalse(caught.exception.sent)


if __name__ == "__main__":
    unittest.main()
