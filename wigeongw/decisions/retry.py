"""Retry rules and the retry budget.

Each request adds a fraction of a token to the budget, and each extra attempt
(retry or hedged request) takes a whole token. Extra attempts therefore stay a
fixed share of the traffic, regardless of how many requests fail at once.
"""

from dataclasses import dataclass
from dataclasses import replace

from wigeongw.core.records import Outcome

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE")
)


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Token budget for extra attempts.

    Attributes:
        tokens: tokens available; an extra attempt takes one.
        share: tokens that each request adds.
        capacity: the maximum number of tokens.
    """

    tokens: float
    share: float
    capacity: float


def earn(budget: RetryBudget) -> RetryBudget:
    """Add the tokens that one request earns."""
    tokens = min(budget.capacity, budget.tokens + budget.share)
    return replace(budget, tokens=tokens)


def spend(budget: RetryBudget) -> RetryBudget | None:
    """Take one token for an extra attempt.

    Returns:
        The remaining budget, or None when there is less than one token.
    """
    if budget.tokens < 1:
        return None
    return replace(budget, tokens=budget.tokens - 1)


def may_send_again(
    method: str,
    outcome: Outcome,
    sends: int,
    max_sends: int,
    body_consumed: bool,
) -> bool:
    """Decide whether a request may be sent again after a failed attempt.

    Args:
        method: the HTTP method.
        outcome: whether the failed attempt ran, as far as is known.
        sends: how often the request has been sent.
        max_sends: the maximum number of times that it may be sent.
        body_consumed: whether bytes of the body were sent that were not
            buffered and cannot be sent again.

    Returns:
        True when the request certainly did not run, or when it may have run
        and its method is idempotent.
    """
    if sends >= max_sends or body_consumed:
        return False
    if outcome is Outcome.NOT_RUN:
        return True
    return outcome is Outcome.UNKNOWN and method in IDEMPOTENT_METHODS
