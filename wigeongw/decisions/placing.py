"""Which upstream a request goes to, from fresh probes.

Answers light to heavy load on upstreams whose speed changes within a tenth of
a second: what is older than that says little, so a host probes a few
upstreams at the moment of sending and takes the one that should finish
first. Upstreams near by go first while they keep the objective, since every
byte between availability zones is paid for.

Work keeps the speed that its upstream had when it began. Under heavy load a
request on a slow upstream is late itself and blocks a slot long after the
upstream is fast again, so requests rather wait a moment for a fast one.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import random

from wigeongw.core.identity import rendezvous
from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target

# Work may slow down on upstreams that are nearly full, so the last slots are
# left free while others have room.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
# A sample says how fast an upstream is for about this long.
SAMPLE_LASTS_MS = 150.0
# A sample this old is used again rather than asked for anew.
FRESH_MS = 15.0
# What is assumed of an upstream's slowness when nothing fresh is known.
UNKNOWN_SLOWDOWN = 2.0
COLD_SLOWDOWN = 2.0
# What is assumed of the slots in use where nothing fresh is known.
UNKNOWN_BUSY = 0.5
# A probe vouches for a warm upstream this long.
WARM_LASTS_MS = 400.0
# A near upstream is taken without looking further while it should finish
# within this part of the objective.
NEAR_ENOUGH = 0.7
# An upstream slower than this is passed over while a request may wait.
SLOW = 2.5
# By how much chance may change the order in which upstreams are asked.
BLUR = 0.6
# How much a failure weighs, in objectives.
RISK_WEIGHT = 2.0
UNHEALTHY_RISK = 0.4
FAR_PENALTY_MS = 4.0
# Where many hosts and upstreams are near each other, a host keeps to so many
# of a service: each has a few hosts at all times, and connections grow with
# the hosts alone.
OWN_PART = 8
NOT_OWN_PENALTY_MS = 4.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """What is known of an upstream at the moment of placing.

    Attributes:
        near: it is in this host's availability zone.
        sample: the latest word of its load, if any.
        sent: requests of this host that its sample does not show yet.
        risk: recent share of failures, 0 to 1.
        cold: it is in its cold start.
        doubtful: it is cold or may be.
        askable: this host may probe it now.
        cold_open: whether this host may send it a request all the same.
        silent: it failed to answer and has not answered since.
        own: it is in this host's own part of the upstreams near by.
    """

    target: Target
    near: bool
    sample: LoadSample | None
    sent: int
    risk: float
    cold: bool
    doubtful: bool
    askable: bool
    cold_open: bool
    silent: bool = False
    own: bool = True


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream and when it should have finished.

    Attributes:
        expected_ms: from now.
        fresh: it rests on a fresh sample.
        score_ms: the same with risk and distance weighed in.
    """

    target: Target
    expected_ms: float
    score_ms: float
    doubtful: bool
    fresh: bool


def estimate(
    candidate: Candidate, work_ms: float, busy: float, now: float
) -> float:
    """Estimate how long a request would take there, in milliseconds.

    Args:
        candidate: the upstream.
        work_ms: what the request takes on a usual upstream.
        busy: the share of slots in use at the service's upstreams.
        now: monotonic clock.
    """
    slowdown = slowdown_of(candidate, now)
    if candidate.cold:
        slowdown = max(slowdown, COLD_SLOWDOWN)
    ahead = requests_ahead(candidate, busy, now)
    return work_ms * slowdown * _queue_factor(ahead, slots_of(candidate))


def slowdown_of(candidate: Candidate, now: float) -> float:
    """Return how slow an upstream probably is; 1 is usual."""
    sample = candidate.sample
    if sample is None:
        return UNKNOWN_SLOWDOWN
    age = _age(sample, now)
    return sample.slowdown * (1 - age) + UNKNOWN_SLOWDOWN * age


def slots_of(candidate: Candidate) -> int:
    """Return how many requests an upstream runs at a time."""
    sample = candidate.sample
    said = sample.slots if sample is not None else 0
    return max(1, said or candidate.target.slots)


def requests_ahead(candidate: Candidate, busy: float, now: float) -> float:
    """Return how many requests an upstream probably has now."""
    usual = busy * slots_of(candidate)
    sample = candidate.sample
    if sample is None:
        return candidate.sent + usual
    age = _age(sample, now)
    seen = sample.running + sample.waiting
    return candidate.sent + seen * (1 - age) + usual * age


