"""The decision log: one line for each routing or placement decision.

Decisions are queued unformatted and written by a background task, so that a
slow disk or terminal does not delay requests. Decisions that do not fit into
the queue are dropped; the number of dropped decisions is logged as a separate
line.
"""

import asyncio
from collections import deque
from dataclasses import dataclass
import sys
from typing import TextIO

import logbook

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.metrics import Metrics

WRITE_INTERVAL_MS = 100.0
MAX_LINES_PER_BATCH = 200
LINE_FORMAT = "{record.message}"

ROUTE = "route"
PLACE = "place"


@dataclass(frozen=True, slots=True)
class Decision:
    """One logged decision.

    Attributes:
        at_ms: wall clock time of the decision in milliseconds.
        kind: line prefix, ROUTE or PLACE.
        subject: identity of the routed request, or name of the placed pool or
            host.
        service: name of the service; empty when none applies.
        target: chosen upstream or entry host; empty for none.
        availability_zone: availability zone of the target.
        revision: number of the settings revision in force.
        reason: one word, or several joined by hyphens.
    """

    at_ms: float
    kind: str
    subject: str
    service: str
    target: str
    availability_zone: str
    revision: int
    reason: str

    def format(self) -> str:
        """Return the log line, with its fields in a fixed order."""
        return (
            f"{self.kind}: at={self.at_ms:.3f} id={self.subject or '-'} "
            f"service={self.service or '-'} to={self.target or '-'} "
            f"zone={self.availability_zone or '-'} "
            f"revision={self.revision} reason={self.reason}"
        )


class DecisionLog:
    """Queues decisions and writes them in the background.

    Attributes:
        max_queued: decisions that may wait to be written.
        dropped: decisions dropped since the last line about them.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, max_queued: int
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.max_queued = max_queued
        self.queue: deque[Decision] = deque()
        self.dropped = 0
        self.logger = logbook.Logger("record")

    def add(
        self,
        kind: str,
        subject: str,
        service: str,
        target: str,
        availability_zone: str,
        revision: int,
        reason: str,
    ) -> None:
        """Queue a decision; drop and count it when the queue is full."""
        if len(self.queue) >= self.max_queued:
            self.dropped += 1
            self.metrics.count("record_lines_lost")
            return
        self.queue.append(
            Decision(
                self.clock.wall(),
                kind,
                subject,
                service,
                target,
                availability_zone,
                revision,
                reason,
            )
        )

    async def run(self) -> None:
        """Write queued decisions in batches until cancelled."""
        while True:
            await asyncio.sleep(seconds(WRITE_INTERVAL_MS))
            while self.queue:
                self.write(MAX_LINES_PER_BATCH)
                await asyncio.sleep(0)

    def write(self, max_lines: int) -> None:
        """Write at most ``max_lines`` queued decisions.

        The number of dropped decisions is written once the queue is empty.
        """
        for _ in range(min(max_lines, len(self.queue))):
            self.logger.info(self.queue.popleft().format())
        if self.dropped and not self.queue:
            self.logger.warning("record: lost={}", self.dropped)
            self.dropped = 0


def decision_handler(stream: TextIO) -> logbook.StreamHandler:
    """Build the handler that writes decision lines to a stream."""
    handler = logbook.StreamHandler(
        stream,
        level="INFO",
        filter=lambda record, _: record.channel == "record",
        bubble=False,
    )
    handler.format_string = LINE_FORMAT
    return handler


def diagnostic_handler() -> logbook.StreamHandler:
    """Build the handler that writes all other log messages to stderr."""
    handler = logbook.StreamHandler(sys.stderr, level="INFO")
    handler.format_string = (
        "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.channel}: {record.message}"
    )
    return handler
