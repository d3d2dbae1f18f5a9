"""What a host knows of one upstream, from probes, answers and other hosts."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions.learned import Risk
from wigeongw.decisions.shares import Bucket

# After an upstream could not be reached it is left alone for this long,
# doubled with each further failure.
REST_FIRST_MS = 150.0
REST_MOST_MS = 1_200.0
# Requests of other hosts that are remembered an upstream.
OTHERS_MOST = 32
# A request of another host counts this long unless a sample came after it.
OTHERS_LAST_MS = 150.0


@dataclass(slots=True)
class TargetState:
    """What this host knows of one upstream.

    Attributes:
        began: when each request of this host in flight was sent.
        cold_until: when its cold start ends, as far as is known.
        warm_at: when a probe last said that it is warm.
        others: when other hosts sent it requests.
        probed: the latest sample that a probe of this host brought.
        good: requests that ended well since others were told.
        failed: requests that did not.
        rest_until: it could not be reached and is left alone until then.
        heard_silent: when another host began a probe that was not answered.
        misdirected: its address belongs to another upstream now.
        own: it is in this host's own part of the upstreams near by.
    """

    target: Target
    probes: Bucket
    cold: Bucket
    sample: LoadSample | None = None
    cold_until: float = 0.0
    warm_at: float = float("-inf")
    risk: Risk = field(default_factory=Risk)
    began: list[float] = field(default_factory=list)
    others: deque[float] = field(
        default_factory=lambda: deque(maxlen=OTHERS_MOST)
    )
    probed: LoadSample | None = None
    good: int = 0
    failed: int = 0
    rest_ms: float = 0.0
    rest_until: float = 0.0
    heard_silent: float = float("-inf")
    misdirected: bool = False
    own: bool = True

    @property
    def silent(self) -> bool:
        """Whether it failed to answer and has not answered since.

        What this host found itself only an answer to this host refutes: an
        upstream may be cut off from some hosts.
        """
        seen = self.sample.at_ms if self.sample else float("-inf")
        return self.rest_ms > 0.0 or self.heard_silent > seen

    def take(self, sample: LoadSample) -> None:
        """Take in what it said of its load."""
        held = self.sample
        if held is None or sample.at_ms >= held.at_ms:
            self.sample = sample
        left = sample.cold_left_ms
        if left is None:
            return
        self.cold_until = sample.at_ms + left
        if left <= 0 and sample.at_ms > self.warm_at:
            self.warm_at = sample.at_ms

    def note_end(self, failed: bool, now: float) -> None:
        """Learn how a request of this host ended."""
        self.risk.learn(failed, now)
        if failed:
            self.failed += 1
        else:
            self.good += 1

    def note_others(self, at_ms: float) -> None:
        """Note that another host sent it a request."""
        self.others.append(at_ms)

    def sent_since(self, seen_ms: float, now: float) -> int:
        """Count requests, of any host, that a sample does not show yet."""
        own = sum(1 for began in self.began if began >= seen_ms)
        since = max(seen_ms, now - OTHERS_LAST_MS)
        return own + sum(1 for at in self.others if at >= since)

    def note_unreachable(self, now: float) -> None:
        """Leave it alone for a while."""
        longer = min(REST_MOST_MS, 2.0 * self.rest_ms)
        self.rest_ms = max(REST_FIRST_MS, longer)
        self.rest_until = now + self.rest_ms

    def note_reached(self) -> None:
        """Forget earlier failures to reach it."""
        self.rest_ms = 0.0
        self.rest_until = 0.0
