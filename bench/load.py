"""Open-loop load: arrivals are drawn first and kept, however slow answers are.

Latency counts from the time a request was due, so that a stalled system
cannot hide behind a client that waits for it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import json
import random

from hdrh.histogram import HdrHistogram

from bench.client import Answer
from bench.client import Client
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds

US_PER_MS = 1000.0
LONGEST_US = 120_000_000
DIGITS = 3
SETTLE_MOST_MS = 15_000.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a plan.

    Attributes:
        at_ms: when it is due, from the start.
        work_ms: what it costs at an upstream that does not stall.
        pick: chooses the entry host, from 0 up to 1.
    """

    at_ms: float
    work_ms: float
    pick: float


@dataclass(frozen=True, slots=True)
class Sample:
    """One request as it went.

    Attributes:
        took_ms: from when it was due to the end of its answer.
        worked_ms: what the upstream says it cost.
    """

    due_ms: float
    took_ms: float
    worked_ms: float
    status: int
    outcome: str


@dataclass(slots=True)
class Result:
    """A run of load."""

    samples: list[Sample] = field(default_factory=list)

    @property
    def good(self) -> list[Sample]:
        """Requests with a whole good answer."""
        return [s for s in self.samples if s.status == 200]

    def percentile(self, percent: float) -> float:
        """Return the latency of good answers in milliseconds."""
        return percentile((s.took_ms for s in self.good), percent)


def percentile(values_ms: object, percent: float) -> float:
    """Return a percentile through an HDR histogram, in milliseconds."""
    histogram = HdrHistogram(1, LONGEST_US, DIGITS)
    for value in values_ms:  # type: ignore[attr-defined]
        histogram.record_value(max(1, int(value * US_PER_MS)))
    found = histogram.get_value_at_percentile(percent)
    return float(found) / US_PER_MS


def plan(
    rate: float,
    length_ms: float,
    work_ms: float,
    sigma: float,
    seed: int,
) -> list[Arrival]:
    """Draw Poisson arrivals with lognormal work.

    Args:
        rate: requests a second.
        length_ms: how long requests arrive.
        work_ms: the mean work of a request.
        sigma: of the lognormal.
        seed: of all draws.
    """
    rng = random.Random(seed)
    mu = -(sigma**2) / 2
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate) * MS_PER_S
        if at >= length_ms:
            return arrivals
        work = work_ms * rng.lognormvariate(mu, sigma)
        arrivals.append(Arrival(at, work, rng.random()))


async def run(
    arrivals: Sequence[Arrival],
    addresses: Callable[[], Sequence[str]],
    path: str,
    deadline_ms: float,
) -> Result:
    """Send a plan's requests when they are due.

    Args:
        arrivals: the plan.
        addresses: gives the entry hosts to choose from, asked each time.
        path: of every request.
        deadline_ms: named by every request.
    """
    clock = Clock()
    client = Client()
    result = Result()
    began = clock.now()
    asking: set[asyncio.Task[None]] = set()
    headers = f"Wigeongw-Deadline-Ms: {int(deadline_ms)}\r\n"

    async def one(arrival: Arrival) -> None:
        known = addresses()
        address = known[int(arrival.pick * len(known))]
        target = f"{path}?work_ms={arrival.work_ms:.3f}"
        answer = await client.get(address, target, headers)
        took = clock.now() - began - arrival.at_ms
        result.samples.append(_sample(arrival, took, answer))

    try:
        for arrival in arrivals:
            wait = arrival.at_ms - (clock.now() - began)
            if wait > 0:
                await asyncio.sleep(seconds(wait))
            task = asyncio.create_task(one(arrival))
            asking.add(task)
            task.add_done_callback(asking.discard)
        if asking:
            await asyncio.wait(list(asking), timeout=seconds(SETTLE_MOST_MS))
    finally:
        for task in asking:
            task.cancel()
        client.close()
    return result


def _sample(arrival: Arrival, took: float, answer: Answer) -> Sample:
    worked = arrival.work_ms
    if answer.status == 200:
        worked = float(json.loads(answer.body).get("worked_ms", worked))
    return Sample(arrival.at_ms, took, worked, answer.status, answer.outcome)
