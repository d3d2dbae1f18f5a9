"""Selects an upstream for each request, with probing, queueing and refusal."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import heapq

from wigeongw.core.clock import seconds
from wigeongw.core.site import ClientAccount
from wigeongw.core.site import Route
from wigeongw.decisions import fair_order
from wigeongw.decisions import placement as placements
from wigeongw.decisions import queue_order
from wigeongw.decisions import rate_limit
from wigeongw.decisions import wait_limits
from wigeongw.decisions.fair_order import FairOrder
from wigeongw.decisions.placement import Placement
from wigeongw.decisions.queue_order import QueuePosition
from wigeongw.gateway.errors import RefusedError
from wigeongw.gateway.prober import Prober
from wigeongw.gateway.rollout_traffic import VersionChoice
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState

# Number of upstreams probed in the first round and in each further round.
FIRST_ROUND_PROBES = 3
NEXT_ROUND_PROBES = 4
MAX_PROBE_ROUNDS = 3
# How often a host considers all upstreams of a service. On a large site that
# takes several times as long as considering the preferred ones.
WIDE_SEARCH_INTERVAL_MS = 50.0
# Clients return spread over this share of the pause of all upstreams.
PAUSE_SPREAD_SHARE = 0.25
# How often a queued request looks for a free slot.
QUEUE_POLL_INTERVAL_MS = 8.0


@dataclass(slots=True)
class WaitQueue:
    """Requests that wait for a slot at the upstreams of one service."""

    entries: list[QueuePosition] = field(default_factory=list)
    turns: FairOrder = field(default_factory=FairOrder)

    def is_first(self, entry: QueuePosition) -> bool:
        """Return whether no request in the queue precedes an entry."""
        return not self.entries or entry <= self.entries[0]


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs an upstream.

    Times are in milliseconds on the monotonic clock.

    Attributes:
        request_id: ID that the client sent; empty when it sent none.
        arrived_at: when the client's request was read.
        deadline_at: when the client must have a response.
        overdue: whether it can no longer meet its latency objective.
        tried: identities of the upstreams it was already sent to.
        account: the client account that it belongs to, if any.
        versions: the upstreams of a service with two versions that it may go
            to.
        skip_limited: whether to skip upstreams with a rate limit, as one of
            them has just denied the request. It then waits for no other.
    """

    request_id: str
    route: Route
    service: str
    arrived_at: float
    deadline_at: float
    overdue: bool = False
    tried: frozenset[str] = frozenset()
    skip_limited: bool = False
    versions: VersionChoice = VersionChoice.ANY
    account: ClientAccount | None = None


