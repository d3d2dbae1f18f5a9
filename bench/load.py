"""Open-loop load: arrival times are drawn first and do not depend on latency.

Latency is measured from the time at which a request was due. A client that
waited for responses before it sent more would hide the stalls of the system.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import json
import random

from hdrh.histogram import HdrHistogram

from bench.client import Client
from bench.client import Response
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds

US_PER_MS = 1000.0
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
DRAIN_TIMEOUT_MS = 15_000.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send.

    Attributes:
        due_ms: When to send the request, in milliseconds from the start.
        work_ms: Service time at an upstream that does not stall.
        host_choice: Number from 0 up to 1 that selects the entry host.
    """

    due_ms: float
    work_ms: float
    host_choice: float


@dataclass(frozen=True, slots=True)
class Sample:
    """One request with its result.

    Attributes:
        due_ms: When the request was due, in milliseconds from the start.
        latency_ms: Time from then to the end of the response.
        worked_ms: Service time that the upstream reports; the drawn one
            when the request failed.
        status: Status of the response; 0 when the exchange failed.
        outcome: Outcome that the entry host reports.
    """

    due_ms: float
    latency_ms: float
    worked_ms: float
    status: int
    outcome: str


@dataclass(slots=True)
class LoadRun:
    """Samples of one run of load."""

    samples: list[Sample] = field(default_factory=list)

    @property
    def successful(self) -> list[Sample]:
        """Requests with a complete successful response."""
        return [s for s in self.samples if s.status == 200]

    def percentile(self, percent: float) -> float:
        """Return a latency percentile of the successful requests in ms."""
        return percentile((s.latency_ms for s in self.successful), percent)


def percentile(values_ms: object, percent: float) -> float:
    """Return a percentile, computed with an HDR histogram.

    Args:
        values_ms: Iterable of values in milliseconds.
        percent: Percentile, from 0 to 100.

    Returns:
        The percentile in milliseconds, to three significant digits.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values_ms:  # type: ignore[attr-defined]
        histogram.record_value(max(1, int(value * US_PER_MS)))
    value_us = histogram.get_value_at_percentile(percent)
    return float(value_us) / US_PER_MS


def draw_arrivals(
    rate: float,
    duration_ms: float,
    work_ms: float,
    sigma: float,
    seed: int,
) -> list[Arrival]:
    """Draw Poisson arrivals with lognormal service times.

    Args:
        rate: Requests per second.
        duration_ms: Time during which requests arrive.
        work_ms: Mean service time.
        sigma: Sigma of the lognormal distribution.
        seed: Seed of the random numbers.
    """
    rng = random.Random(seed)
    mu = -(sigma**2) / 2
    arrivals: list[Arrival] = []
    due_ms = 0.0
    while True:
        due_ms += rng.expovariate(rate) * MS_PER_S
        if due_ms >= duration_ms:
            return arrivals
        drawn_work_ms = work_ms * rng.lognormvariate(mu, sigma)
        arrivals.append(Arrival(due_ms, drawn_work_ms, rng.random()))


async def send_arrivals(
    arrivals: Sequence[Arrival],
    addresses: Callable[[], Sequence[str]],
    path: str,
    deadline_ms: float,
) -> LoadRun:
    """Send requests when they are due and wait for the responses.

    Requests without a response after ``DRAIN_TIMEOUT_MS`` are cancelled and
    have no sample.

    Args:
        arrivals: Requests to send, in order of their due times.
        addresses: Called for each request; returns the addresses of the
            entry hosts to choose from.
        path: Path of every request.
        deadline_ms: Deadline that every request carries, in milliseconds.
    """
    clock = Clock()
    client = Client()
    result = LoadRun()
    started_at = clock.now()
    tasks: set[asyncio.Task[None]] = set()
    headers = f"Wigeongw-Deadline-Ms: {int(deadline_ms)}\r\n"

    async def send_one(arrival: Arrival) -> None:
        hosts = addresses()
        address = hosts[int(arrival.host_choice * len(hosts))]
        target = f"{path}?work_ms={arrival.work_ms:.3f}"
        response = await client.get(address, target, headers)
        latency_ms = clock.now() - started_at - arrival.due_ms
        result.samples.append(_sample(arrival, latency_ms, response))

    try:
        for arrival in arrivals:
            wait_ms = arrival.due_ms - (clock.now() - started_at)
            if wait_ms > 0:
                await asyncio.sleep(seconds(wait_ms))
            task = asyncio.create_task(send_one(arrival))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(list(tasks), timeout=seconds(DRAIN_TIMEOUT_MS))
    finally:
        for task in tasks:
            task.cancel()
        client.close()
    return result


def _sample(arrival: Arrival, latency_ms: float, response: Response) -> Sample:
    worked_ms = arrival.work_ms
    if response.status == 200:
        worked_ms = float(
            json.loads(response.body).get("worked_ms", worked_ms)
        )
    return Sample(
        arrival.due_ms,
        latency_ms,
        worked_ms,
        response.status,
        response.outcome,
    )
