"""Recognizes requests under which upstreams end, and holds them back.

Answers the load of a request that crashes whatever runs it, sent again under
new ids by clients and by retries. The evidence is an upstream that ended while
it had the request. Sound requests share upstreams with such a request, so one
piece of evidence is not enough, and an answer to a request clears it.

Times are in milliseconds on the monotonic clock.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from wigeongw.core.identifiers import rank_by_rendezvous

# Ended upstreams after which a request is held back, if it was once the only
# request of its host there, and in any case.
ENDS_WHEN_ALONE = 2
ENDS_IN_ANY_CASE = 3
EVIDENCE_TTL_MS = 60_000.0
MAX_SUSPECTS = 1_000
MAX_HELD = 500
# A held request is tried again after this time, doubled with each failure.
MIN_TRIAL_DELAY_MS = 60_000.0
MAX_TRIAL_DELAY_MS = 3_600_000.0

Fingerprint = bytes


class Ruling(Enum):
    """What to do with a request."""

    SEND = "send"
    # Sent, on an upstream without another suspect of this host.
    SEND_APART = "send_apart"
    # Sent once, to find out whether it still ends its upstream.
    TRY = "try"
    HOLD = "hold"


@dataclass(slots=True)
class Suspicion:
    """The evidence against one request.

    Attributes:
        upstreams: hashes of the upstreams that ended under it.
        was_alone: whether it was once the only request of its host there.
        ended_at: when the latest of them ended.
    """

    upstreams: set[int] = field(default_factory=set)
    was_alone: bool = False
    ended_at: float = 0.0

    @property
    def is_enough(self) -> bool:
        """Whether the request is to be held back."""
        needed = ENDS_WHEN_ALONE if self.was_alone else ENDS_IN_ANY_CASE
        return len(self.upstreams) >= needed


@dataclass(slots=True)
class Verdict:
    """A request that is held back.

    Attributes:
        ends: number of upstreams that ended under it.
        delay_ms: time until the next trial.
        trial_at: when it may be tried.
        is_tried: whether a trial is in progress.
    """

    ends: int
    delay_ms: float
    trial_at: float
    is_tried: bool = False


class CrashSuspects:
    """The requests that are suspected or held back.

    Attributes:
        suspects: by fingerprint, the latest evidence last.
        held: by fingerprint.
    """

    def __init__(self) -> None:
        self.suspects: dict[Fingerprint, Suspicion] = {}
        self.held: dict[Fingerprint, Verdict] = {}

    def record_end(
        self,
        fingerprint: Fingerprint,
        upstream: int,
        is_alone: bool,
        now: float,
    ) -> bool:
        """Record that an upstream ended while it had a request.

        Args:
            fingerprint: of the request.
            upstream: hash of the upstream's identity.
            is_alone: whether its host had no other request there.
            now: when it ended.

        Returns:
            Whether the request is held back from now on.
        """
        verdict = self.held.get(fingerprint)
        if verdict is not None:
            self._record_failed_trial(verdict, now)
            return False
        suspicion = self.suspects.pop(fingerprint, Suspicion())
        suspicion.upstreams.add(upstream)
        suspicion.was_alone = suspicion.was_alone or is_alone
        suspicion.ended_at = now
        self._drop_old(now)
        if not suspicion.is_enough or len(self.held) >= MAX_HELD:
            self.suspects[fingerprint] = suspicion
            return False
        self.hold(fingerprint, len(suspicion.upstreams), now)
        return True

    def hold(self, fingerprint: Fingerprint, ends: int, now: float) -> bool:
        """Hold a request back, also on the word of another host.

        Returns:
            Whether it was not held back before.
        """
        if fingerprint in self.held or len(self.held) >= MAX_HELD:
            return False
        self.suspects.pop(fingerprint, None)
        self.held[fingerprint] = Verdict(
            ends, MIN_TRIAL_DELAY_MS, now + MIN_TRIAL_DELAY_MS
        )
        return True

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Drop all evidence against a request that was answered.

        Returns:
            Whether there was any.
        """
        was_suspect = self.suspects.pop(fingerprint, None) is not None
        return self.held.pop(fingerprint, None) is not None or was_suspect

    def is_known(self, fingerprint: Fingerprint) -> bool:
        """Return whether there is evidence against a request."""
        return fingerprint in self.suspects or fingerprint in self.held

    def ruling(
        self, fingerprint: Fingerprint, is_trial_host: bool, now: float
    ) -> Ruling:
        """Decide about a send of a request.

        Args:
            fingerprint: of the request.
            is_trial_host: whether this host tries held requests again.
            now: current time.
        """
        verdict = self.held.get(fingerprint)
        if verdict is not None:
            is_due = now >= verdict.trial_at and not verdict.is_tried
            return Ruling.TRY if is_trial_host and is_due else Ruling.HOLD
        suspicion = self.suspects.get(fingerprint)
        if suspicion is None or now - suspicion.ended_at > EVIDENCE_TTL_MS:
            return Ruling.SEND
        return Ruling.SEND_APART

    def begin_trial(self, fingerprint: Fingerprint) -> None:
        """Note that a held request is being sent once."""
        self.held[fingerprint].is_tried = True

    def end_trial(self, fingerprint: Fingerprint, now: float) -> None:
        """Note that a trial ended without an answer or an end."""
        verdict = self.held.get(fingerprint)
        if verdict is not None and verdict.is_tried:
            verdict.is_tried = False
            verdict.trial_at = now + verdict.delay_ms

    def retry_after_ms(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the time until a held request may be tried again."""
        verdict = self.held[fingerprint]
        return max(MIN_TRIAL_DELAY_MS, verdict.trial_at - now)

    def _record_failed_trial(self, verdict: Verdict, now: float) -> None:
        verdict.ends += 1
        if verdict.is_tried:
            verdict.is_tried = False
            verdict.delay_ms = min(MAX_TRIAL_DELAY_MS, 2.0 * verdict.delay_ms)
        verdict.trial_at = now + verdict.delay_ms

    def _drop_old(self, now: float) -> None:
        while self.suspects:
            oldest = next(iter(self.suspects))
            age_ms = now - self.suspects[oldest].ended_at
            if len(self.suspects) < MAX_SUSPECTS and age_ms < EVIDENCE_TTL_MS:
                return
            del self.suspects[oldest]


def is_trial_host(
    fingerprint: Fingerprint, host: str, hosts: set[str]
) -> bool:
    """Return whether a host is the one that tries a held request again."""
    return rank_by_rendezvous(fingerprint.hex(), hosts | {host}, 1) == [host]
