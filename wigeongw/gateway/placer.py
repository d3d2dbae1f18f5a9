"""Finds a place for a request: probes, chooses, queues, refuses."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import heapq

from wigeongw.core.clock import seconds
from wigeongw.core.site import Route
from wigeongw.decisions import patience
from wigeongw.decisions import placing
from wigeongw.decisions import queueing
from wigeongw.decisions.placing import Placement
from wigeongw.decisions.queueing import Turn
from wigeongw.gateway.errors import RefusedError
from wigeongw.gateway.prober import Prober
from wigeongw.gateway.state import HostState
from wigeongw.gateway.target_state import TargetState

# Upstreams asked in the first round, and in each further one.
ROUND_FIRST = 3
ROUND_NEXT = 4
ROUNDS_MOST = 3
# Between two looks of a request that waits for a place.
LOOK_EVERY_MS = 8.0


@dataclass(slots=True)
class Queue:
    """Requests that wait for a place at one service."""

    turns: list[Turn] = field(default_factory=list)

    def is_first(self, turn: Turn) -> bool:
        """Say whether nobody waits before this turn."""
        return not self.turns or turn <= self.turns[0]


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request that needs a place.

    Attributes:
        arrived: when the client's request was read.
        ends_at: when its time is over.
        overdue: it cannot be on time any more.
        tried: identities of upstreams that it was sent to.
    """

    identity: str
    route: Route
    service: str
    arrived: float
    ends_at: float
    overdue: bool = False
    tried: frozenset[str] = frozenset()


