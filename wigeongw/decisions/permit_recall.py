"""Recall of permits in use, so that cold upstreams receive requests.

The load: a steady one that the warm upstreams of a pool can take. Holders
reuse their permits then and ask for no others, so a cold upstream would stay
cold until the load rises, which is when its slots are needed. While an
upstream waits like that, one holder after the other is told to drop its
permits of one warm upstream; the asks that follow reach the cold one.
"""

from collections.abc import Iterable
from dataclasses import dataclass


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
