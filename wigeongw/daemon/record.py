"""The record: one line for each routing or placement decision.

Lines are queued without formatting and written by a task of their own, so a
slow disk or terminal never holds a request. What does not fit in the queue is
counted, and the count is written as a line of its own.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
import sys
from typing import TextIO

import logbook

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.daemon.metrics import Metrics

WRITE_EVERY_MS = 100.0
LINES_AT_ONCE = 200
FORMAT = "{record.message}"

ROUTE = "route"
PLACE = "place"


@dataclass(frozen=True, slots=True)
class Line:
    """One decision.

    Attributes:
        at_ms: wall clock in milliseconds.
        part: the fixed prefix, "route" or "place".
        subject: the request's identity, or the pool or host placed.
        target: the upstream or entry host chosen, empty for none.
        revision: of the settings it was decided under.
        reason: why, in one word or two joined by a hyphen.
    """

    at_ms: float
    part: str
    subject: str
    service: str
    target: str
    availability_zone: str
    revision: int
    reason: str

    def text(self) -> str:
        """Return the line as written, fields in a fixed order."""
        return (
            f"{self.part}: at={self.at_ms:.3f} id={self.subject or '-'} "
            f"service={self.service or '-'} to={self.target or '-'} "
            f"zone={self.availability_zone or '-'} "
            f"revision={self.revision} reason={self.reason}"
        )


class Record:
    """Queues decisions and writes them off the request path."""

    def __init__(self, clock: Clock, metrics: Metrics, most: int) -> None:
        self.clock = clock
        self.metrics = metrics
        self.most = most
        self.lines: deque[Line] = deque()
        self.lost = 0
        self.log = logbook.Logger("record")

    def add(
        self,
        part: str,
        subject: str,
        service: str,
        target: str,
        availability_zone: str,
        revision: int,
        reason: str,
    ) -> None:
        """Queue a decision, or count it as lost when the queue is full."""
        if len(self.lines) >= self.most:
            self.lost += 1
            self.metrics.count("record_lines_lost")
            return
        self.lines.append(
            Line(
                self.clock.wall(),
                part,
                subject,
                service,
                target,
                availability_zone,
                revision,
                reason,
            )
        )

    async def run(self) -> None:
        """Write queued lines for ever, a few at a time."""
        while True:
            await asyncio.sleep(seconds(WRITE_EVERY_MS))
            while self.lines:
                self.write(LINES_AT_ONCE)
                await asyncio.sleep(0)

    def write(self, most: int) -> None:
        """Write up to a number of queued lines."""
        for _ in range(min(most, len(self.lines))):
            self.log.info(self.lines.popleft().text())
        if self.lost and not self.lines:
            self.log.warning("record: lost={}", self.lost)
            self.lost = 0


def handler_for(stream: TextIO) -> logbook.StreamHandler:
    """Build the handler that writes the record's lines to a stream."""
    handler = logbook.StreamHandler(
        stream,
        level="INFO",
        filter=lambda record, _: record.channel == "record",
        bubble=False,
    )
    handler.format_string = FORMAT
    return handler


def parts_handler() -> logbook.StreamHandler:
    """Build the handler for the other parts' short sentences."""
    handler = logbook.StreamHandler(sys.stderr, level="INFO")
    handler.format_string = (
        "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.channel}: {record.message}"
    )
    return handler
