"""Simulated upstreams with slots, a queue and varying speed."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import random

from wigeongw.core.site import LoadSample


@dataclass(frozen=True, slots=True)
class Machines:
    """Behaviour of the machines that run the upstreams.

    The speed of a machine varies because it is shared with other workloads.

    Attributes:
        slots: requests that an upstream runs concurrently.
        slow_share: share of the machines that are slow at any moment.
        slow_factor: factor on the service time of requests that start on a
            slow machine.
        period_ms: time after which a machine may change between fast and
            slow.
        knee_share: share of the slots above which requests that start take
            longer.
        knee_factor: factor on the service time above that share.
        queue_most: requests that may be queued; further ones fail.
    """

    slots: int = 4
    slow_share: float = 0.25
    slow_factor: float = 5.0
    period_ms: float = 150.0
    knee_share: float = 0.8
    knee_factor: float = 1.7
    queue_most: int = 8


@dataclass(slots=True)
class SimulatedUpstream:
    """One upstream; requests are identified by numbers.

    Attributes:
        running: requests that occupy a slot.
        waiting: queued requests with their service times.
        period: index of the current period of constant speed.
        slow: whether the machine is slow in this period.
    """

    name: str
    machines: Machines
    rng: random.Random
    running: int = 0
    waiting: deque[tuple[int, float]] = field(default_factory=deque)
    period: int = -1
    slow: bool = False

    def slowdown(self, now: float) -> float:
        """Return the factor on the service time of requests that start now."""
        period = int(now // self.machines.period_ms)
        if period != self.period:
            self.period = period
            self.slow = self.rng.random() < self.machines.slow_share
        return self.machines.slow_factor if self.slow else 1.0

    def sample(self, now: float) -> LoadSample:
        """Return a load sample, as a probe would receive it."""
        return LoadSample(
            at_ms=now,
            running=self.running,
            waiting=len(self.waiting),
            slots=self.machines.slots,
            slowdown=self.slowdown(now),
            cold_left_ms=0.0,
        )

    def submit(self, request: int, work_ms: float, now: float) -> float | None:
        """Accept a request.

        Args:
            request: number of the request.
            work_ms: service time at normal speed.
            now: simulated time in milliseconds.

        Returns:
            The service time from now, or None when the request is queued.

        Raises:
            OverflowError: when the queue is full; the request fails.
        """
        if self.running < self.machines.slots:
            return self._start(work_ms, now)
        if len(self.waiting) >= self.machines.queue_most:
            raise OverflowError(self.name)
        self.waiting.append((request, work_ms))
        return None

    def finish(self, now: float) -> tuple[int, float] | None:
        """Complete a request and start the next one from the queue.

        Returns:
            The request that starts now and its service time, or None when
            the queue is empty.
        """
        self.running -= 1
        if not self.waiting:
            return None
        request, work_ms = self.waiting.popleft()
        return request, self._start(work_ms, now)

    def _start(self, work_ms: float, now: float) -> float:
        self.running += 1
        service_ms = work_ms * self.slowdown(now)
        if self.running > self.machines.knee_share * self.machines.slots:
            service_ms *= self.machines.knee_factor
        return service_ms
