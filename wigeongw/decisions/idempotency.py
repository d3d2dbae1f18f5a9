"""At-most-once execution of requests with an Idempotency-Key.

Before an entry host dispatches such a request, it claims the idempotency key
of the client in the store. Only the host that made a claim may dispatch the
request, and a claim is never transferred. A host that finds the claim of
another attempt replays the recorded response, reports a conflict while the
request is in progress, or reports that the outcome is unknown.
"""

from dataclasses import dataclass
import enum


class ClaimState(enum.Enum):
    """State of a claim: in progress, or the recorded outcome."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claim:
    """Record that the store holds for an idempotency key.

    Attributes:
        token: random identifier of the attempt that made the claim.
        host: name of the host that made the claim.
        body_digest: digest of method, path and body of the request.
        state: whether the request is in progress, or its outcome.
        ends_at_ms: the latest time at which the request ends, wall clock in
            milliseconds.
        status: status of the recorded response; 0 when none is kept.
        headers: headers of the recorded response.
        body: body of the recorded response.
    """

    token: str
    host: str
    body_digest: str
    state: ClaimState
    ends_at_ms: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ClaimAction(enum.Enum):
    """Action of an entry host after it has read a claim."""

    DISPATCH = "dispatch"
    RECLAIM = "reclaim"
    REPLAY = "replay"
    ANSWER_GONE = "answer-gone"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    OTHER_BODY = "other-body"


def decide_claim_action(
    found: Claim, token: str, body_digest: str, wall_ms: float
) -> ClaimAction:
    """Decide how to proceed with the claim that the store holds.

    Args:
        found: the claim as read from the store.
        token: identifier of the attempt of this host.
        body_digest: digest of the request of this attempt.
        wall_ms: wall clock in milliseconds; it only decides between
            IN_PROGRESS and UNKNOWN, both of which are safe when it is wrong.

    Returns:
        DISPATCH only when this attempt made the claim and it is in progress;
        RECLAIM when the host that made the claim recorded that the request
        did not run.
    """
    if found.body_digest != body_digest:
        return ClaimAction.OTHER_BODY
    if found.state is ClaimState.CLAIMED:
        if found.token == token:
            return ClaimAction.DISPATCH
        if wall_ms < found.ends_at_ms:
            return ClaimAction.IN_PROGRESS
        return ClaimAction.UNKNOWN
    if found.state is ClaimState.NOT_RUN:
        return ClaimAction.RECLAIM
    if found.state is ClaimState.RAN:
        return ClaimAction.REPLAY if found.status else ClaimAction.ANSWER_GONE
    return ClaimAction.UNKNOWN


def may_dispatch(asked_at: float, claim_ms: float, now: float) -> bool:
    """Return whether a claim is recent enough to dispatch the request.

    Args:
        asked_at: when the claim was requested, monotonic milliseconds.
        claim_ms: time for which a claim permits a dispatch.
        now: monotonic clock, read immediately before the first byte is sent.
    """
    return now - asked_at < claim_ms
