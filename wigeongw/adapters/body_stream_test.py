"""Tests that long bodies are passed on whole, with a bound on what waits."""

import asyncio
import unittest

from wigeongw.adapters.body_stream import BodyStream
from wigeongw.ports.errors import BodyError

MAX_WAITING = 10_000
TOO_MUCH = b"x" * (MAX_WAITING + 1)


class BodyStreamTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.calls: list[str] = []
        self.stream = BodyStream(
            MAX_WAITING,
            lambda: self.calls.append("pause"),
            lambda: self.calls.append("resume"),
        )

    async def test_small_pieces_are_passed_on_in_one(self) -> None:
        for _ in range(1_000):
            self.stream.feed(b"ab")
        self.assertEqual(await self.stream.get(), b"ab" * 1_000)
        self.assertEqual(self.calls, [])

    async def test_reading_pauses_until_the_reader_takes_bytes(self) -> None:
        self.stream.feed(TOO_MUCH)
        self.stream.feed(b"y")
        self.assertEqual(self.calls, ["pause"])
        self.assertEqual(await self.stream.get(), TOO_MUCH + b"y")
        self.assertEqual(self.calls, ["pause", "resume"])

    async def test_reading_resumes_when_the_pause_comes_with_the_end(
        self,
    ) -> None:
        """The connection went back to the pool and was never read again."""
        self.stream.feed(TOO_MUCH)
        self.stream.finish()
        self.assertEqual(self.calls, ["pause", "resume"])
        self.assertEqual(await self.stream.get(), TOO_MUCH)
        self.assertIsNone(await self.stream.get())
        self.assertEqual(self.calls, ["pause", "resume"])

    async def test_what_has_arrived_comes_before_the_error(self) -> None:
        self.stream.feed(b"ab")
        self.stream.finish(BodyError("reset"))
        self.stream.finish()
        self.assertEqual(await self.stream.get(), b"ab")
        with self.assertRaises(BodyError):
            await self.stream.get()

    async def test_reader_that_waits_gets_bytes_and_the_end(self) -> None:
        for feed, expected in ((True, b"ab"), (False, None)):
            with self.subTest(feed=feed):
                reader = asyncio.create_task(self.stream.get())
                await asyncio.sleep(0)
                if feed:
                    self.stream.feed(b"ab")
                else:
                    self.stream.finish()
                self.assertEqual(await reader, expected)


if __name__ == "__main__":
    unittest.main()
