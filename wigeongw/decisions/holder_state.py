"""Records that a holder keeps: waiting requests, asks and permits."""

from dataclasses import dataclass
from dataclasses import field

from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import Wanted

INITIAL_GRANT_WAIT_MS = 0.5
PRESSURE_TTL_MS = 20.0


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a permit.

    Attributes:
        queued_at: when the request arrived, monotonic milliseconds.
    """

    wanted: Wanted
    queued_at: float


@dataclass(frozen=True, slots=True)
class PendingAsk:
    """An ask that the grantor has not answered; times are monotonic ms.

    Attributes:
        sent_at: when the ask was sent.
        ends_at: latest end of the request that the ask was sent for.
    """

    sent_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class IdlePermit:
    """A permit that no request uses.

    Attributes:
        idle_since: when the permit was last used, or granted, monotonic
            milliseconds.
    """

    held: Held
    idle_since: float


@dataclass(frozen=True, slots=True)
class BusyPermit:
    """A permit that a request uses.

    Attributes:
        ends_at: deadline of the request, monotonic milliseconds.
        is_floor: whether the permit was self-issued for a floor upstream
            while the pool's grantor was unreachable.
    """

    held: Held
    ends_at: float
    is_floor: bool


@dataclass(slots=True)
class PoolState:
    """What a holder keeps for one pool; times are monotonic milliseconds.

    Attributes:
        asks: asks without an answer, by number.
        renewals: when each renewal without an answer was sent, by serial.
        pressure_until: asks are assumed to be queued at the grantor until
            then.
        oldest_ask_queued_at: when the oldest ask at the grantor was queued,
            as last announced.
        last_maintenance_at: when permits were last renewed and cleaned up.
        registered: whether the grantor confirmed the requests in flight.
        grant_wait_ms: moving average of the time from an ask to its grant.
    """

    view: PoolView
    idle: list[IdlePermit] = field(default_factory=list)
    asks: dict[int, PendingAsk] = field(default_factory=dict)
    renewals: dict[int, float] = field(default_factory=dict)
    pressure_until: float = float("-inf")
    oldest_ask_queued_at: float = float("inf")
    last_maintenance_at: float = float("-inf")
    registered: bool = False
    grant_wait_ms: float = INITIAL_GRANT_WAIT_MS

    def is_under_pressure(self, now: float) -> bool:
        """Return whether asks are assumed to be queued at the grantor."""
        return now < self.pressure_until

    def note_pressure(self, queued_ms: float, now: float) -> None:
        """Record that asks are queued at the grantor.

        Args:
            queued_ms: how long the oldest of these asks has waited.
            now: monotonic milliseconds.
        """
        self.pressure_until = now + PRESSURE_TTL_MS
        self.oldest_ask_queued_at = now - queued_ms

    @property
    def can_ask(self) -> bool:
        """Whether the pool has a grantor and an upstream in service."""
        return self.view.grantor is not None and self.has_upstream()

    def has_upstream(self, avoid: tuple[str, ...] = ()) -> bool:
        """Return whether the pool has an upstream in service besides some."""
        names = self.view.upstreams
        return self.view.is_open and any(n not in avoid for n in names)

    def to_grantor(self, message: HolderMessage) -> ToGrantor:
        """Address a message to the pool's grantor."""
        return ToGrantor(self.view.grantor or "", message)

    def return_unused(self, held: Held) -> ToGrantor:
        """Return a permit that no request has used."""
        return self.to_grantor(Return(held.pool, held.number, held.upstream))

    def return_idle(self, upstream: str | None = None) -> list[ToGrantor]:
        """Return the idle permits, of one upstream or of all."""
        returned = [
            idle
            for idle in self.idle
            if upstream in (None, idle.held.upstream)
        ]
        self.idle = [
            idle
            for idle in self.idle
            if upstream not in (None, idle.held.upstream)
        ]
        return [self.return_unused(idle.held) for idle in returned]

    def forget_grantor(self) -> None:
        """Drop idle permits, asks and renewals after a change of grantor."""
        self.idle.clear()
        self.asks.clear()
        self.renewals.clear()
        self.registered = False
