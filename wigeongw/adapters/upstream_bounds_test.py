"""Bytes of upstreams without end meet the account of their message.

No clock and no network: a fake transport drives the parser. The load is an
upstream that may mix all that a parser accepts beside bodies. What a test
sends is bounded in bytes, so that it ends also when nothing is refused.
"""

import asyncio
import itertools
import unittest

from hypothesis import given
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies

from standins.fake_transport import FakeTransport
from standins.fake_transport import run
from wigeongw.adapters import upstream_connection
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_reply import ExchangeError

# An upstream sends so many times what an exchange may take.
SENT_FACTOR = 4
UNITS_PER_READ = 20
RESPONSE_UNITS = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nxy",
)


class UpstreamBoundsTest(unittest.TestCase):
    def expect_closed(
        self, start: bytes, units: list[bytes], max_bytes: int
    ) -> None:
        """Let an upstream repeat units; the exchange must fail.

        Args:
            start: the first bytes.
            units: what follows, in turn.
            max_bytes: the connection must be closed before twice as many.
        """
        run(lambda: self._play(start, units, max_bytes))

    async def _play(
        self, start: bytes, units: list[bytes], max_bytes: int
    ) -> None:
        connection = UpstreamConnection("x-id")
        transport = FakeTransport()
        connection.connection_made(transport)
        answer = asyncio.create_task(
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", "own", False)
        )
        await asyncio.sleep(0)
        connection.data_received(start)
        taken = 0
        for unit in itertools.cycle(units):
            if transport.is_ended or taken > SENT_FACTOR * max_bytes:
                break
            connection.data_received(unit * UNITS_PER_READ)
            taken += UNITS_PER_READ * len(unit)
            await asyncio.sleep(0)
        if not transport.is_ended:
            answer.cancel()
            self.fail(f"{taken} bytes that are no answer, and not closed")
        with self.assertRaises(ExchangeError):
            await answer
        self.assertLess(taken, 2 * max_bytes)

    # A failure is not made smaller, as each further try takes all bytes.
    @settings(max_examples=20, deadline=None, phases=(Phase.generate,))
    @given(
        strategies.lists(
            strategies.sampled_from(RESPONSE_UNITS[:2]), min_size=1, max_size=6
        )
    )
    def test_informational_responses_share_one_account(
        self, units: list[bytes]
    ) -> None:
        """Each of them began a message and set the count back."""
        self.expect_closed(b"", units, upstream_connection.MAX_OVERHEAD_BYTES)

    def test_responses_to_other_requests_share_one_account(self) -> None:
        """Body bytes of a skipped response set the count back."""
        start = (
            b"HTTP/1.1 200 OK\r\nX-Id: other\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self.expect_closed(
            start,
            [b"1\r\nx\r\n"],
            upstream_connection.MAX_OVERHEAD_BYTES,
        )
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        self.expect_closed(
            start, [chunk], upstream_connection.MAX_FOREIGN_BYTES
        )

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
