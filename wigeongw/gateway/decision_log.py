"""Non-blocking log of structured lines on standard output.

A line has the form ``record_type: key=value ...``. Lines are queued up to a
limit and written in batches by a background task. Lines that exceed the limit
because the reader is too slow are dropped; their number is logged as soon as
the queue is empty.
"""

import asyncio
from collections import deque
import os

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

WRITE_INTERVAL_MS = 200.0
MAX_QUEUED_LINES = 4_000
MAX_QUEUED_CHARS = 4 << 20
MAX_WRITE_BYTES = 65_536
STDOUT_FD = 1
# Values may hold what others sent.
MAX_VALUE_CHARS = 1_000


class DecisionLog:
    """Queues log lines and writes them without blocking.

    Attributes:
        host: name of the host, part of each line.
        fd: file descriptor of the output.
        lines: queued lines.
        queued_chars: their length.
        unwritten: rest of a block that was written in part.
        dropped: number of lines lost since the last report of losses.
    """

    def __init__(self, clock: Clock, host: str, fd: int = STDOUT_FD) -> None:
        self.clock = clock
        self.host = host
        self.fd = fd
        self.lines: deque[str] = deque()
        self.queued_chars = 0
        self.unwritten = b""
        self.dropped = 0

    def add(self, record_type: str, **fields: object) -> None:
        """Queue a line.

        Args:
            record_type: the first word of the line.
            **fields: keys and values in order; fields that are None are
                omitted.
        """
        if (
            len(self.lines) >= MAX_QUEUED_LINES
            or self.queued_chars >= MAX_QUEUED_CHARS
        ):
            self.dropped += 1
            return
        tokens = [
            f"{record_type}: at={self.clock.wall():.0f} host={self.host}"
        ]
        for name, value in fields.items():
            if value is not None:
                tokens.append(f"{name}={_format_value(value)}")
        line = " ".join(tokens)
        self.lines.append(line)
        self.queued_chars += len(line)

    async def run(self) -> None:
        """Write queued lines periodically, until cancelled."""
        os.set_blocking(self.fd, False)
        while True:
            await asyncio.sleep(seconds(WRITE_INTERVAL_MS))
            self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the reader accepts now."""
        if self.dropped and not self.lines:
            dropped, self.dropped = self.dropped, 0
            self.add("log", event="lines_lost", lines=dropped)
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self._next_block()
            try:
                written = os.write(self.fd, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the stream; the host keeps serving without
                # a log.
                self.dropped += len(self.lines)
                self.lines.clear()
                self.queued_chars = 0
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]

    def _next_block(self) -> bytes:
        block: list[str] = []
        size = 0
        while self.lines and size < MAX_WRITE_BYTES:
            line = self.lines.popleft()
            self.queued_chars -= len(line)
            size += len(line) + 1
            block.append(line)
        text = "\n".join(block) + "\n"
        return text.encode(errors="backslashreplace")


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value)
    if not text:
        return "-"
    return "_".join(text[:MAX_VALUE_CHARS].split())
