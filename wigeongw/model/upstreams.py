"""Upstreams with slots, a queue, a knee and machines shared with others."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import random

from wigeongw.core.site import LoadSample


@dataclass(frozen=True, slots=True)
class Machines:
    """How upstreams behave.

    Attributes:
        slow_share: part of the machines that are slow at any moment.
        slow_factor: how much longer work takes that begins there then.
        period_ms: how long a machine stays fast or slow.
        knee_share: part of the slots above which all work slows down.
        knee_factor: by how much.
        queue_most: requests that may wait; further ones fail.
    """

    slots: int = 4
    slow_share: float = 0.25
    slow_factor: float = 5.0
    period_ms: float = 150.0
    knee_share: float = 0.8
    knee_factor: float = 1.7
    queue_most: int = 8


@dataclass(slots=True)
class ModelUpstream:
    """One upstream; requests are numbers."""

    name: str
    machines: Machines
    rng: random.Random
    running: int = 0
    waiting: deque[tuple[int, float]] = field(default_factory=deque)
    period: int = -1
    slow: bool = False

    def slowdown(self, now: float) -> float:
        """Return how much longer work takes that begins now."""
        period = int(now // self.machines.period_ms)
        if period != self.period:
            self.period = period
            self.slow = self.rng.random() < self.machines.slow_share
        return self.machines.slow_factor if self.slow else 1.0

    def sample(self, now: float) -> LoadSample:
        """Answer a probe."""
        return LoadSample(
            at_ms=now,
            running=self.running,
            waiting=len(self.waiting),
            slots=self.machines.slots,
            slowdown=self.slowdown(now),
            cold_left_ms=0.0,
        )

    def arrive(self, request: int, work_ms: float, now: float) -> float | None:
        """Take a request.

        Returns:
            How long it runs from now, None when it waits.

        Raises:
            OverflowError: when its queue is full; the request fails.
        """
        if self.running < self.machines.slots:
            return self._begin(work_ms, now)
        if len(self.waiting) >= self.machines.queue_most:
            raise OverflowError(self.name)
        self.waiting.append((request, work_ms))
        return None

    def finish(self, now: float) -> tuple[int, float] | None:
        """End a request.

        Returns:
            The waiting request that begins now and how long it runs.
        """
        self.running -= 1
        if not self.waiting:
            return None
        request, work_ms = self.waiting.popleft()
        return request, self._begin(work_ms, now)

    def _begin(self, work_ms: float, now: float) -> float:
        self.running += 1
        took = work_ms * self.slowdown(now)
        if self.running > self.machines.knee_share * self.machines.slots:
            took *= self.machines.knee_factor
        return took
