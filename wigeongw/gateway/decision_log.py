"""Structured lines on standard output, bounded and never blocking.

A line is ``part: key=value ...``. Lines are gathered and written by a task of
their own in one call; what the reader of the output does not take in time is
counted and the count is written as soon as there is room.
"""

import asyncio
from collections import deque
import os

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

WRITE_EVERY_MS = 200.0
LINES_MOST = 4_000
BYTES_AT_ONCE = 65_536
STDOUT = 1


class DecisionLog:
    """Queues lines and writes them without ever waiting for the reader."""

    def __init__(self, clock: Clock, host: str, stream: int = STDOUT) -> None:
        self.clock = clock
        self.host = host
        self.stream = stream
        self.lines: deque[str] = deque()
        self.unwritten = b""
        self.lost = 0

    def add(self, part: str, **fields: object) -> None:
        """Queue a line; None fields are left out."""
        if len(self.lines) >= LINES_MOST:
            self.lost += 1
            return
        words = [f"{part}: at={self.clock.wall():.0f} host={self.host}"]
        for name, value in fields.items():
            if value is not None:
                words.append(f"{name}={_text(value)}")
        self.lines.append(" ".join(words))

    async def run(self) -> None:
        """Write for ever."""
        os.set_blocking(self.stream, False)
        while True:
            await asyncio.sleep(seconds(WRITE_EVERY_MS))
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes at once."""
        if self.lost and not self.lines:
            lost, self.lost = self.lost, 0
            self.add("log", event="lines_lost", lines=lost)
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self._next_block()
            try:
                written = os.write(self.stream, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read any more; serving goes on without a log.
                self.lost += len(self.lines)
                self.lines.clear()
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]

    def _next_block(self) -> bytes:
        block: list[str] = []
        size = 0
        while self.lines and size < BYTES_AT_ONCE:
            line = self.lines.popleft()
            size += len(line) + 1
            block.append(line)
        return ("\n".join(block) + "\n").encode()


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value)
    if not text:
        return "-"
    return "_".join(text.split())
