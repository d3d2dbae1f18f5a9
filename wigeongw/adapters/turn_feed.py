"""Feeds received bytes to a parser, a bounded number in a turn of the loop."""

import asyncio
from collections.abc import Callable

# A connection parses up to so many bytes before others are read.
MAX_BYTES_PER_TURN = 64 << 10
# Between two slices the receiver may stop the feed.
SLICE_BYTES = 1 << 10


class TurnFeed:
    """The bytes of one connection that are not parsed yet.

    Attributes:
        parse: parses a slice of bytes.
        next_size: returns how many bytes the next slice may have; 0 to wait
            until ``schedule`` is called.
        on_change: called after the number of waiting bytes has changed.
        data: received bytes.
        parsed: how many of them are parsed.
        next_turn: goes on in the next turn of the event loop.
    """

    def __init__(
        self,
        parse: Callable[[bytes], None],
        next_size: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self.parse = parse
        self.next_size = next_size
        self.on_change = on_change
        self.data = b""
        self.parsed = 0
        self.next_turn: asyncio.Handle | None = None

    @property
    def waiting(self) -> int:
        """Number of bytes that are not parsed yet."""
        return len(self.data) - self.parsed

    def add(self, data: bytes) -> None:
        """Add received bytes and parse, unless a later turn will."""
        self.data = self.data + data if self.data else data
        if self.next_turn is None:
            self.run()
        else:
            self.on_change()

    def schedule(self) -> None:
        """Parse in the next turn of the event loop, if bytes wait."""
        if self.next_turn is None and self.waiting:
            loop = asyncio.get_running_loop()
            self.next_turn = loop.call_soon(self.run)

    def run(self) -> None:
        """Parse up to the bound of a turn, and the rest in the next one."""
        self.next_turn = None
        left = MAX_BYTES_PER_TURN
        while self.waiting and left > 0:
            size = min(left, self.next_size())
            if size <= 0:
                break
            piece = self.data[self.parsed : self.parsed + size]
            self.parsed += len(piece)
            left -= len(piece)
            self.parse(piece)
        self.data = self.data[self.parsed :]
        self.parsed = 0
        if left <= 0:
            self.schedule()
        self.on_change()

    def end(self) -> None:
        """Forget what has not been parsed, and who would parse it.

        The receiver refers to its feed. Were it the other way too, both would
        stay until the next garbage collection.
        """
        self.drop()
        self.parse = _ignore_piece
        self.next_size = int
        self.on_change = _ignore_change

    def drop(self) -> None:
        """Forget what has not been parsed, for good."""
        self.data = b""
        self.parsed = 0
        if self.next_turn is not None:
            self.next_turn.cancel()
            self.next_turn = None


def _ignore_piece(piece: bytes) -> None:
    """Parse nothing."""


def _ignore_change() -> None:
    """Note nothing."""
