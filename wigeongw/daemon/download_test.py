"""Tests of the waits for the pieces of a body."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from types import SimpleNamespace
from typing import cast
import unittest

from wigeongw.core.clock import ManualClock
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.download import Download
from wigeongw.daemon.download import MAX_BODY_MS
from wigeongw.daemon.errors import ResponseTruncatedError
from wigeongw.daemon.exchange import Exchange
from wigeongw.daemon.exchange import Request

PIECE = b"x" * 100
DEADLINE_MS = 500.0


@dataclass
class DrippingExchange:
    """A response whose body drips and has no end.

    Attributes:
        clock: moves on with each piece.
        gap_ms: time from one piece to the next.
        is_cold: whether the upstream is cold.
    """

    clock: ManualClock
    gap_ms: float
    is_cold: bool
    buffered_body: None = None
    is_complete: bool | None = None

    def __post_init__(self) -> None:
        self.reply = SimpleNamespace(status=200, headers=())
        self.held = SimpleNamespace(upstream="u", cold=self.is_cold)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield pieces for good."""
        while True:
            self.clock.advance(self.gap_ms)
            yield PIECE

    async def close(self, is_complete: bool) -> None:
        """Remember how the exchange ended."""
        self.is_complete = is_complete


class DownloadTest(unittest.IsolatedAsyncioTestCase):
    async def test_body_that_drips_for_good_holds_its_client(self) -> None:
        """It ends after the time limit, or from a cold upstream earlier."""
        for is_cold, limit_ms in ((False, MAX_BODY_MS), (True, DEADLINE_MS)):
            with self.subTest(is_cold=is_cold):
                clock = ManualClock()
                exchange = DrippingExchange(clock, 100.0, is_cold)
                download = Download(
                    cast(Dispatcher, SimpleNamespace(clock=clock)),
                    Request("r", "s", "GET", "/", (), None, DEADLINE_MS),
                    cast(Exchange, exchange),
                )
                with self.assertRaises(ResponseTruncatedError):
                    async for _ in download.chunks():
                        self.assertLessEqual(clock.now(), limit_ms)
                self.assertLess(clock.now(), limit_ms + 2 * exchange.gap_ms)
                self.assertIs(exchange.is_complete, False)


if __name__ == "__main__":
    unittest.main()
