"""Messages between permit holders and grantors.

A permit allows one request in flight on one upstream. Holders are entry hosts
that have requests to send; a grantor is the entry host that issues the permits
of one pool. A pool is the upstreams of one service in one availability zone.
"""

from dataclasses import dataclass
import enum

# Age at which a response no longer shows that a rate limit has ended.
MAX_END_AGE_MS = 200.0


class Verdict(enum.IntEnum):
    """Result of the request that used a permit, as the holder reports it.

    Attributes:
        UNUSED: no request used the permit, or its result says nothing about
            the upstream's load, as when the upstream is leaving.
        GOOD: the request completed.
        FAILED: the request failed after a connection was opened.
        SHED: the upstream rejected the request without executing it.
        UNREACHABLE: no connection to the upstream could be opened.
        RESTARTED: the upstream restarted and is cold.
    """

    UNUSED = 0
    GOOD = 1
    FAILED = 2
    SHED = 3
    UNREACHABLE = 4
    RESTARTED = 5


@dataclass(frozen=True, slots=True)
class Ask:
    """Requests one permit of a pool.

    Attributes:
        number: chosen by the holder, unique for the holder's lifetime.
        ends_in_ms: time until the request's deadline.
        avoid: upstreams that the request has tried already.
        replaces: number of an earlier ask whose queue position this ask
            takes; 0 for none.
    """

    pool: str
    number: int
    ends_in_ms: float
    avoid: tuple[str, ...] = ()
    replaces: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Withdraws an ask."""

    pool: str
    number: int


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a response said about the request rate of its upstream.

    Attributes:
        per_s: requests per second that the upstream takes from all hosts
            together; None when the response named no limit.
    """

    per_s: float | None

    def after(self, age_ms: float) -> "LimitReport | None":
        """Return what still holds when the response is reported later.

        The end of a long response is reported long after its head was
        received. Its upstream may have named a limit since.

        Args:
            age_ms: milliseconds since the head was received.
        """
        if self.per_s is None and age_ms > MAX_END_AGE_MS:
            return None
        return self


@dataclass(frozen=True, slots=True)
class Return:
    """Returns a permit with the result of its request.

    Attributes:
        permit: number of the permit; 0 reports a result without returning a
            permit.
        served_ms: time to the end of the response; 0 without a response.
        start: the upstream's start identity; empty if unknown.
        limit: what the response said about a rate limit; None without a
            response.
    """

    pool: str
    permit: int
    upstream: str
    verdict: Verdict = Verdict.UNUSED
    served_ms: float = 0.0
    start: str = ""
    limit: LimitReport | None = None


@dataclass(frozen=True, slots=True)
class Renew:
    """Requests another lifetime for permits."""

    pool: str
    serial: int
    permits: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit with a request in flight, as registered with a grantor.

    Attributes:
        ends_in_ms: time until the request's deadline.
    """

    permit: int
    upstream: str
    ends_in_ms: float


@dataclass(frozen=True, slots=True)
class Register:
    """Registers all requests that a holder has in flight with a grantor."""

    pool: str
    permits: tuple[HeldPermit, ...]


@dataclass(frozen=True, slots=True)
class Grant:
    """Issues one permit in response to an ask.

    Attributes:
        number: number of the ask.
        permit: number of the permit.
        cold: whether the upstream is in its cold start.
        pressed: whether other asks are still queued.
        queued_ms: how long the oldest of these asks has waited.
        single_use: whether the permit is for one request only, as the
            upstream limits its request rate.
    """

    pool: str
    number: int
    permit: int
    upstream: str
    cold: bool = False
    pressed: bool = False
    queued_ms: float = 0.0
    single_use: bool = False


@dataclass(frozen=True, slots=True)
class Pressure:
    """Tells holders that asks are queued and to return idle permits.

    Attributes:
        queued_ms: how long the oldest queued ask has waited.
    """

    pool: str
    queued_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Revoke:
    """Revokes the permits of an upstream.

    Idle permits become void. A request in flight may finish, but its permit
    must not be used again.
    """

    pool: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """Lists the permits that were renewed for another lifetime."""

    pool: str
    serial: int
    permits: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Registered:
    """Confirms a Register message."""

    pool: str


HolderMessage = Ask | Cancel | Return | Renew | Register
GrantorMessage = Grant | Pressure | Revoke | Renewed | Registered


@dataclass(frozen=True, slots=True)
class ToHolder:
    """A grantor's message and the entry host that receives it."""

    host: str
    message: GrantorMessage


@dataclass(frozen=True, slots=True)
class ToGrantor:
    """A holder's message and the entry host that receives it."""

    host: str
    message: HolderMessage
