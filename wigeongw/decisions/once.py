"""Running a request that is not idempotent at most once.

Before dispatch an entry host claims the client's Idempotency-Key in the
store. Only the claimant may ever dispatch under a claim, so the claim is
never handed on: whoever meets a claim it did not make reports the recorded
answer, a conflict while it runs, or that the outcome is unknown.
"""

from dataclasses import dataclass
import enum


class ClaimState(enum.Enum):
    """Where a claim stands."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """What the store holds under an idempotency key.

    Attributes:
        token: drawn by the claimant for this one attempt.
        host: the claimant.
        body_digest: of method, path and body.
        ends_at_ms: when the request is over at the latest, wall clock.
        status: of the recorded answer; 0 when none is kept.
        headers: of the recorded answer.
        body: of the recorded answer.
    """

    token: str
    host: str
    body_digest: str
    state: ClaimState
    ends_at_ms: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Verdict(enum.Enum):
    """What an entry host does after reading a claim."""

    DISPATCH = "dispatch"
    RECLAIM = "reclaim"
    REPLAY = "replay"
    ANSWER_GONE = "answer-gone"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    OTHER_BODY = "other-body"


def judge(
    found: Claim, token: str, body_digest: str, wall_ms: float
) -> Verdict:
    """Decide what to do about the claim that stands in the store.

    Args:
        found: the claim as read.
        token: of our own attempt.
        body_digest: of the request at hand.
        wall_ms: wall clock; decides only between two safe answers.

    Returns:
        DISPATCH only when the claim is our own and open; RECLAIM when the
        claimant itself recorded that nothing ran.
    """
    if found.body_digest != body_digest:
        return Verdict.OTHER_BODY
    if found.state is ClaimState.CLAIMED:
        if found.token == token:
            return Verdict.DISPATCH
        if wall_ms < found.ends_at_ms:
            return Verdict.IN_PROGRESS
        return Verdict.UNKNOWN
    if found.state is ClaimState.NOT_RUN:
        return Verdict.RECLAIM
    if found.state is ClaimState.RAN:
        return Verdict.REPLAY if found.status else Verdict.ANSWER_GONE
    return Verdict.UNKNOWN


def may_dispatch(asked_at: float, claim_ms: float, now: float) -> bool:
    """Decide whether a claim is fresh enough to act on.

    Args:
        asked_at: when the claim was asked for, monotonic milliseconds.
        claim_ms: how long it may be acted on.
        now: read immediately before the first byte is sent.
    """
    return now - asked_at < claim_ms
