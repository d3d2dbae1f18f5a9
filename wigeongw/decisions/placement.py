"""Selects the upstream for a request, based on fresh load probes.

The speed of an upstream can change within a tenth of a second, so older load
samples are nearly worthless. A host therefore probes a few upstreams
immediately before it sends a request and selects the one with the lowest
expected completion time. Upstreams in the availability zone of the host are
preferred while they meet the latency objective, because traffic between
availability zones is billed.

A request runs to its end at the speed that its upstream had at the start.
Under heavy load, a request on a slow upstream is late and occupies a slot
long after the upstream has become fast again. It is better for the request
to wait briefly for a fast upstream.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from operator import attrgetter
import random

from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target

# Share of the slots of an upstream above which its requests may slow down
# (the knee of its latency curve). The remaining slots stay free while other
# upstreams have room below it.
KNEE_SHARE = 0.8
# Factor on the service time above that share.
KNEE_FACTOR = 1.7
# Age at which a load sample no longer predicts the speed of an upstream.
SAMPLE_TTL_MS = 150.0
# Maximum age of a load sample that is reused instead of sending a new probe.
REUSABLE_SAMPLE_AGE_MS = 15.0
# Slowdown assumed for an upstream without a recent load sample.
UNKNOWN_SLOWDOWN = 2.0
# Minimum slowdown assumed for a cold upstream.
COLD_SLOWDOWN = 2.0
# Share of slots in use assumed for a service without recent load samples.
UNKNOWN_UTILIZATION = 0.5
# Time after a probe for which an upstream that it reported warm counts as
# warm.
WARM_TTL_MS = 400.0
# A score within this share of the objective is good enough: no further
# upstreams are probed, and the best upstream in the same availability zone is
# selected even if another zone has a better one.
SAFE_OBJECTIVE_SHARE = 0.7
# Upstreams with a higher slowdown are skipped while a request may wait.
MAX_SLOWDOWN = 2.5
# Maximum random increase of the cost by which upstreams are ordered for
# probing, as a share of that cost.
RANK_JITTER = 0.6
# Penalty for a failure rate of 1, as a multiple of the latency objective in
# the score and as a multiple of the expected duration in the probing order.
RISK_PENALTY_FACTOR = 2.0
# Minimum failure rate assumed for an upstream that reports itself unhealthy.
UNHEALTHY_RISK = 0.4
# Added to the score of an upstream in another availability zone.
OTHER_ZONE_PENALTY_MS = 4.0
# A host prefers a subset of this many upstreams per service in its own
# availability zone. In a zone with many hosts and upstreams, each upstream is
# still in the subset of a few hosts, and the number of connections grows only
# with the number of hosts.
SUBSET_SIZE = 8
# The same for the other zones together, which a host uses while its own zone
# is evacuated or full. It is larger because many hosts then send there at the
# same time.
REMOTE_SUBSET_SIZE = 16
# Added to the score of an upstream outside that subset.
OUTSIDE_SUBSET_PENALTY_MS = 4.0
# Added to the score of an upstream with a rate limit: it is in need, and a
# grantor has to be asked first.
RATE_LIMITED_PENALTY_MS = 4.0


class Unavailability(Enum):
    """Why an upstream cannot take a request; NONE when it can."""

    SILENT = "silent"
    RATE_LIMITED = "rate_limited"
    COLD = "cold"
    MAYBE_COLD = "maybe_cold"
    FULL = "full"
    SLOW = "slow"
    ABOVE_KNEE = "above_knee"
    NONE = "free"


@dataclass(frozen=True, slots=True)
class Candidate:
    """State of an upstream, as known to this host when a request is placed.

    Attributes:
        same_zone: whether it is in the availability zone of this host.
        sample: the latest load sample, if any.
        sent: requests that were sent to it after its load sample.
        risk: recent failure rate, 0 to 1.
        cold: whether it is warming up.
        doubtful: whether it is warming up or not known to be warm.
        may_probe: whether the probe rate limit of this host permits a probe
            now.
        has_cold_token: whether the cold start rate limit of this host permits
            a request to it now.
        silent: whether it failed to respond and has not responded since.
        in_subset: whether it is in the subset of upstreams that this host
            prefers.
        rate_limited: whether it limits the rate of its requests.
        may_be_granted: whether a grantor may have a request to it left.
    """

    target: Target
    same_zone: bool
    sample: LoadSample | None
    sent: int
    risk: float
    cold: bool
    doubtful: bool
    may_probe: bool
    has_cold_token: bool
    silent: bool = False
    in_subset: bool = True
    rate_limited: bool = False
    may_be_granted: bool = True


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream selected for a request and the expected duration there.

    Attributes:
        expected_ms: expected time until completion.
        score_ms: the expected time plus penalties for failures and for the
            location of the upstream.
        doubtful: whether the upstream is warming up or not known to be warm.
        fresh: whether the estimate is based on a fresh load sample.
        above_knee: whether the request takes one of the last slots, which
            slow down the upstream.
    """

    target: Target
    expected_ms: float
    score_ms: float
    doubtful: bool
    fresh: bool
    above_knee: bool = False


