"""Ways to place a request, registered side by side for comparison."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import random

from wigeongw.decisions import patience
from wigeongw.decisions import placing
from wigeongw.decisions import queueing
from wigeongw.decisions.placing import Candidate


@dataclass(frozen=True, slots=True)
class Asked:
    """What a policy knows when it is asked.

    Attributes:
        own: this host's requests in flight, by upstream.
        waiting: requests that wait at this host.
        overdue: the request cannot be on time any more.
    """

    candidates: Sequence[Candidate]
    own: dict[str, int]
    arrived: float
    objective_ms: float
    work_ms: float
    waiting: int
    now: float
    rng: random.Random
    overdue: bool = False


Policy = Callable[[Asked], str | None]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


@policy("least_in_flight")
def least_in_flight(asked: Asked) -> str | None:
    """Choose by this host's own requests alone."""
    names = [c.target.identity for c in asked.candidates]
    asked.rng.shuffle(names)
    return min(names, key=lambda name: asked.own.get(name, 0))


@policy("two_random")
def two_random(asked: Asked) -> str | None:
    """Choose the better of two by what was last heard of them."""
    pair = asked.rng.sample(list(asked.candidates), 2)

    def load(candidate: Candidate) -> float:
        return placing.requests_ahead(candidate, 0.5, asked.now)

    return min(pair, key=load).target.identity


@policy("probes")
def probes(asked: Asked) -> str | None:
    """Choose what should finish first, slow or not."""
    return _choose(asked, False)


@policy("patient_probes")
def patient_probes(asked: Asked) -> str | None:
    """Under pressure wait for a fast upstream."""
    return _choose(asked, _is_picky(asked))


@policy("overdue_last")
def overdue_last(asked: Asked) -> str | None:
    """Choose as a host does: also keep slots for who can be on time."""
    if asked.overdue:
        share = queueing.OVERDUE_SLOT_SHARE
        return _choose(asked, _is_picky(asked), share)
    return _choose(asked, _is_picky(asked))


def _is_picky(asked: Asked) -> bool:
    return patience.is_picky(
        asked.arrived, asked.objective_ms, asked.waiting, asked.now
    )


def _choose(
    asked: Asked, skip_slow: bool, max_slot_share: float = placing.KNEE_SHARE
) -> str | None:
    placement = placing.choose(
        asked.candidates,
        asked.work_ms,
        asked.objective_ms,
        0.5,
        asked.now,
        asked.rng,
        skip_slow,
        max_slot_share,
    )
    return placement.target.identity if placement else None
