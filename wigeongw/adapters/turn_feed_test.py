"""What a connection parses in one turn of the event loop is bounded."""

import asyncio
import unittest

from standins.fake_transport import FakeTransport
from wigeongw.adapters.turn_feed import MAX_BYTES_PER_TURN
from wigeongw.adapters.turn_feed import TurnFeed
from wigeongw.adapters.upstream_connection import UpstreamConnection

SLICE_BYTES = 1 << 10
SENT_BYTES = 1 << 20
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class TurnFeedTest(unittest.IsolatedAsyncioTestCase):
    async def count_turns(self, feed: TurnFeed) -> int:
        """Return in how many turns the rest is parsed.

        Fails if one of them parses more than the bound.
        """
        turns = 0
        while before := feed.waiting:
            await asyncio.sleep(0)
            turns += 1
            self.assertLessEqual(before - feed.waiting, MAX_BYTES_PER_TURN)
        return turns

    async def test_others_run_between_the_turns(self) -> None:
        """All that had arrived was parsed in one go."""
        parsed: list[int] = []
        feed = TurnFeed(
            lambda piece: parsed.append(len(piece)),
            lambda: SLICE_BYTES,
            lambda: None,
        )
        feed.add(b"x" * SENT_BYTES)
        self.assertEqual(sum(parsed), MAX_BYTES_PER_TURN)
        turns = await self.count_turns(feed)
        self.assertGreaterEqual(turns, SENT_BYTES // MAX_BYTES_PER_TURN - 1)
        self.assertEqual(sum(parsed), SENT_BYTES)

    async def test_answer_is_parsed_in_turns(self) -> None:
        """Chunks of one byte kept a host from everybody else."""
        connection = UpstreamConnection("x-id")
        transport = FakeTransport()
        connection.connection_made(transport)
        answer = asyncio.create_task(
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", "", False)
        )
        await asyncio.sleep(0)
        chunks = b"1\r\nx\r\n" * (SENT_BYTES // 6)
        connection.data_received(HEAD + chunks + b"0\r\n\r\n")
        self.assertEqual(connection.account.received, MAX_BYTES_PER_TURN)
        self.assertTrue(transport.is_paused)
        await self.count_turns(connection.feed)
        reply = await answer
        self.assertEqual(len(reply.body), SENT_BYTES // 6)


if __name__ == "__main__":
    unittest.main()
