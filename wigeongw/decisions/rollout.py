"""Decides how far a new version of a service is brought in.

Answers versions whose answers fail or are several times slower, from the start
or later, on all routes or on one, and good versions under little traffic that
must be complete in time. Exposure is small until late, as a version may turn
bad at any moment.
"""

from collections import deque
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import enum
import math

from wigeongw.core.identifiers import rank_by_rendezvous

# Share of a service's requests that a canary gets, and of the new upstreams
# that get them.
CANARY_SHARE = 0.05
HALF_SHARE = 0.5
# Time before the end of an order at which a phase begins.
HALF_BEFORE_END_MS = 6_000.0
FULL_BEFORE_END_MS = 4_500.0
COMPLETE_BEFORE_END_MS = 2_000.0
# With less time than this all of them are scaled down.
USUAL_DURATION_MS = 10_000.0
# The new upstreams need this share of the old ones' slots.
MIN_SLOT_SHARE = 0.5
# An answer is slow that took so many times what was expected.
SLOW_FACTOR = 2.5
# A version is bad if what it did is less likely than this.
MAX_CHANCE = 1e-4
MIN_BAD_ANSWERS = 3
# Steps of a manager over which recent answers are compared.
RECENT_STEPS = 5
# The rates with which a sound version is compared, at least.
USUAL_FAILURE_RATE = 0.03
USUAL_SLOW_RATE = 0.15
RATE_FACTOR = 2.0


class Phase(enum.IntEnum):
    """How far an order has come; phases only rise."""

    WAITING = 0
    CANARY = 1
    HALF = 2
    FULL = 3
    COMPLETE = 4
    ROLLED_BACK = 5

    @property
    def is_final(self) -> bool:
        """Whether no other phase follows."""
        return self in (Phase.COMPLETE, Phase.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Answers of one version of a service.

    Attributes:
        total: all of them.
        failed: those that failed.
        slow: those that took much longer than expected.
    """

    total: int = 0
    failed: int = 0
    slow: int = 0

    def __add__(self, other: "AnswerCounts") -> "AnswerCounts":
        return AnswerCounts(
            self.total + other.total,
            self.failed + other.failed,
            self.slow + other.slow,
        )

    def since(self, earlier: "AnswerCounts") -> "AnswerCounts":
        """Return what was added to an earlier total, at least nothing."""
        return AnswerCounts(
            max(0, self.total - earlier.total),
            max(0, self.failed - earlier.failed),
            max(0, self.slow - earlier.slow),
        )


@dataclass(frozen=True, slots=True)
class VersionComparison:
    """The answers of both versions, on one route or on all."""

    old: AnswerCounts
    new: AnswerCounts

    @property
    def is_bad(self) -> bool:
        """Whether the new version is worse than chance explains."""
        return _is_unlikely(
            self.new.failed,
            self.new.total,
            _sound_rate(self.old.failed, self.old.total, USUAL_FAILURE_RATE),
        ) or _is_unlikely(
            self.new.slow,
            self.new.total,
            _sound_rate(self.old.slow, self.old.total, USUAL_SLOW_RATE),
        )


class RecentAnswers:
    """Totals of the last steps, so that a late fault is not diluted.

    Attributes:
        steps: totals by what they count, oldest first.
    """

    def __init__(self) -> None:
        self.steps: deque[Mapping[Hashable, VersionComparison]] = deque(
            maxlen=RECENT_STEPS
        )

    def add(
        self, totals: Mapping[Hashable, VersionComparison]
    ) -> list[VersionComparison]:
        """Add the totals of a step.

        Returns:
            The totals, and what was added to them in the last steps.
        """
        self.steps.append(totals)
        earliest = self.steps[0]
        nothing = VersionComparison(AnswerCounts(), AnswerCounts())
        recent = []
        for key, total in totals.items():
            before = earliest.get(key, nothing)
            recent.append(
                VersionComparison(
                    total.old.since(before.old), total.new.since(before.new)
                )
            )
        return [*totals.values(), *recent]


def next_phase(
    phase: Phase,
    elapsed_ms: float,
    duration_ms: float,
    comparisons: Iterable[VersionComparison],
    slot_share: float,
) -> Phase:
    """Return the phase of an order.

    Args:
        phase: the phase so far.
        elapsed_ms: time since the order.
        duration_ms: time in which the order is to be complete.
        comparisons: the answers, by route and for all routes.
        slot_share: slots of the new upstreams in service, relative to those
            of the old ones.
    """
    if phase.is_final:
        return phase
    if any(comparison.is_bad for comparison in comparisons):
        return Phase.ROLLED_BACK
    if slot_share <= 0.0:
        return phase
    scale = min(1.0, duration_ms / USUAL_DURATION_MS)
    left_ms = duration_ms - elapsed_ms
    due = Phase.CANARY
    if left_ms <= HALF_BEFORE_END_MS * scale:
        due = Phase.HALF
    if slot_share >= MIN_SLOT_SHARE:
        if left_ms <= FULL_BEFORE_END_MS * scale:
            due = Phase.FULL
        # The old upstreams first finish what they have.
        if left_ms <= COMPLETE_BEFORE_END_MS * scale and phase is Phase.FULL:
            due = Phase.COMPLETE
    return max(phase, due)


def new_share(phase: Phase) -> float:
    """Return the share of requests that go to the new version."""
    return {
        Phase.WAITING: 0.0,
        Phase.CANARY: CANARY_SHARE,
        Phase.HALF: HALF_SHARE,
        Phase.FULL: 1.0,
        Phase.COMPLETE: 1.0,
        Phase.ROLLED_BACK: 0.0,
    }[phase]


def choose_canaries(service: str, upstreams: Iterable[str]) -> frozenset[str]:
    """Choose the new upstreams that get a canary's requests."""
    names = list(upstreams)
    count = math.ceil(CANARY_SHARE * len(names))
    return frozenset(rank_by_rendezvous(service, names, count))


def choose_manager(service: str, hosts: Iterable[str]) -> str | None:
    """Choose the host that decides about the orders of a service."""
    ranked = rank_by_rendezvous(f"rollout|{service}", hosts, 1)
    return ranked[0] if ranked else None


def _sound_rate(bad: int, total: int, usual: float) -> float:
    """Return the rate of bad answers that a sound new version may have."""
    measured = bad / total if total else 0.0
    return min(0.9, max(usual, RATE_FACTOR * measured))


def _is_unlikely(bad: int, total: int, rate: float) -> bool:
    """Return whether so many bad answers at a rate are hardly chance.

    Chernoff's bound of the upper tail of a binomial distribution.
    """
    if bad < MIN_BAD_ANSWERS or bad <= rate * total:
        return False
    share = bad / total
    divergence = share * math.log(share / rate)
    if share < 1.0:
        divergence += (1.0 - share) * math.log((1.0 - share) / (1.0 - rate))
    return math.exp(-total * divergence) < MAX_CHANCE
