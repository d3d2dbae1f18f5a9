"""The ways in which entry hosts share upstreams, chosen in the settings.

Each way answers the same calls: a request wants an upstream, and later it is
done. A way registers itself under the name that settings use.
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
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import Verdict
from wigeongw.settings.model import PermitSettings


class Refusal(enum.Enum):
    """Why a request was not sent to any upstream."""

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_UPSTREAM = "no-upstream"


@dataclass(frozen=True, slots=True)
class PoolView:
    """What an entry host knows of one pool.

    Attributes:
        grantor: the entry host that shares the pool out; None when cut off.
        round_trip_ms: travel there and back.
        is_open: whether its availability zone takes new requests.
        upstreams: those that take new requests.
        floor: those that this entry host may use while cut off, one request
            at a time on each.
    """

    pool: str
    grantor: str | None
    round_trip_ms: float
    is_open: bool
    upstreams: tuple[str, ...] = ()
    floor: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Held:
    """The right to one request in flight, as its holder sees it.

    Attributes:
        number: the permit's number.
        valid_until: no request may start after it, monotonic milliseconds.
        ends_by: a request with it must be over by then; only for cold ones.
    """

    number: int
    pool: str
    upstream: str
    cold: bool
    valid_until: float
    ends_by: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request that wants an upstream.

    Attributes:
        ends_at: its deadline, monotonic milliseconds.
        avoid: upstreams that it has tried already.
    """

    request: str
    ends_at: float
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the permit's upstream now."""

    request: str
    held: Held


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the client that the request was not run."""

    request: str
    reason: Refusal


Effect = Start | Refuse | ToGrantor


class Sharing(Protocol):
    """One way of sharing; times are monotonic milliseconds."""

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Take in the pools of the service, nearest first."""

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Find an upstream for a request, now or later."""

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Forget a request that waits."""

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
    ) -> list[Effect]:
        """Take in that a started request is over."""

    def heard(
        self, host: str, message: GrantorMessage, now: float
    ) -> list[Effect]:
        """Take in a grantor's message."""

    def tick(self, now: float) -> list[Effect]:
        """Do what is due by time."""

    def waiting_count(self) -> int:
        """Return how many requests wait."""

    def give_up_line(self) -> list[Wanted]:
        """Let go of the requests that wait, oldest first."""


@dataclass(frozen=True, slots=True)
class SharingConfig:
    """What a way of sharing is built from.

    Attributes:
        slots: requests that one warm upstream runs side by side.
        queue_most: requests that may wait.
        incarnation: random, so that numbers never repeat.
        rng: where random choices come from.
    """

    rules: PermitSettings
    slots: int
    queue_most: int
    incarnation: int
    rng: random.Random


class UnknownSharingError(WigeongwError):
    """Settings named a way of sharing that is not registered."""


S = TypeVar("S", bound=Sharing)
Factory = Callable[[SharingConfig], Sharing]
REGISTRY: dict[str, Factory] = {}


def sharing(name: str) -> Callable[[type[S]], type[S]]:
    """Register a way of sharing under its name in the settings."""

    def register(cls: type[S]) -> type[S]:
        REGISTRY[name] = cls
        return cls

    return register


def build(config: SharingConfig) -> Sharing:
    """Build the way of sharing that the settings name.

    Raises:
        UnknownSharingError: when none is registered under that name.
    """
    factory = REGISTRY.get(config.rules.sharing)
    if factory is None:
        raise UnknownSharingError(
            f"no way of sharing named {config.rules.sharing}"
        )
    return factory(config)