class Placer:
    """Places requests on upstreams and queues those that have to wait.

    Attributes:
        queues: by service.
        last_sequence: sequence number of the latest request.
        widened_at: by service, when all of its upstreams were considered
            last, on the monotonic clock.
    """

    def __init__(self, state: GatewayState, prober: Prober) -> None:
        self.state = state
        self.prober = prober
        self.queues: dict[str, WaitQueue] = {}
        self.last_sequence = 0
        self.widened_at: dict[str, float] = {}

    async def place(self, request: PlacementRequest) -> Placement:
        """Select an upstream, waiting in the queue if necessary.

        Raises:
            RefusedError: when no upstream has capacity in time.
        """
        if request.versions is VersionChoice.CANARY:
            canaries = self.state.canary_targets(request.service)
            placement = await self._probe_and_choose(request, canaries)
            if placement is not None:
                return self._check_deadline(request, placement)
            request = replace(request, versions=VersionChoice.ANY)
        self._check_upstreams(request)
        queue = self.queues.setdefault(request.service, WaitQueue())
        self.last_sequence += 1
        entry, start = self._position(request, queue)
        if queue.is_first(entry):
            placement = await self.try_place(request)
            if placement is not None:
                queue.turns.serve(start)
                return self._check_deadline(request, placement)
        placement = await self._wait(
            replace(request, skip_limited=False), queue, entry
        )
        queue.turns.serve(start)
        return placement

    def _position(
        self, request: PlacementRequest, queue: WaitQueue
    ) -> tuple[QueuePosition, float]:
        """Return the position of a request and the start of its turn."""
        account = request.account
        start = queue.turns.enter(account.name) if account else 0.0
        position = QueuePosition(
            account.priority if account else 0,
            request.route.priority,
            request.overdue,
            fair_order.round_number(start),
            request.deadline_at,
            self.last_sequence,
        )
        return position, start

    async def try_place(self, request: PlacementRequest) -> Placement | None:
        """Probe upstreams and choose one, without waiting in the queue.

        All upstreams of the service are considered from time to time when
        those that this host prefers cannot serve the request well.

        Returns:
            None when no upstream can take the request now.
        """
        service = request.service
        preferred = self.state.preferred_targets(service)
        placement = await self._probe_and_choose(request, preferred)
        now = self.state.clock.now()
        if placement is not None and self._is_good_enough(
            placement, self._remaining_objective_ms(request, now)
        ):
            return placement
        widened_at = self.widened_at.get(service, float("-inf"))
        if now - widened_at < WIDE_SEARCH_INTERVAL_MS:
            return placement
        others = self.state.other_targets(service)
        if not others:
            return placement
        self.widened_at[service] = now
        return await self._probe_and_choose(request, [*others, *preferred])

    async def _probe_and_choose(
        self, request: PlacementRequest, targets: list[TargetState]
    ) -> Placement | None:
        states = [
            state
            for state in targets
            if state.target.identity not in request.tried
            and not (request.skip_limited and state.limit_per_s is not None)
        ]
        if request.versions is not VersionChoice.ANY:
            rollouts = self.state.rollouts
            states = [
                state
                for state in states
                if rollouts.allows(request.versions, state.target)
            ] or states
        if not states:
            return None
        work_ms = self.state.work_estimate(
            request.route, request.service
        ).mean_ms
        unprobed = self._probe_order(states)
        placement: Placement | None = None
        for round_number in range(MAX_PROBE_ROUNDS):
            size = NEXT_ROUND_PROBES if round_number else FIRST_ROUND_PROBES
            probed, unprobed = unprobed[:size], unprobed[size:]
            await self.prober.refresh(probed)
            now = self.state.clock.now()
            objective_ms = self._remaining_objective_ms(request, now)
            placement = placements.choose(
                (
                    self.state.candidate(s, now)
                    for s in self._reachable(states)
                ),
                work_ms,
                objective_ms,
                self.state.utilization(request.service),
                now,
                self.state.rng,
                wait_limits.should_skip_slow(
                    request.arrived_at,
                    request.route.objective_ms,
                    self.queue_length(request.service),
                    now,
                ),
                self._max_slot_share(request),
            )
            if placement is not None and self._is_good_enough(
                placement, objective_ms
            ):
                break
            if not unprobed:
                break
        return placement

    def has_free_slot(self, service: str) -> bool:
        """Return whether a request would probably find a slot at once."""
        utilization = self.state.utilization(service)
        return utilization < placements.KNEE_SHARE and not self.queue_length(
            service
        )

    def retry_after_ms(self, service: str, work_ms: float) -> float:
        """Return after how many milliseconds a client should retry."""
        usable_targets = self.state.usable_targets(service)
        total_slots = sum(
            rate_limit.usable_slots(
                max(1, state.target.slots), state.limit_per_s, work_ms
            )
            for state in usable_targets
        )
        host_count = max(1, len(self.state.view.hosts))
        return wait_limits.retry_after(
            self.queue_length(service),
            int(total_slots // host_count),
            work_ms,
            self.state.rng,
        )

    def queue_length(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        queue = self.queues.get(service)
        return len(queue.entries) if queue else 0

    # Queueing

    async def _wait(
        self, request: PlacementRequest, queue: WaitQueue, entry: QueuePosition
    ) -> Placement:
        if len(queue.entries) >= wait_limits.MAX_QUEUE_LENGTH:
            raise self._refused_error(request, "queue_full")
        wait_until = self._queue_deadline(request)
        ahead = sum(1 for other in queue.entries if other < entry)
        self._check_rate_limits(request, ahead, wait_until)
        heapq.heappush(queue.entries, entry)
        try:
            while self.state.clock.now() < wait_until:
                await asyncio.sleep(seconds(QUEUE_POLL_INTERVAL_MS))
                self._check_upstreams(request)
                if not queue.is_first(entry):
                    continue
                self._check_rate_limits(request, 0, wait_until)
                placement = await self.try_place(request)
                if placement is not None:
                    return self._check_deadline(request, placement)
        finally:
            queue.entries.remove(entry)
            heapq.heapify(queue.entries)
        has_targets = bool(self.state.usable_targets(request.service))
        raise self._refused_error(
            request, "all_full" if has_targets else "no_upstream"
        )

    def _check_upstreams(self, request: PlacementRequest) -> None:
        """Refuse a request while no upstream may take any.

        Raises:
            RefusedError: with the end of the first pause if all pause.
        """
        if self.state.usable_targets(request.service):
            return
        pause_ms = self.state.pause_ms(request.service)
        if pause_ms is None:
            raise self._refused_error(request, "no_upstream")
        spread = 1.0 + PAUSE_SPREAD_SHARE * self.state.rng.random()
        raise self._refused_error(request, "paused", pause_ms * spread)

    def _check_rate_limits(
        self, request: PlacementRequest, ahead: int, wait_until: float
    ) -> None:
        """Refuse a request that no upstream may take before its latest start.

        Args:
            request: the request.
            ahead: queued requests that are served before it.
            wait_until: its latest start, monotonic clock.

        Raises:
            RefusedError: when all upstreams have a rate limit, and a request
                may be sent to any of them only after that.
        """
        states = self.state.usable_targets(request.service)
        if any(state.limit_per_s is None for state in states):
            return
        now = self.state.clock.now()
        directory = self.state.grantor_directory
        waits_ms = [directory.wait_ms(state, now) for state in states]
        if not waits_ms:
            return
        wait_ms = rate_limit.earliest_grant_ms(waits_ms, ahead)
        if now + wait_ms >= wait_until:
            spread = 1.0 + self.state.rng.random()
            raise self._refused_error(
                request,
                "rate_limited",
                max(wait_limits.MIN_RETRY_AFTER_MS, wait_ms * spread),
            )

    def _queue_deadline(self, request: PlacementRequest) -> float:
        work_ms = self.state.work_estimate(
            request.route, request.service
        ).mean_ms
        if request.overdue:
            return wait_limits.overdue_queue_deadline(
                request.arrived_at, work_ms, request.deadline_at
            )
        return wait_limits.queue_deadline(
            request.arrived_at,
            request.route.objective_ms,
            work_ms,
            request.deadline_at,
        )

    def _check_deadline(
        self, request: PlacementRequest, placement: Placement
    ) -> Placement:
        remaining_ms = request.deadline_at - self.state.clock.now()
        if not wait_limits.can_finish(placement.expected_ms, remaining_ms):
            raise self._refused_error(request, "too_late")
        return placement

    def _refused_error(
        self,
        request: PlacementRequest,
        reason: str,
        retry_after_ms: float | None = None,
    ) -> RefusedError:
        usable_targets = self.state.usable_targets(request.service)
        work_ms = self.state.work_estimate(
            request.route, request.service
        ).mean_ms
        if retry_after_ms is None:
            retry_after_ms = self.retry_after_ms(request.service, work_ms)
        now = self.state.clock.now()
        self.state.log.add(
            "refuse",
            id=request.request_id,
            service=request.service,
            reason=reason,
            usable=len(usable_targets),
            resting=sum(1 for s in usable_targets if s.backoff_until > now),
            **self._count_unavailable(usable_targets, request, now),
            busy=round(100.0 * self.state.utilization(request.service)),
            waiting=self.queue_length(request.service),
            work_ms=work_ms,
            left_ms=request.deadline_at - now,
            overdue=int(request.overdue),
            retry_after_ms=retry_after_ms,
        )
        return RefusedError(reason, retry_after_ms)

    def _count_unavailable(
        self,
        states: list[TargetState],
        request: PlacementRequest,
        now: float,
    ) -> dict[str, int]:
        """Count upstreams by the reason why they cannot take a request."""
        utilization = self.state.utilization(request.service)
        reasons = Counter(
            placements.unavailability(
                self.state.candidate(state, now), utilization, now
            ).value
            for state in states
        )
        return dict(sorted(reasons.items()))

    @staticmethod
    def _max_slot_share(request: PlacementRequest) -> float:
        if request.overdue:
            return queue_order.OVERDUE_SLOT_SHARE
        return placements.KNEE_SHARE

    @staticmethod
    def _is_good_enough(placement: Placement, objective_ms: float) -> bool:
        """Return whether more probes are unlikely to find a better one."""
        return placement.fresh and placements.is_good_enough(
            placement, objective_ms
        )

    def _reachable(self, states: list[TargetState]) -> list[TargetState]:
        """Leave out upstreams in backoff, unless all of them are."""
        now = self.state.clock.now()
        reachable = [state for state in states if state.backoff_until <= now]
        return reachable or states

    def _probe_order(self, states: list[TargetState]) -> list[TargetState]:
        now = self.state.clock.now()
        by_identity = {s.target.identity: s for s in states}
        utilization = self.state.utilization(states[0].target.service)
        candidates = [
            self.state.candidate(s, now)
            for s in states
            if s.backoff_until <= now
        ]
        ordered = placements.probe_order(
            candidates, utilization, now, self.state.rng
        )
        return [by_identity[c.target.identity] for c in ordered]

    def _remaining_objective_ms(
        self, request: PlacementRequest, now: float
    ) -> float:
        """Return the time left of the latency objective.

        When the request is overdue, or a fifth or less of the objective is
        left, the time until its deadline is returned instead.
        """
        if request.overdue:
            return max(1.0, request.deadline_at - now)
        remaining_ms = request.arrived_at + request.route.objective_ms - now
        if remaining_ms > 0.2 * request.route.objective_ms:
            return remaining_ms
        return max(1.0, request.deadline_at - now)
