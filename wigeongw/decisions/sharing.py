"""Interface and registry of sharing strategies.

A sharing strategy decides which upstream gets a request and when, so that
entry hosts share the upstreams' capacity. Each strategy registers itself
under its name in the settings.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import enum
import random
from typing import Protocol
from typing import TypeVar

from wigeongw.core.errors import WigeongwError
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import Verdict
from wigeongw.settings.schema import PermitSettings


class Refusal(enum.Enum):
    """Why a request was not sent to any upstream."""

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_UPSTREAM = "no-upstream"


@dataclass(frozen=True, slots=True)
class PoolView:
    """State of one pool as an entry host sees it.

    Attributes:
        grantor: entry host that issues the pool's permits; None while it
            cannot be reached.
        round_trip_ms: network round trip to the pool's availability zone.
        is_open: whether the availability zone takes new requests.
        upstreams: upstreams that take new requests.
        floor: upstreams that this entry host may use without permits while
            the grantor cannot be reached, one request at a time on each.
    """

    pool: str
    grantor: str | None
    round_trip_ms: float
    is_open: bool
    upstreams: tuple[str, ...] = ()
    floor: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Held:
    """A permit as its holder sees it; times are monotonic milliseconds.

    Attributes:
        number: the permit's number.
        cold: whether the upstream was cold at the time of the grant.
        valid_until: no request may start with the permit from then on.
        ends_by: latest deadline of a request that uses the permit; enforced
            for cold upstreams only.
        single_use: whether it is for one request only, as the upstream limits
            its request rate.
    """

    number: int
    pool: str
    upstream: str
    cold: bool
    valid_until: float
    ends_by: float
    single_use: bool = False

    @property
    def reusable(self) -> bool:
        """Whether the holder may keep it for a later request."""
        return not (self.cold or self.single_use)


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request that needs an upstream.

    Attributes:
        request: unique name of the request.
        ends_at: its deadline, monotonic milliseconds.
        avoid: upstreams that the request has tried already.
    """

    request: str
    ends_at: float
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Start:
    """Effect: send the request to the permit's upstream now."""

    request: str
    held: Held


@dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: tell the client that the request was not executed."""

    request: str
    reason: Refusal


Effect = Start | Refuse | ToGrantor


class SharingStrategy(Protocol):
    """Sharing strategy of one service.

    The caller passes the current time as `now`, in monotonic milliseconds,
    and carries out the returned effects.
    """

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Update the pools of the service, nearest first."""

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Start a request, queue it or refuse it."""

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Remove a request from the queue, if it is queued."""

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
        limit: LimitReport | None = None,
    ) -> list[Effect]:
        """Process the end of a started request.

        Args:
            request: the request's name, as given to want.
            verdict: its result.
            served_ms: time to the end of the response; 0 without one.
            start: the upstream's start identity; empty if unknown.
            now: current time.
            limit: what the response said about a rate limit; None without a
                response.
        """

    def heard(
        self, host: str, message: GrantorMessage, now: float
    ) -> list[Effect]:
        """Process a message that a grantor on a host sent."""

    def tick(self, now: float) -> list[Effect]:
        """Do periodic work, such as refusing expired requests."""

    def waiting_count(self) -> int:
        """Return the number of queued requests."""

    def give_up_line(self) -> list[Wanted]:
        """Empty the queue and return its requests, oldest first."""


@dataclass(frozen=True, slots=True)
class SharingConfig:
    """Configuration of a sharing strategy.

    Attributes:
        rules: permit settings, with the name of the strategy.
        slots: concurrent requests of one warm upstream.
        queue_most: limit of queued requests.
        incarnation: random high bits of serial numbers, so that numbers of
            successive strategy objects never collide.
        rng: random number generator.
    """

    rules: PermitSettings
    slots: int
    queue_most: int
    incarnation: int
    rng: random.Random


class UnknownSharingError(WigeongwError):
    """The settings name a sharing strategy that is not registered."""


StrategyT = TypeVar("StrategyT", bound=SharingStrategy)
StrategyFactory = Callable[[SharingConfig], SharingStrategy]
STRATEGIES: dict[str, StrategyFactory] = {}


def register_strategy(
    name: str,
) -> Callable[[type[StrategyT]], type[StrategyT]]:
    """Return a decorator that registers a sharing strategy.

    Args:
        name: the strategy's name in the settings.
    """

    def register(cls: type[StrategyT]) -> type[StrategyT]:
        STRATEGIES[name] = cls
        return cls

    return register


def build(config: SharingConfig) -> SharingStrategy:
    """Build the sharing strategy that the settings name.

    Raises:
        UnknownSharingError: if no strategy is registered under that name.
    """
    factory = STRATEGIES.get(config.rules.sharing)
    if factory is None:
        raise UnknownSharingError(
            f"unknown sharing strategy {config.rules.sharing!r}; expected "
            f"one of {sorted(STRATEGIES)}"
        )
    return factory(config)
