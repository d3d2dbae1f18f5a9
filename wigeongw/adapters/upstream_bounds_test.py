"""Bytes of upstreams without end meet the account of their message.

No clock and no network: a fake transport drives the parser. The load is an
upstream that may mix all that a parser accepts beside bodies.
"""

import asyncio
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from standins.fake_transport import FakeTransport
from standins.fake_transport import run
from wigeongw.adapters import upstream_connection
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_reply import ExchangeError

MAX_PIECES = 30_000
RESPONSE_UNITS = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nxy",
)


class UpstreamBoundsTest(unittest.TestCase):
    def exchange(self, start: bytes, units: list[bytes]) -> tuple[int, bool]:
        """Let an upstream repeat units; return bytes taken, and if it failed.

        The bytes are those that came before the connection was closed.
        """
        taken = 0
        has_failed = False

        async def play() -> None:
            nonlocal taken, has_failed
            connection = UpstreamConnection("x-id")
            transport = FakeTransport()
            connection.connection_made(transport)
            answer = asyncio.create_task(
                connection.exchange(
                    b"GET / HTTP/1.1\r\n\r\n", b"", "own", False
                )
            )
            await asyncio.sleep(0)
            connection.data_received(start)
            for number in range(MAX_PIECES):
                if transport.is_ended:
                    break
                unit = units[number % len(units)]
                connection.data_received(unit * 20)
                taken += 20 * len(unit)
                await asyncio.sleep(0)
            try:
                await answer
            except ExchangeError:
                has_failed = True

        run(play)
        return taken, has_failed

    @settings(max_examples=20, deadline=None)
    @given(
        strategies.lists(
            strategies.sampled_from(RESPONSE_UNITS[:2]), min_size=1, max_size=6
        )
    )
    def test_informational_responses_share_one_account(
        self, units: list[bytes]
    ) -> None:
        """Each of them began a message and set the count back."""
        taken, has_failed = self.exchange(b"", units)
        self.assertTrue(has_failed)
        bound = upstream_connection.MAX_OVERHEAD_BYTES
        self.assertLess(taken, 2 * bound)

    def test_responses_to_other_requests_share_one_account(self) -> None:
        start = (
            b"HTTP/1.1 200 OK\r\nX-Id: other\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        taken, has_failed = self.exchange(start, [b"1\r\nx\r\n"])
        self.assertTrue(has_failed)
        self.assertLess(taken, 2 * upstream_connection.MAX_OVERHEAD_BYTES)
        taken, has_failed = self.exchange(
            start, [b"400\r\n" + b"x" * 1024 + b"\r\n"]
        )
        self.assertTrue(has_failed)
        self.assertLess(taken, 2 * upstream_connection.MAX_FOREIGN_BYTES)

    def test_answer_in_small_chunks_is_read(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def play() -> None:
            connection = UpstreamConnection("x-id")
            connection.connection_made(FakeTransport())
            answer = asyncio.create_task(
                connection.exchange(
                    b"GET / HTTP/1.1\r\n\r\n", b"", "own", False
                )
            )
            await asyncio.sleep(0)
            connection.data_received(start + b"1\r\nx\r\n" * 50_000)
            connection.data_received(b"0\r\n\r\n")
            reply = await answer
            self.assertEqual(reply.body, b"x" * 50_000)

        run(play)


if __name__ == "__main__":
    unittest.main()
