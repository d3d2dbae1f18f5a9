"""What holders and grantors of permits say to each other.

A permit is the right to one request in flight on one upstream. Holders are
entry hosts with requests to send; a grantor shares out the permits of one
pool.
"""

from dataclasses import dataclass
import enum


class Verdict(enum.IntEnum):
    """What a holder saw when it gave a permit back."""

    UNUSED = 0
    GOOD = 1
    FAILED = 2
    SHED = 3
    UNREACHABLE = 4
    RESTARTED = 5


@dataclass(frozen=True, slots=True)
class Ask:
    """Asks for one permit of a pool.

    Attributes:
        number: the holder's own, unique for its lifetime.
        ends_in_ms: when the request would be over at the latest.
        avoid: upstreams that the request has tried already.
        replaces: an earlier ask whose turn this one takes; 0 for none.
    """

    pool: str
    number: int
    ends_in_ms: float
    avoid: tuple[str, ...] = ()
    replaces: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Takes an ask back."""

    pool: str
    number: int


@dataclass(frozen=True, slots=True)
class Return:
    """Gives a permit back with what was seen.

    Attributes:
        served_ms: time to the end of the answer; 0 when none came.
        start: the upstream's start identity, empty when not known.
    """

    pool: str
    permit: int
    upstream: str
    verdict: Verdict = Verdict.UNUSED
    served_ms: float = 0.0
    start: str = ""


@dataclass(frozen=True, slots=True)
class Renew:
    """Asks to keep permits for another lifetime."""

    pool: str
    serial: int
    permits: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit with a request in flight, told to a new grantor."""

    permit: int
    upstream: str
    ends_in_ms: float


@dataclass(frozen=True, slots=True)
class Register:
    """Tells a new grantor all that this holder has in flight."""

    pool: str
    permits: tuple[HeldPermit, ...]


@dataclass(frozen=True, slots=True)
class Grant:
    """Hands out one permit in answer to an ask.

    Attributes:
        cold: whether the upstream is in its cold start.
        pressed: whether other asks still queue.
        queued_ms: how long the first of those has queued.
    """

    pool: str
    number: int
    permit: int
    upstream: str
    cold: bool = False
    pressed: bool = False
    queued_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Pressure:
    """Says that asks are queueing: idle permits are wanted back.

    Attributes:
        queued_ms: how long the first ask in the queue has waited.
    """

    pool: str
    queued_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Revoke:
    """Says that idle permits for an upstream are void."""

    pool: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """Confirms which permits last for another lifetime."""

    pool: str
    serial: int
    permits: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Registered:
    """Confirms a register."""

    pool: str


HolderMessage = Ask | Cancel | Return | Renew | Register
GrantorMessage = Grant | Pressure | Revoke | Renewed | Registered


@dataclass(frozen=True, slots=True)
class ToHolder:
    """A grantor's message and the entry host it is for."""

    host: str
    message: GrantorMessage


@dataclass(frozen=True, slots=True)
class ToGrantor:
    """A holder's message and the entry host it is for."""

    host: str
    message: HolderMessage
