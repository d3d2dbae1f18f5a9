"""What the soak saw, from outside the hosts."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an upstream began to work on.

    Attributes:
        body: the whole answer that it made.
        service: of the upstream.
        at: seconds on the steady clock, as all times here.
    """

    identity: str
    upstream: str
    service: str
    target: str
    body: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Asked:
    """A caller's attempt and what came of it.

    Attributes:
        status: 0 when the connection ended without a whole answer.
        fields: headers of the answer, names in lower case.
        connected: whether there was a connection to send it on.
    """

    identity: str
    host: str
    method: str
    target: str
    sent: float
    ended: float
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connected: bool = True


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault or piece of planned work, from its first to its last moment.

    Attributes:
        what: as in the schedule, with where it struck.
        planned: hosts promise more around planned work.
    """

    what: str
    host: str
    planned: bool
    began: float
    ended: float


@dataclass(slots=True)
class Seen:
    """Everything of one play."""

    runs: list[Run] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    mistakes: list[str] = field(default_factory=list)
