"""Decides whether the store was away, or only a call to it failed.

Answers two loads that look alike at first. While the store is away, entries
expire although their owners live; what is missing after its return is kept for
a grace time. A watch that is cut, a lost answer or a refusal of one host loses
no entry: a removal that follows is meant, and holds at once.

The store was away if no host is known to have got an answer for a while. Calls
that failed in between prove nothing by themselves.
"""

from dataclasses import dataclass
from dataclasses import replace

# Shorter absences let no lease expire: hosts renew theirs every 1.5 s with a
# time to live of 4 s, and upstreams have longer ones. A host notices it up to
# 1.6 s late.
MIN_ABSENCE_MS = 500.0
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class StoreAbsence:
    """What a host knows of the times at which the store was away.

    All times are in milliseconds on the monotonic clock.

    Attributes:
        answered_at: when the store last answered this host or one of those
            that tell it of changes.
        failing_since: since when calls fail without an answer in between; None
            when the last call was answered.
        ended_at: when the store answered again after it was away.
    """

    answered_at: float = NEVER
    failing_since: float | None = None
    ended_at: float = NEVER

    def last_away_at(self, now: float) -> float:
        """Return the last time at which the store was away, as far as known.

        Returns:
            The time; now while it is away, minus infinity for never.
        """
        since = self.failing_since
        if since is not None and now - since >= MIN_ABSENCE_MS:
            return now
        return self.ended_at


def record_failure(absence: StoreAbsence, since: float) -> StoreAbsence:
    """Record a call that failed.

    Args:
        absence: what was known before.
        since: when the call failed, or was made if nothing answered it.
    """
    if absence.failing_since is not None:
        return absence
    return replace(absence, failing_since=max(since, absence.answered_at))


def record_answer(absence: StoreAbsence, answered_at: float) -> StoreAbsence:
    """Record an answer of the store.

    Args:
        absence: what was known before.
        answered_at: when the store sent it; it may have come through another
            host.
    """
    answered_at = max(answered_at, absence.answered_at)
    absence = replace(absence, answered_at=answered_at)
    since = absence.failing_since
    if since is None or answered_at < since:
        return absence
    ended_at = absence.ended_at
    if answered_at - since >= MIN_ABSENCE_MS:
        ended_at = answered_at
    return replace(absence, failing_since=None, ended_at=ended_at)
