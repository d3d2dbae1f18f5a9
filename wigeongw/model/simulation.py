"""Discrete-event simulation of hosts that send a load to upstreams."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions import queue_order
from wigeongw.decisions import rate_limit
from wigeongw.decisions import wait_limits
from wigeongw.decisions.placement import Candidate
from wigeongw.model.policies import PlacementContext
from wigeongw.model.policies import POLICIES
from wigeongw.model.simulated_limits import SimulatedLimits
from wigeongw.model.simulated_upstream import Machines
from wigeongw.model.simulated_upstream import SimulatedUpstream

POLL_INTERVAL_MS = 8.0


@dataclass(frozen=True, slots=True)
class Load:
    """Parameters of a simulation.

    Attributes:
        per_s: requests per second at all hosts together.
        hosts: number of entry hosts.
        upstreams: number of upstreams.
        work_ms: median service time of a request at normal speed.
        work_spread: standard deviation of the logarithm of the service time.
        objective_ms: latency objective; a response within it is on time.
        deadline_ms: time after which a response counts as failed.
        way_ms: network round trip time between client and host.
        sample_age_ms: mean of the random age above which a load sample is
            replaced by a new one.
        told: whether hosts inform each other of the requests that they send.
        returns: the maximum number of retries of a client after refusals.
        length_ms: time during which requests arrive.
        limited: number of upstreams that limit their request rate.
        limit_per_s: requests per second that each of them takes from all
            hosts together.
        machines: behaviour of the upstreams.
    """

    per_s: float
    hosts: int = 17
    upstreams: int = 12
    work_ms: float = 120.0
    work_spread: float = 0.3
    objective_ms: float = 300.0
    deadline_ms: float = 800.0
    way_ms: float = 16.0
    sample_age_ms: float = 30.0
    told: bool = True
    returns: int = 0
    length_ms: float = 6_000.0
    limited: int = 0
    limit_per_s: float = 0.0
    machines: Machines = field(default_factory=Machines)


@dataclass(slots=True)
class Result:
    """Number of requests by how they ended.

    Attributes:
        ended: counts by ``on time``, ``late``, ``refused``, ``failed`` and
            ``turned away``.
        granted: when requests were granted, by upstream with a rate limit.
    """

    ended: Counter[str] = field(default_factory=Counter)
    granted: dict[str, list[float]] = field(default_factory=dict)

    def share(self, *kinds: str) -> float:
        """Return the share of all requests that ended in one of these ways."""
        total = sum(self.ended.values())
        return sum(self.ended[kind] for kind in kinds) / max(1, total)


@dataclass(slots=True)
class _Request:
    """One attempt of a client.

    Attributes:
        first_arrived: when the first attempt of this client arrived.
        retries_left: how often the client retries after a refusal.
        upstream: name of the upstream that the request was sent to.
    """

    arrived: float
    work_ms: float
    host: int
    first_arrived: float
    retries_left: int
    upstream: str = ""


class Simulation:
    """A simulation run; the same seed gives the same result."""

    def __init__(self, load: Load, policy: str, seed: int) -> None:
        self.load = load
        self.policy = POLICIES[policy]
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, str, int]] = []
        self.event_numbers = itertools.count()
        self.request_numbers = itertools.count()
        self.requests: dict[int, _Request] = {}
        self.result = Result()
        self.in_flight: list[Counter[str]] = [
            Counter() for _ in range(load.hosts)
        ]
        self.waiting = [0] * load.hosts
        self.sent: dict[str, list[tuple[float, int]]] = {}
        self.upstreams = {
            f"u{n}": SimulatedUpstream(
                f"u{n}", load.machines, random.Random(seed * 1_000 + n)
            )
            for n in range(load.upstreams)
        }
        self.targets = {
            name: Target(name, "s", "127.0.0.1:1", "z", load.machines.slots)
            for name in self.upstreams
        }
        self.samples: dict[str, LoadSample] = {}
        self.host_names = [f"h{n}" for n in range(load.hosts)]
        self.limits = SimulatedLimits(
            load.limit_per_s,
            self.host_names,
            frozenset(list(self.upstreams)[: load.limited]),
        )
        self.result.granted = self.limits.granted

    def run(self) -> Result:
        """Run the simulation until all requests have ended."""
        self._schedule_next_arrival()
        handlers = {
            "arrive": self._arrive,
            "retry": self._retry,
            "poll": self._try_to_place,
            "finish": self._finish,
        }
        while self.events:
            self.now, _, event, number = heapq.heappop(self.events)
            handlers[event](number)
        return self.result

    # Events

    def _schedule(self, at_ms: float, event: str, number: int) -> None:
        heapq.heappush(
            self.events, (at_ms, next(self.event_numbers), event, number)
        )

    def _schedule_next_arrival(self) -> None:
        gap_ms = self.rng.expovariate(self.load.per_s / 1_000.0)
        if self.now + gap_ms < self.load.length_ms:
            self._schedule(
                self.now + gap_ms, "arrive", next(self.request_numbers)
            )

    def _arrive(self, number: int) -> None:
        load = self.load
        work_ms = self.rng.lognormvariate(0.0, load.work_spread) * load.work_ms
        host = self.rng.randrange(load.hosts)
        self.requests[number] = _Request(
            self.now, work_ms, host, self.now, load.returns
        )
        self._schedule_next_arrival()
        self.waiting[host] += 1
        self._try_to_place(number)

    def _retry(self, number: int) -> None:
        self.waiting[self.requests[number].host] += 1
        self._try_to_place(number)

    def _try_to_place(self, number: int) -> None:
        request = self.requests[number]
        upstream_name = self.policy(self._context(request))
        if upstream_name is not None and self.limits.admit(
            self.host_names[request.host], upstream_name, self.now
        ):
            self.waiting[request.host] -= 1
            self._send(number, request, upstream_name)
            return
        if self.now >= self._queue_deadline(request):
            self.waiting[request.host] -= 1
            self._refuse(request)
            return
        self._schedule(self.now + POLL_INTERVAL_MS, "poll", number)

    def _queue_deadline(self, request: _Request) -> float:
        load = self.load
        deadline = request.first_arrived + load.deadline_ms
        if self._is_overdue(request):
            return wait_limits.overdue_queue_deadline(
                request.arrived, load.work_ms, deadline
            )
        return wait_limits.queue_deadline(
            request.arrived, load.objective_ms, load.work_ms, deadline
        )

    def _refuse(self, request: _Request) -> None:
        load = self.load
        slots = int(self._usable_slots() // load.hosts)
        retry_after_ms = load.way_ms + wait_limits.retry_after(
            self.waiting[request.host], slots, load.work_ms, self.rng
        )
        retry_at = self.now + retry_after_ms
        if (
            not request.retries_left
            or retry_at > request.first_arrived + load.deadline_ms
        ):
            self.result.ended["refused"] += 1
            return
        number = next(self.request_numbers)
        self.requests[number] = _Request(
            retry_at,
            request.work_ms,
            self.rng.randrange(load.hosts),
            request.first_arrived,
            request.retries_left - 1,
        )
        self._schedule(retry_at, "retry", number)

    def _usable_slots(self) -> float:
        load = self.load
        limited_slots = rate_limit.usable_slots(
            load.machines.slots, load.limit_per_s, load.work_ms
        )
        unlimited = load.upstreams - load.limited
        return unlimited * load.machines.slots + load.limited * limited_slots

    def _is_overdue(self, request: _Request) -> bool:
        return queue_order.is_overdue(
            request.arrived - request.first_arrived,
            self.load.objective_ms,
            self.load.work_ms,
        )

    def _send(
        self, number: int, request: _Request, upstream_name: str
    ) -> None:
        request.upstream = upstream_name
        self.in_flight[request.host][upstream_name] += 1
        self.sent.setdefault(upstream_name, []).append(
            (self.now, request.host)
        )
        try:
            service_ms = self.upstreams[upstream_name].submit(
                number, request.work_ms, self.now
            )
        except OverflowError:
            self.in_flight[request.host][upstream_name] -= 1
            self.result.ended["turned away"] += 1
            return
        if service_ms is not None:
            self._schedule(self.now + service_ms, "finish", number)

    def _finish(self, number: int) -> None:
        request = self.requests[number]
        self.in_flight[request.host][request.upstream] -= 1
        next_request = self.upstreams[request.upstream].finish(self.now)
        if next_request is not None:
            next_number, service_ms = next_request
            self._schedule(self.now + service_ms, "finish", next_number)
        response_ms = self.now - request.first_arrived + self.load.way_ms
        if response_ms <= self.load.objective_ms:
            self.result.ended["on time"] += 1
        elif response_ms <= self.load.deadline_ms:
            self.result.ended["late"] += 1
        else:
            self.result.ended["failed"] += 1

    # State known to the hosts

    def _context(self, request: _Request) -> PlacementContext:
        return PlacementContext(
            [self._candidate(name, request.host) for name in self.upstreams],
            dict(self.in_flight[request.host]),
            request.arrived,
            self.load.objective_ms,
            self.load.work_ms,
            self.waiting[request.host],
            self.now,
            self.rng,
            self._is_overdue(request),
        )

    def _candidate(self, name: str, host: int) -> Candidate:
        sample = self.samples.get(name)
        if sample is None or (
            self.now - sample.at_ms
            > self.rng.random() * 2.0 * self.load.sample_age_ms
        ):
            sample = self.upstreams[name].sample(self.now)
            self.samples[name] = sample
            self.sent[name] = []
        sending_hosts = [
            sender
            for at, sender in self.sent.get(name, [])
            if at >= sample.at_ms
        ]
        unreported = (
            len(sending_hosts) if self.load.told else sending_hosts.count(host)
        )
        return Candidate(
            self.targets[name],
            True,
            sample,
            unreported,
            0.0,
            cold=False,
            doubtful=False,
            may_probe=True,
            has_cold_token=True,
            rate_limited=name in self.limits.upstreams,
            may_be_granted=self.limits.may_be_granted(
                self.host_names[host], name, self.now
            ),
        )