def estimate_ms(
    candidate: Candidate, work_ms: float, utilization: float, now: float
) -> float:
    """Estimate how long a request would take at an upstream.

    Args:
        candidate: the upstream.
        work_ms: service time of the request on an upstream of normal speed.
        utilization: share of slots in use over all upstreams of the service.
        now: monotonic clock in milliseconds.

    Returns:
        Expected duration in milliseconds.
    """
    slowdown = expected_slowdown(candidate, now)
    if candidate.cold:
        slowdown = max(slowdown, COLD_SLOWDOWN)
    ahead = requests_ahead(candidate, utilization, now)
    return work_ms * slowdown * _queue_factor(ahead, slot_count(candidate))


def expected_slowdown(candidate: Candidate, now: float) -> float:
    """Estimate the slowdown of an upstream; 1 is the normal speed.

    The result is the reported slowdown averaged with a default value, whose
    weight grows with the age of the load sample.
    """
    sample = candidate.sample
    if sample is None:
        return UNKNOWN_SLOWDOWN
    staleness = _staleness(sample, now)
    return sample.slowdown * (1 - staleness) + UNKNOWN_SLOWDOWN * staleness


def slot_count(candidate: Candidate) -> int:
    """Return how many requests an upstream runs concurrently."""
    sample = candidate.sample
    reported_slots = sample.slots if sample is not None else 0
    return max(1, reported_slots or candidate.target.slots)


def requests_ahead(
    candidate: Candidate, utilization: float, now: float
) -> float:
    """Estimate the number of requests that an upstream runs or queues now.

    The result is the reported number averaged with the number expected from
    the utilization of the service, whose weight grows with the age of the
    load sample.
    """
    expected_load = utilization * slot_count(candidate)
    sample = candidate.sample
    if sample is None:
        return candidate.sent + expected_load
    staleness = _staleness(sample, now)
    reported = sample.running + sample.waiting
    return (
        candidate.sent + reported * (1 - staleness) + expected_load * staleness
    )


def is_full(
    candidate: Candidate,
    utilization: float,
    now: float,
    max_slot_share: float = KNEE_SHARE,
) -> bool:
    """Return whether one more request would exceed a share of the slots.

    The number of requests ahead is an estimate with a fraction, while slots
    are whole: it is rounded, so that an upstream whose sample is a few
    milliseconds old still counts as idle.
    """
    allowed = slots_below(slot_count(candidate), max_slot_share)
    return round(requests_ahead(candidate, utilization, now)) >= allowed


def slots_below(slots: int, share: float) -> int:
    """Return how many whole slots a share of the slots allows, at least 1."""
    return max(1, int(share * slots))


def choose(
    candidates: Iterable[Candidate],
    work_ms: float,
    objective_ms: float,
    utilization: float,
    now: float,
    rng: random.Random,
    skip_slow: bool = False,
    max_slot_share: float = KNEE_SHARE,
) -> Placement | None:
    """Select the upstream for a request.

    The last slots of an upstream, above its knee, are used only when no
    upstream has room below, and only where that increases what an upstream
    completes.

    Args:
        candidates: the upstreams that the request may be sent to.
        work_ms: service time of the request on an upstream of normal speed.
        objective_ms: remaining time of the latency objective.
        utilization: share of slots in use over all upstreams of the service.
        now: monotonic clock in milliseconds.
        rng: breaks ties.
        skip_slow: whether to skip upstreams that are slow now.
        max_slot_share: the share of the slots of an upstream that may be in
            use. Below KNEE_SHARE, no slot above the knee is used.

    Returns:
        The placement, or None when every upstream is full, over its cold
        start rate limit, over its own rate limit or too slow.
    """
    below_knee: list[Placement] = []
    above_knee: list[Placement] = []
    best_in_zone: Placement | None = None
    for candidate in exclude_silent(candidates):
        if candidate.doubtful and not candidate.has_cold_token:
            continue
        if candidate.rate_limited and not candidate.may_be_granted:
            continue
        if skip_slow and expected_slowdown(candidate, now) > MAX_SLOWDOWN:
            continue
        expected = estimate_ms(candidate, work_ms, utilization, now)
        placement = Placement(
            candidate.target,
            expected,
            _score(candidate, expected, objective_ms, rng),
            candidate.doubtful,
            is_fresh(candidate.sample, now),
            is_full(candidate, utilization, now, max_slot_share),
        )
        if placement.above_knee:
            if max_slot_share >= KNEE_SHARE and _may_use_last_slot(
                candidate, placement, objective_ms, utilization, now
            ):
                above_knee.append(placement)
            continue
        below_knee.append(placement)
        if candidate.same_zone and (
            best_in_zone is None or placement.score_ms < best_in_zone.score_ms
        ):
            best_in_zone = placement
    if best_in_zone is not None and is_good_enough(best_in_zone, objective_ms):
        return best_in_zone
    return min(
        below_knee or above_knee, key=attrgetter("score_ms"), default=None
    )


