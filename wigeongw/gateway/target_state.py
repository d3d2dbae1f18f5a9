"""State of one upstream, from probes, responses and other hosts."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from wigeongw.core.site import LoadSample
from wigeongw.core.site import RateLimit
from wigeongw.core.site import Target
from wigeongw.decisions.estimates import FailureRate
from wigeongw.decisions.host_limits import TokenBucket
from wigeongw.gateway.self_report import SelfReport

# Backoff after an upstream could not be reached, doubled with each further
# failure.
MIN_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1_200.0
# Requests of other hosts that are remembered for each upstream.
MAX_PEER_SENDS = 32
# A request of another host counts for this long, or until a newer load sample
# includes it.
PEER_SEND_TTL_MS = 150.0
# How long another host's report counts that an upstream is silent.
PEER_REPORT_TTL_MS = 2_000.0
# Share of that time after which the report is repeated while it is silent.
REPORT_AGAIN_SHARE = 0.5


@dataclass(slots=True, eq=False)
class Flight:
    """A request of this host that an upstream has.

    Attributes:
        is_alone: whether it was the only one all the time.
    """

    is_alone: bool


@dataclass(slots=True)
class TargetState:
    """What this host knows about one upstream.

    All times are in milliseconds on the monotonic clock.

    Attributes:
        probe_bucket: limits this host's probes of the upstream.
        cold_bucket: limits this host's requests to it during its warm-up.
        sample: the latest load sample from a probe, a response or a peer.
        cold_until: expected end of the warm-up.
        risk: recent share of failures.
        confirmed_warm_at: when a probe last reported that it is warm.
        in_flight_since: send time of each request of this host in flight.
        peer_sends: when other hosts sent requests to it.
        last_probe_sample: the latest sample from a probe by this host.
        succeeded: successful requests since the last datagram to other hosts.
        failed: failed requests since the last datagram to other hosts.
        backoff_ms: length of the current backoff; 0 while it is reachable.
        backoff_until: end of the backoff after a failure to reach it.
        peer_reported_silent_at: start of the latest unanswered probe that
            another host reported.
        misdirected: its address now belongs to another upstream.
        in_subset: it belongs to the upstreams that this host prefers.
        self_report: what it said of itself; outlasts this state.
        denied_until: by grantor, the time until which it is not asked for a
            request to this upstream.
        flights: this host's requests that it has.
    """

    target: Target
    probe_bucket: TokenBucket
    cold_bucket: TokenBucket
    sample: LoadSample | None = None
    cold_until: float = 0.0
    confirmed_warm_at: float = float("-inf")
    risk: FailureRate = field(default_factory=FailureRate)
    in_flight_since: list[float] = field(default_factory=list)
    peer_sends: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_PEER_SENDS)
    )
    last_probe_sample: LoadSample | None = None
    succeeded: int = 0
    failed: int = 0
    backoff_ms: float = 0.0
    backoff_until: float = 0.0
    peer_reported_silent_at: float = float("-inf")
    misdirected: bool = False
    in_subset: bool = True
    self_report: SelfReport = field(default_factory=SelfReport)
    denied_until: dict[str, float] = field(default_factory=dict)
    flights: set["Flight"] = field(default_factory=set)

    def begin_flight(self) -> "Flight":
        """Record a request that is being sent to it."""
        flight = Flight(is_alone=not self.flights)
        for other in self.flights:
            other.is_alone = False
        self.flights.add(flight)
        return flight

    def is_silent(self, now: float) -> bool:
        """Return whether it stopped answering and has not answered since.

        A failure seen by this host is cleared only by a response to this host,
        because an upstream may be unreachable from some hosts only. A failure
        reported by another host is cleared by any newer sample, and ends by
        itself, because samples reach fewer hosts than such reports.
        """
        if self.backoff_ms > 0.0:
            return True
        sample_at = self.sample.at_ms if self.sample else float("-inf")
        reported_at = self.peer_reported_silent_at
        return (
            reported_at > sample_at and now - reported_at < PEER_REPORT_TTL_MS
        )

    def is_known_silent(self, now: float) -> bool:
        """Return whether another host has lately reported it as silent."""
        age_ms = now - self.peer_reported_silent_at
        return age_ms < PEER_REPORT_TTL_MS * REPORT_AGAIN_SHARE

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it leaves; only a later start is used again."""
        return self.self_report.is_leaving

    @property
    def held_until(self) -> float:
        """End of the pause that it asked this host for."""
        return self.self_report.held_until

    @property
    def rate_limit(self) -> RateLimit | None:
        """The latest that it said of a rate limit; None for nothing yet."""
        return self.self_report.rate_limit

    @property
    def limit_per_s(self) -> float | None:
        """The rate limit in force; None when it names none."""
        return self.rate_limit.per_s if self.rate_limit is not None else None

    def update_sample(self, sample: LoadSample) -> None:
        """Store a load sample, unless the current one is newer."""
        latest = self.sample
        if latest is None or sample.at_ms >= latest.at_ms:
            self.sample = sample
        if sample.cold_left_ms is not None:
            self.record_warm_up(sample.cold_left_ms, sample.at_ms)

    def record_warm_up(self, cold_left_ms: float, at_ms: float) -> None:
        """Record how long a probe says that it stays cold; 0 if warm."""
        self.cold_until = at_ms + cold_left_ms
        if cold_left_ms <= 0 and at_ms > self.confirmed_warm_at:
            self.confirmed_warm_at = at_ms

    def record_outcome(self, failed: bool, now: float) -> None:
        """Count the outcome of a request sent by this host."""
        self.risk.learn(failed, now)
        if failed:
            self.failed += 1
        else:
            self.succeeded += 1

    def record_peer_send(self, at_ms: float) -> None:
        """Record when another host sent it a request."""
        self.peer_sends.append(at_ms)

    def count_unreported_sends(self, sample_at_ms: float, now: float) -> int:
        """Count the requests that a load sample does not include yet.

        Args:
            sample_at_ms: time of the sample.
            now: monotonic clock.

        Returns:
            The number of requests sent by this or any other host.
        """
        own_sends = sum(
            1 for sent_at in self.in_flight_since if sent_at >= sample_at_ms
        )
        since = max(sample_at_ms, now - PEER_SEND_TTL_MS)
        return own_sends + sum(
            1 for at_ms in self.peer_sends if at_ms >= since
        )

    def record_unreachable(self, now: float) -> None:
        """Start a backoff, twice as long as the previous one."""
        doubled_ms = min(MAX_BACKOFF_MS, 2.0 * self.backoff_ms)
        self.backoff_ms = max(MIN_BACKOFF_MS, doubled_ms)
        self.backoff_until = now + self.backoff_ms

    def record_reachable(self) -> None:
        """End the backoff and reset its length."""
        self.backoff_ms = 0.0
        self.backoff_until = 0.0
