"""Records that a grantor keeps: upstreams, permits and what it took over."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from wigeongw.core.records import Upstream
from wigeongw.decisions.rate_limit import LimitGrantor
from wigeongw.decisions.warm_up import Ramp


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """State of one upstream as its grantor announces it in heartbeats.

    Attributes:
        warm: whether the upstream has finished its warm-up.
        limit: requests allowed in flight, over all entry hosts.
        start: the upstream's start identity; empty if unknown.
        seen_at: when the grantor last received a result or a load report
            from the upstream, local monotonic milliseconds.
        rate_limit_per_s: requests per second that the upstream takes from all
            hosts together; None when it names no limit.
    """

    pool: str
    upstream: str
    warm: bool
    limit: int
    start: str
    seen_at: float
    rate_limit_per_s: float | None = None


@dataclass(slots=True)
class TrackedUpstream:
    """Slots and warm-up state of one upstream.

    Attributes:
        start: the upstream's start identity; empty if unknown.
        in_use: slots taken by outstanding permits.
        seen_at: when the last result or load report arrived, monotonic
            milliseconds.
        checked_at: when a load report was last requested or a result last
            arrived, monotonic milliseconds.
        rate_limit: grants requests within the rate limit of the upstream;
            None when it names no limit.
        ended_rate_limit: the one before, when the limit has ended. It is used
            again if the upstream names a limit anew, so that a limit that
            comes and goes gains no requests.
    """

    upstream: Upstream
    ramp: Ramp
    start: str = ""
    in_use: int = 0
    seen_at: float = 0.0
    checked_at: float = float("-inf")
    rate_limit: LimitGrantor | None = None
    ended_rate_limit: LimitGrantor | None = None


@dataclass(slots=True)
class Permit:
    """An outstanding permit; times are monotonic milliseconds.

    Attributes:
        expires_at: when the permit counts as lost unless it is renewed.
        ends_at: latest end of the request that uses the permit.
    """

    holder: str
    upstream: str
    expires_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """Initial state of a new grantor.

    Attributes:
        incarnation: random high bits of permit numbers, so that numbers of
            successive grantors never collide.
        known: last announced view of each upstream, by name.
        unheard: holders that may have requests in flight, with the time at
            which the last of these requests must be over. Permits for warm
            upstreams are issued once all these holders have registered, or
            one permit lifetime has passed.
    """

    incarnation: int
    known: Mapping[str, UpstreamView] = field(default_factory=dict)
    unheard: Mapping[str, float] = field(default_factory=dict)