class Placer:
    """Owns the queues in front of the services."""

    def __init__(self, state: HostState, prober: Prober) -> None:
        self.state = state
        self.prober = prober
        self.queues: dict[str, Queue] = {}
        self.last_number = 0

    async def place(self, wanted: Wanted) -> Placement:
        """Find a place, waiting for one if need be.

        Raises:
            RefusedError: when there is none in time.
        """
        if not self.state.usable(wanted.service):
            raise self._refusal(wanted, "no_upstream")
        queue = self.queues.setdefault(wanted.service, Queue())
        self.last_number += 1
        turn = Turn(
            wanted.route.priority,
            wanted.overdue,
            wanted.ends_at,
            self.last_number,
        )
        if queue.is_first(turn):
            placed = await self.look(wanted)
            if placed is not None:
                return self._checked(wanted, placed)
        return await self._wait(wanted, queue, turn)

    async def look(self, wanted: Wanted) -> Placement | None:
        """Probe and choose once; None when every upstream is full."""
        states = self._states(wanted)
        if not states:
            return None
        work = self.state.work_of(wanted.route, wanted.service).mean_ms
        unasked = self._order(states)
        placed: Placement | None = None
        for number in range(ROUNDS_MOST):
            size = ROUND_NEXT if number else ROUND_FIRST
            asked, unasked = unasked[:size], unasked[size:]
            await self.prober.refresh(asked)
            now = self.state.clock.now()
            objective = self._objective_left(wanted, now)
            placed = placing.choose(
                (self.state.candidate(s, now) for s in self._awake(states)),
                work,
                objective,
                self.state.busy_at(wanted.service),
                now,
                self.state.rng,
                patience.is_picky(
                    wanted.arrived,
                    wanted.route.objective_ms,
                    self.waiting(wanted.service),
                    now,
                ),
                self._slot_share(wanted),
            )
            if placed is not None and self._is_sure(placed, objective):
                break
            if not unasked:
                break
        return placed

    def has_room(self, service: str) -> bool:
        """Say whether a request should find a slot at once."""
        busy = self.state.busy_at(service)
        return busy < placing.KNEE_SHARE and not self.waiting(service)

    def retry_after(self, service: str, work_ms: float) -> float:
        """Return when a caller should come back, in milliseconds."""
        usable = self.state.usable(service)
        slots = sum(max(1, s.target.slots) for s in usable)
        hosts = max(1, len(self.state.view.hosts))
        return patience.retry_after(
            self.waiting(service), slots // hosts, work_ms, self.state.rng
        )

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self.queues.get(service)
        return len(queue.turns) if queue else 0

    # Inside

    async def _wait(
        self, wanted: Wanted, queue: Queue, turn: Turn
    ) -> Placement:
        if len(queue.turns) >= patience.QUEUE_MOST:
            raise self._refusal(wanted, "queue_full")
        ends = self._queue_ends(wanted)
        heapq.heappush(queue.turns, turn)
        try:
            while self.state.clock.now() < ends:
                await asyncio.sleep(seconds(LOOK_EVERY_MS))
                if not queue.is_first(turn):
                    continue
                placed = await self.look(wanted)
                if placed is not None:
                    return self._checked(wanted, placed)
        finally:
            queue.turns.remove(turn)
            heapq.heapify(queue.turns)
        known = bool(self.state.usable(wanted.service))
        raise self._refusal(wanted, "all_full" if known else "no_upstream")

    def _queue_ends(self, wanted: Wanted) -> float:
        work = self.state.work_of(wanted.route, wanted.service).mean_ms
        if wanted.overdue:
            return patience.overdue_queue_ends(
                wanted.arrived, work, wanted.ends_at
            )
        return patience.queue_ends(
            wanted.arrived, wanted.route.objective_ms, work, wanted.ends_at
        )

    def _checked(self, wanted: Wanted, placed: Placement) -> Placement:
        left = wanted.ends_at - self.state.clock.now()
        if not patience.can_finish(placed.expected_ms, left):
            raise self._refusal(wanted, "too_late")
        return placed

    def _refusal(self, wanted: Wanted, reason: str) -> RefusedError:
        usable = self.state.usable(wanted.service)
        work = self.state.work_of(wanted.route, wanted.service).mean_ms
        after = self.retry_after(wanted.service, work)
        now = self.state.clock.now()
        self.state.log.add(
            "refuse",
            id=wanted.identity,
            service=wanted.service,
            reason=reason,
            usable=len(usable),
            resting=sum(1 for s in usable if s.rest_until > now),
            busy=round(100.0 * self.state.busy_at(wanted.service)),
            waiting=self.waiting(wanted.service),
            work_ms=work,
            left_ms=wanted.ends_at - now,
            overdue=int(wanted.overdue),
            retry_after_ms=after,
        )
        return RefusedError(reason, after)

    @staticmethod
    def _slot_share(wanted: Wanted) -> float:
        if wanted.overdue:
            return queueing.OVERDUE_SLOT_SHARE
        return placing.KNEE_SHARE

    @staticmethod
    def _is_sure(placed: Placement, objective_ms: float) -> bool:
        """Say whether further probes would hardly find a better place."""
        return placed.fresh and placing.is_good(placed, objective_ms)

    def _states(self, wanted: Wanted) -> list[TargetState]:
        return [
            state
            for state in self.state.usable(wanted.service)
            if state.target.identity not in wanted.tried
        ]

    def _awake(self, states: list[TargetState]) -> list[TargetState]:
        """Leave out what cannot be reached, unless nothing else is left."""
        now = self.state.clock.now()
        awake = [state for state in states if state.rest_until <= now]
        return awake or states

    def _order(self, states: list[TargetState]) -> list[TargetState]:
        now = self.state.clock.now()
        by_identity = {s.target.identity: s for s in states}
        busy = self.state.busy_at(states[0].target.service)
        candidates = [
            self.state.candidate(s, now) for s in states if s.rest_until <= now
        ]
        ordered = placing.probe_order(candidates, busy, now, self.state.rng)
        return [by_identity[c.target.identity] for c in ordered]

    def _objective_left(self, wanted: Wanted, now: float) -> float:
        """Return what is left of the objective, or of all the time."""
        if wanted.overdue:
            return max(1.0, wanted.ends_at - now)
        left = wanted.arrived + wanted.route.objective_ms - now
        if left > 0.2 * wanted.route.objective_ms:
            return left
        return max(1.0, wanted.ends_at - now)
