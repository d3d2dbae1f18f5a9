"""Plays a load on modelled upstreams and counts what callers get."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions import patience
from wigeongw.decisions import queueing
from wigeongw.decisions.placing import Candidate
from wigeongw.model.policies import Asked
from wigeongw.model.policies import POLICIES
from wigeongw.model.upstreams import Machines
from wigeongw.model.upstreams import ModelUpstream

LOOK_EVERY_MS = 8.0


@dataclass(frozen=True, slots=True)
class Load:
    """What is played.

    Attributes:
        per_s: requests a second at all hosts together.
        way_ms: from the client to a host and back.
        sample_age_ms: the oldest that a sample is when it is used.
        told: hosts tell each other where they send.
        returns: how often a caller comes back after a refusal.
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
    machines: Machines = field(default_factory=Machines)


@dataclass(slots=True)
class Result:
    """What callers got: on time, late, refused, failed, turned away."""

    ended: Counter[str] = field(default_factory=Counter)

    def share(self, *kinds: str) -> float:
        """Return the part of all requests that ended in these ways."""
        total = sum(self.ended.values())
        return sum(self.ended[kind] for kind in kinds) / max(1, total)


@dataclass(slots=True)
class _Request:
    """One attempt of a caller; ``first`` is when its first one came."""

    arrived: float
    work_ms: float
    host: int
    first: float
    returns: int
    upstream: str = ""


class Play:
    """One play; the same seed gives the same result."""

    def __init__(self, load: Load, policy: str, seed: int) -> None:
        self.load = load
        self.policy = POLICIES[policy]
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, str, int]] = []
        self.order = itertools.count()
        self.numbers = itertools.count()
        self.requests: dict[int, _Request] = {}
        self.result = Result()
        self.own: list[Counter[str]] = [Counter() for _ in range(load.hosts)]
        self.waiting = [0] * load.hosts
        self.sent: dict[str, list[tuple[float, int]]] = {}
        self.upstreams = {
            f"u{n}": ModelUpstream(
                f"u{n}", load.machines, random.Random(seed * 1_000 + n)
            )
            for n in range(load.upstreams)
        }
        self.targets = {
            name: Target(name, "s", "127.0.0.1:1", "z", load.machines.slots)
            for name in self.upstreams
        }
        self.samples: dict[str, LoadSample] = {}

    def run(self) -> Result:
        """Play the whole load."""
        self._arrive_next()
        steps = {
            "arrive": self._arrive,
            "return": self._return,
            "look": self._look,
            "finish": self._finish,
        }
        while self.events:
            self.now, _, what, number = heapq.heappop(self.events)
            steps[what](number)
        return self.result

    # Events

    def _at(self, when: float, what: str, number: int) -> None:
        heapq.heappush(self.events, (when, next(self.order), what, number))

    def _arrive_next(self) -> None:
        gap = self.rng.expovariate(self.load.per_s / 1_000.0)
        if self.now + gap < self.load.length_ms:
            self._at(self.now + gap, "arrive", next(self.numbers))

    def _arrive(self, number: int) -> None:
        load = self.load
        work = self.rng.lognormvariate(0.0, load.work_spread) * load.work_ms
        host = self.rng.randrange(load.hosts)
        self.requests[number] = _Request(
            self.now, work, host, self.now, load.returns
        )
        self._arrive_next()
        self.waiting[host] += 1
        self._look(number)

    def _return(self, number: int) -> None:
        self.waiting[self.requests[number].host] += 1
        self._look(number)

    def _look(self, number: int) -> None:
        request = self.requests[number]
        chosen = self.policy(self._asked(request))
        if chosen is not None:
            self.waiting[request.host] -= 1
            self._send(number, request, chosen)
            return
        if self.now >= self._queue_ends(request):
            self.waiting[request.host] -= 1
            self._refuse(request)
            return
        self._at(self.now + LOOK_EVERY_MS, "look", number)

    def _queue_ends(self, request: _Request) -> float:
        load = self.load
        deadline = request.first + load.deadline_ms
        if self._is_overdue(request):
            return patience.overdue_queue_ends(
                request.arrived, load.work_ms, deadline
            )
        return patience.queue_ends(
            request.arrived, load.objective_ms, load.work_ms, deadline
        )

    def _refuse(self, request: _Request) -> None:
        load = self.load
        slots = load.upstreams * load.machines.slots // load.hosts
        after = load.way_ms + patience.retry_after(
            self.waiting[request.host], slots, load.work_ms, self.rng
        )
        back_at = self.now + after
        if not request.returns or back_at > request.first + load.deadline_ms:
            self.result.ended["refused"] += 1
            return
        number = next(self.numbers)
        self.requests[number] = _Request(
            back_at,
            request.work_ms,
            self.rng.randrange(load.hosts),
            request.first,
            request.returns - 1,
        )
        self._at(back_at, "return", number)

    def _is_overdue(self, request: _Request) -> bool:
        return queueing.is_overdue(
            request.arrived - request.first,
            self.load.objective_ms,
            self.load.work_ms,
        )

    def _send(self, number: int, request: _Request, chosen: str) -> None:
        request.upstream = chosen
        self.own[request.host][chosen] += 1
        self.sent.setdefault(chosen, []).append((self.now, request.host))
        try:
            took = self.upstreams[chosen].arrive(
                number, request.work_ms, self.now
            )
        except OverflowError:
            self.own[request.host][chosen] -= 1
            self.result.ended["turned away"] += 1
            return
        if took is not None:
            self._at(self.now + took, "finish", number)

    def _finish(self, number: int) -> None:
        request = self.requests[number]
        self.own[request.host][request.upstream] -= 1
        following = self.upstreams[request.upstream].finish(self.now)
        if following is not None:
            other, took = following
            self._at(self.now + took, "finish", other)
        took_ms = self.now - request.first + self.load.way_ms
        if took_ms <= self.load.objective_ms:
            self.result.ended["on time"] += 1
        elif took_ms <= self.load.deadline_ms:
            self.result.ended["late"] += 1
        else:
            self.result.ended["failed"] += 1

    # What hosts know

    def _asked(self, request: _Request) -> Asked:
        return Asked(
            [self._candidate(name, request.host) for name in self.upstreams],
            dict(self.own[request.host]),
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
        sent = [
            sender
            for at, sender in self.sent.get(name, [])
            if at >= sample.at_ms
        ]
        seen = len(sent) if self.load.told else sent.count(host)
        return Candidate(
            self.targets[name],
            True,
            sample,
            seen,
            0.0,
            cold=False,
            doubtful=False,
            may_probe=True,
            has_cold_token=True,
        )
