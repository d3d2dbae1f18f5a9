"""Records of a soak run, all made from outside the entry hosts."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Execution:
    """A request that an upstream began to execute.

    Attributes:
        request_id: Id that the request carried.
        upstream: Instance id of the upstream.
        service: Service of the upstream.
        target: Request target as the upstream received it.
        body: Complete response body that the upstream produced.
        started_at_s: Seconds on the monotonic clock, like all times here.
    """

    request_id: str
    upstream: str
    service: str
    target: str
    body: bytes
    started_at_s: float


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that a client sent to an entry host, and its response.

    Attributes:
        request_id: Id that the request carried.
        host: Name of the entry host.
        method: Request method.
        target: Request target as the client sent it.
        sent_at_s: When the client sent the request.
        ended_at_s: When the response was complete or the client gave up.
        status: Status of the response; 0 when the exchange ended without a
            complete response.
        headers: Headers of the response, names in lower case.
        body: Body of the response.
        connected: Whether the client had a connection to send on.
    """

    request_id: str
    host: str
    method: str
    target: str
    sent_at_s: float
    ended_at_s: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connected: bool = True


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault or a planned operation, with the time that it lasted.

    Attributes:
        name: Name of the fault, as it is registered.
        host: Name of the affected host; empty for every host.
        is_planned: Whether this is a planned operation, around which hosts
            guarantee more than around a fault.
        began_at_s: When the disturbance began.
        ended_at_s: When it was over; infinite while it lasts.
    """

    name: str
    host: str
    is_planned: bool
    began_at_s: float
    ended_at_s: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A rate limit that an upstream named, with the time that it lasted.

    Attributes:
        upstream: Instance id of the upstream.
        per_s: Requests per second that it takes from all hosts together.
        began_at_s: When the upstream began to name it.
        ended_at_s: When it named it last.
    """

    upstream: str
    per_s: float
    began_at_s: float
    ended_at_s: float


@dataclass(slots=True)
class RunHistory:
    """Everything that was observed during one run.

    Attributes:
        executions: Requests that upstreams began to execute.
        requests: Requests that clients sent.
        disturbances: Faults and planned operations, in order of their start.
        limits: Rate limits that upstreams named.
        failures: Violations that were found while the run went on.
    """

    executions: list[Execution] = field(default_factory=list)
    requests: list[ClientRequest] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