def is_full(
    candidate: Candidate,
    busy: float,
    now: float,
    slot_share: float = KNEE_SHARE,
) -> bool:
    """Say whether one more request would fill more than a share of slots."""
    slots = slots_of(candidate)
    ahead = requests_ahead(candidate, busy, now)
    return ahead + 1 > max(1.0, slot_share * slots)


def choose(
    candidates: Iterable[Candidate],
    work_ms: float,
    objective_ms: float,
    busy: float,
    now: float,
    rng: random.Random,
    picky: bool = False,
    slot_share: float = KNEE_SHARE,
) -> Placement | None:
    """Choose where a request should go.

    Args:
        candidates: upstreams that may be used at all.
        work_ms: what the request takes on a usual upstream.
        objective_ms: what is left of its objective.
        busy: the share of slots in use at the service's upstreams.
        now: monotonic clock.
        rng: breaks ties.
        picky: pass over what is slow now.
        slot_share: part of an upstream's slots that may be in use.

    Returns:
        None when every upstream is full, too cold or too slow.
    """
    best: Placement | None = None
    near_best: Placement | None = None
    for candidate in not_silent(candidates):
        closed = candidate.doubtful and not candidate.cold_open
        if closed or is_full(candidate, busy, now, slot_share):
            continue
        if picky and slowdown_of(candidate, now) > SLOW:
            continue
        expected = estimate(candidate, work_ms, busy, now)
        score = _score(candidate, expected, objective_ms, rng)
        placed = Placement(
            candidate.target,
            expected,
            score,
            candidate.doubtful,
            is_fresh(candidate.sample, now),
        )
        if best is None or score < best.score_ms:
            best = placed
        if candidate.near and (
            near_best is None or score < near_best.score_ms
        ):
            near_best = placed
    if near_best is not None and is_good(near_best, objective_ms):
        return near_best
    return best


def own_part(
    host: str, near: Iterable[str], part: int = OWN_PART
) -> frozenset[str]:
    """Choose a host's own part of the upstreams of a service near by.

    Args:
        host: its name.
        near: identities of the upstreams.
        part: how many.
    """
    return frozenset(rendezvous(host, near, part))


def not_silent(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Leave out silent upstreams while there are others.

    To the load that was last seen of a dead upstream no request is ever
    added, so it would look free when all others are full.
    """
    found = list(candidates)
    return [c for c in found if not c.silent] or found


def is_good(placed: Placement, objective_ms: float) -> bool:
    """Say whether a placement keeps the objective with room to spare."""
    return placed.score_ms <= NEAR_ENOUGH * objective_ms


def is_fresh(sample: LoadSample | None, now: float) -> bool:
    """Say whether a sample is good to decide by."""
    return sample is not None and now - sample.at_ms <= FRESH_MS


def probe_order(
    candidates: Sequence[Candidate],
    busy: float,
    now: float,
    rng: random.Random,
) -> list[Candidate]:
    """Order the upstreams that may be asked by what a probe may be worth.

    Near ones come first, among them those that seem fast, free and sound.
    All hosts see about the same, so the order is blurred by chance.
    """

    def rank(candidate: Candidate) -> tuple[bool, bool, float]:
        seems = estimate(candidate, 1.0, busy, now)
        seems *= 1.0 + candidate.risk * RISK_WEIGHT
        blurred = seems * (1.0 + BLUR * rng.random())
        return not candidate.near, not candidate.own, blurred

    open_ones = [c for c in candidates if c.askable or is_fresh(c.sample, now)]
    return sorted(open_ones, key=rank)


def _score(
    candidate: Candidate,
    expected: float,
    objective_ms: float,
    rng: random.Random,
) -> float:
    sample = candidate.sample
    risk = candidate.risk
    if sample is not None and not sample.healthy:
        risk = max(risk, UNHEALTHY_RISK)
    score = expected + risk * RISK_WEIGHT * objective_ms
    if not candidate.near:
        score += FAR_PENALTY_MS
    elif not candidate.own:
        score += NOT_OWN_PENALTY_MS
    return score + rng.random()


def _age(sample: LoadSample, now: float) -> float:
    """Return how much of a sample's truth has gone, 0 to 1."""
    return min(1.0, max(0.0, now - sample.at_ms) / SAMPLE_LASTS_MS)


def _queue_factor(ahead: float, slots: int) -> float:
    """Return how much longer a request takes behind others."""
    if ahead >= slots:
        return KNEE_FACTOR * (1.0 + (ahead + 1 - slots) / slots)
    if ahead + 1 > KNEE_SHARE * slots:
        return KNEE_FACTOR
    return 1.0
