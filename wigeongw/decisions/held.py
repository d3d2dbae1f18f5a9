"""What a holder keeps: requests in line, permits idle and in use."""

from dataclasses import dataclass
from dataclasses import field

from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import Wanted

FIRST_WAIT_MS = 0.5
PRESSURE_LASTS_MS = 20.0


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request in line."""

    wanted: Wanted
    since: float


@dataclass(frozen=True, slots=True)
class AskSent:
    """An ask that has not been answered."""

    asked_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class Idle:
    """A permit that no request uses."""

    held: Held
    since: float


@dataclass(frozen=True, slots=True)
class Busy:
    """A permit that a request uses."""

    held: Held
    ends_at: float
    is_floor: bool


@dataclass(slots=True)
class Pool:
    """What is held and asked for in one pool."""

    view: PoolView
    idle: list[Idle] = field(default_factory=list)
    asks: dict[int, AskSent] = field(default_factory=dict)
    renewals: dict[int, float] = field(default_factory=dict)
    pressed_until: float = float("-inf")
    queue_since: float = float("inf")
    renewed_at: float = float("-inf")
    registered: bool = False
    wait_ms: float = FIRST_WAIT_MS

    def pressed(self, now: float) -> bool:
        """Whether others wait for permits of this pool."""
        return now < self.pressed_until

    def press(self, queued_ms: float, now: float) -> None:
        """Note that others wait, the first of them for a while already."""
        self.pressed_until = now + PRESSURE_LASTS_MS
        self.queue_since = now - queued_ms
