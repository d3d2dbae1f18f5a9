"""Placement policies, registered by name for comparison."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import random

from wigeongw.decisions import placement as placements
from wigeongw.decisions import queue_order
from wigeongw.decisions import wait_limits
from wigeongw.decisions.placement import Candidate


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """Information that a policy uses to place one request.

    Attributes:
        candidates: the upstreams, as known to the host.
        in_flight: number of requests of this host in flight by upstream.
        arrived: when the request arrived, in milliseconds.
        objective_ms: latency objective of the request.
        work_ms: service time of the request at normal speed.
        waiting: number of requests queued at this host.
        now: current time in milliseconds.
        rng: random numbers of the simulation.
        overdue: whether the request can no longer meet its objective.
    """

    candidates: Sequence[Candidate]
    in_flight: dict[str, int]
    arrived: float
    objective_ms: float
    work_ms: float
    waiting: int
    now: float
    rng: random.Random
    overdue: bool = False


Policy = Callable[[PlacementContext], str | None]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


@policy("least_in_flight")
def least_in_flight(context: PlacementContext) -> str | None:
    """Choose the upstream with the fewest requests of this host in flight."""
    names = [c.target.identity for c in context.candidates]
    context.rng.shuffle(names)
    return min(names, key=lambda name: context.in_flight.get(name, 0))


@policy("two_random")
def two_random(context: PlacementContext) -> str | None:
    """Choose the less loaded of two random upstreams by their load samples."""
    pair = context.rng.sample(list(context.candidates), 2)

    def queued_requests(candidate: Candidate) -> float:
        return placements.requests_ahead(candidate, 0.5, context.now)

    return min(pair, key=queued_requests).target.identity


@policy("probes")
def probes(context: PlacementContext) -> str | None:
    """Choose the upstream with the best score, including slow ones."""
    return _choose_upstream(context, False)


@policy("patient_probes")
def patient_probes(context: PlacementContext) -> str | None:
    """Like ``probes``, but queue for a fast upstream under load."""
    return _choose_upstream(context, _should_skip_slow(context))


@policy("overdue_last")
def overdue_last(context: PlacementContext) -> str | None:
    """Choose like a host: also limit the slots for overdue requests."""
    if context.overdue:
        share = queue_order.OVERDUE_SLOT_SHARE
        return _choose_upstream(context, _should_skip_slow(context), share)
    return _choose_upstream(context, _should_skip_slow(context))


def _should_skip_slow(context: PlacementContext) -> bool:
    return wait_limits.should_skip_slow(
        context.arrived, context.objective_ms, context.waiting, context.now
    )


def _choose_upstream(
    context: PlacementContext,
    skip_slow: bool,
    max_slot_share: float = placements.KNEE_SHARE,
) -> str | None:
    placement = placements.choose(
        context.candidates,
        context.work_ms,
        context.objective_ms,
        0.5,
        context.now,
        context.rng,
        skip_slow,
        max_slot_share,
    )
    return placement.target.identity if placement else None
