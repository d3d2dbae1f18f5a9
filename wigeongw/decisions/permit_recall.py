"""Recall of permits in use, so that cold upstreams receive requests.

The load: a steady one that the warm upstreams of a pool can take. Holders
reuse their permits then and ask for no others, so a cold upstream would stay
cold until the load rises, which is when its slots are needed. While an
upstream waits like that, one holder after the other is told to drop its
permits of one warm upstream; the asks that follow reach the cold one. If it
makes no progress, as it is still slow, it is offered requests less and less
often, since each of them is slow for its client.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

MIN_INTERVAL_MS = 50.0
MAX_INTERVAL_MS = 1_000.0


@dataclass(frozen=True, order=True, slots=True)
class Recall:
    """The permits of one holder for one upstream."""

    holder: str
    upstream: str


def next_recall(held: Iterable[Recall], last: Recall | None) -> Recall | None:
    """Choose whose permits are recalled next.

    Args:
        held: the permits in use or idle, for warm upstreams.
        last: the choice before; None for none.

    Returns:
        The next in turn, so that a holder whose requests run for long does
        not hold up the others. None if no permits are held.
    """
    in_turn = sorted(set(held))
    if not in_turn:
        return None
    if last is None:
        return in_turn[0]
    return next((r for r in in_turn if r > last), in_turn[0])


@dataclass(frozen=True, slots=True)
class RecallPace:
    """How often permits are recalled.

    Attributes:
        interval_ms: least time until the next recall.
        reached: how far the warm-up of each cold upstream was at the last
            recall: its limit, and the completions that count since it rose.
    """

    interval_ms: float = MIN_INTERVAL_MS
    reached: Mapping[str, tuple[int, int]] = field(default_factory=dict)


def next_pace(
    pace: RecallPace, reached: Mapping[str, tuple[int, int]]
) -> RecallPace:
    """Return the pace after a recall.

    Args:
        pace: the pace before.
        reached: the same of each cold upstream now.

    Returns:
        The shortest interval if a cold upstream is new or has made progress
        since the last recall, else twice the interval before, to a bound.
    """
    is_progress = any(
        name not in pace.reached or progress > pace.reached[name]
        for name, progress in reached.items()
    )
    if is_progress:
        return RecallPace(MIN_INTERVAL_MS, reached)
    longer_ms = min(2.0 * pace.interval_ms, MAX_INTERVAL_MS)
    return RecallPace(longer_ms, reached)