def unavailability(
    candidate: Candidate, utilization: float, now: float
) -> Unavailability:
    """Return why an upstream would not be chosen now, for the log."""
    if candidate.silent:
        return Unavailability.SILENT
    if candidate.rate_limited and not candidate.may_be_granted:
        return Unavailability.RATE_LIMITED
    if candidate.doubtful and not candidate.has_cold_token:
        return (
            Unavailability.COLD
            if candidate.cold
            else Unavailability.MAYBE_COLD
        )
    if is_full(candidate, utilization, now, max_slot_share=1.0):
        return Unavailability.FULL
    if expected_slowdown(candidate, now) > MAX_SLOWDOWN:
        return Unavailability.SLOW
    if is_full(candidate, utilization, now):
        return Unavailability.ABOVE_KNEE
    return Unavailability.NONE


def choose_subset(
    host: str,
    upstreams: Iterable[str],
    size: int,
    cold: Collection[str] = (),
) -> frozenset[str]:
    """Choose the subset of upstreams that a host prefers.

    When an upstream leaves, the next one by rank takes its place, and the
    connections to all others stay in use.

    Args:
        host: name of the host.
        upstreams: identities of upstreams of one service.
        size: the maximum number of warm upstreams in the subset.
        cold: those that are cold. They keep their place, and further ones
            are added for the time until they are warm.
    """
    names = list(upstreams)
    subset: list[str] = []
    for name in rank_by_rendezvous(host, names, len(names)):
        if size <= 0:
            break
        subset.append(name)
        size -= name not in cold
    return frozenset(subset)


def exclude_silent(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Exclude silent upstreams unless all are silent.

    The last load sample of a dead upstream never shows new requests, so the
    upstream would appear free when all others are full.
    """
    found = list(candidates)
    return [c for c in found if not c.silent] or found


def is_good_enough(placement: Placement, objective_ms: float) -> bool:
    """Return whether a placement meets the objective with a safety margin."""
    return (
        not placement.above_knee
        and placement.score_ms <= SAFE_OBJECTIVE_SHARE * objective_ms
    )


def is_fresh(sample: LoadSample | None, now: float) -> bool:
    """Return whether a load sample is recent enough to need no new probe."""
    return sample is not None and now - sample.at_ms <= REUSABLE_SAMPLE_AGE_MS


def probe_order(
    candidates: Sequence[Candidate],
    utilization: float,
    now: float,
    rng: random.Random,
) -> list[Candidate]:
    """Order upstreams by the expected benefit of probing them.

    Upstreams in the same availability zone come first, then those in the
    preferred subset, then those with the lowest expected duration and
    failure rate. The order is partly random because all hosts have similar
    load samples and would otherwise probe the same upstreams. Upstreams that
    may not be probed now and have no fresh load sample are left out.
    """

    def rank(candidate: Candidate) -> tuple[bool, bool, float]:
        cost = estimate_ms(candidate, 1.0, utilization, now)
        cost *= 1.0 + candidate.risk * RISK_PENALTY_FACTOR
        jittered = cost * (1.0 + RANK_JITTER * rng.random())
        return not candidate.same_zone, not candidate.in_subset, jittered

    eligible = [
        c for c in candidates if c.may_probe or is_fresh(c.sample, now)
    ]
    return sorted(eligible, key=rank)


def _completes_more_above_knee(slots: int) -> bool:
    """Return whether an upstream completes more with all slots in use.

    Two slots complete more than one although each is slower, while three of
    four slots complete more than all four.
    """
    return slots / KNEE_FACTOR > slots_below(slots, KNEE_SHARE)


def _may_use_last_slot(
    candidate: Candidate,
    placement: Placement,
    objective_ms: float,
    utilization: float,
    now: float,
) -> bool:
    """Return whether a request may use a slot above the knee.

    The slot must be free according to a fresh load sample, and the request
    must be on time there.
    """
    return (
        _completes_more_above_knee(slot_count(candidate))
        and placement.fresh
        and placement.expected_ms <= objective_ms
        and not is_full(candidate, utilization, now, max_slot_share=1.0)
    )


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
    score = expected + risk * RISK_PENALTY_FACTOR * objective_ms
    if not candidate.same_zone:
        score += OTHER_ZONE_PENALTY_MS
    if not candidate.in_subset:
        score += OUTSIDE_SUBSET_PENALTY_MS
    if candidate.rate_limited:
        score += RATE_LIMITED_PENALTY_MS
    return score + rng.random()


def _staleness(sample: LoadSample, now: float) -> float:
    """Return the age of a load sample relative to its time to live, 0 to 1."""
    return min(1.0, max(0.0, now - sample.at_ms) / SAMPLE_TTL_MS)


def _queue_factor(ahead: float, slots: int) -> float:
    """Return the factor on the service time for the requests ahead."""
    if ahead >= slots:
        return KNEE_FACTOR * (1.0 + (ahead + 1 - slots) / slots)
    if ahead + 1 > KNEE_SHARE * slots:
        return KNEE_FACTOR
    return 1.0
