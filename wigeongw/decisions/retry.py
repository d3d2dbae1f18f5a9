"""When a request may be sent again, and the budget that bounds it.

Retries and hedges are paid for by requests: each request adds a fraction of a
token, each extra attempt takes a whole one. So extra attempts stay a fixed
share of traffic however many requests fail at once.
"""

from dataclasses import dataclass
from dataclasses import replace

from wigeongw.core.records import Outcome

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE")
)


@dataclass(frozen=True, slots=True)
class Budget:
    """Extra attempts that may still be made.

    Attributes:
        tokens: whole attempts that are paid for.
        share: tokens that each request adds.
        most: tokens that may be saved up.
    """

    tokens: float
    share: float
    most: float


def earn(budget: Budget) -> Budget:
    """Count a first attempt."""
    tokens = min(budget.most, budget.tokens + budget.share)
    return replace(budget, tokens=tokens)


def spend(budget: Budget) -> Budget | None:
    """Pay for an extra attempt.

    Returns:
        The budget after, or None when there is not enough left.
    """
    if budget.tokens < 1:
        return None
    return replace(budget, tokens=budget.tokens - 1)


def may_send_again(
    method: str, outcome: Outcome, attempts: int, most: int, sent_body: bool
) -> bool:
    """Decide whether a failed attempt may be followed by another.

    Args:
        method: the HTTP method.
        outcome: what is known of the attempt.
        attempts: how often the request was sent so far.
        most: how often it may be sent.
        sent_body: whether body bytes are gone that were not kept.

    Returns:
        True when the request cannot run twice by it, or may.
    """
    if attempts >= most or sent_body:
        return False
    if outcome is Outcome.NOT_RUN:
        return True
    return outcome is Outcome.UNKNOWN and method in IDEMPOTENT_METHODS
