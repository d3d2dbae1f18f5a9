"""Records of a site: routes, services, upstreams, hosts and its bounds.

Times are in milliseconds throughout.
"""

from dataclasses import dataclass
from dataclasses import field
import enum


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class Share:
    """One part of a weighted split.

    Attributes:
        weight: relative to the sum over all parts; not negative.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host name and path prefix go.

    Attributes:
        host: the host name in lower case.
        prefix: begins and ends with a slash.
        shares: the services that share its requests; one at least.
        timeout_ms: the longest that a client is kept waiting.
        objective_ms: within it an answer is on time.
        attempts: upstreams that one request may be sent to.
        priority: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_ms: float
    objective_ms: float
    attempts: int
    priority: int

    @property
    def idempotent(self) -> bool:
        """Whether its requests may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    Attributes:
        connections_most: that one upstream takes from all hosts together.
        cold_ms: how long an upstream stays cold after its start.
        cold_per_s: requests a second that a cold upstream bears.
    """

    name: str
    health_path: str
    connections_most: int
    cold_ms: float
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What clients may send, and how long they may take."""

    head_bytes: int = 65_536
    body_bytes: int = 64 << 20
    head_ms: float = 10_000.0
    idle_ms: float = 75_000.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of what the operators set.

    Attributes:
        revision: only ever rises.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits


@dataclass(frozen=True, slots=True)
class Target:
    """An upstream as it registered itself.

    Attributes:
        identity: of this start of the upstream.
        address: ``ip:port``.
        draining: it asked for no further requests.
        cold_left_ms: how much longer it was cold when it registered.
        born_ms: wall clock of its start; 0 when it did not say.
    """

    identity: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool = False
    cold_left_ms: float = 0.0
    born_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host as it registered itself.

    Attributes:
        address: ``ip:port`` where clients connect.
        peer: ``ip:port`` for other hosts, over TCP and UDP; may be empty.
    """

    name: str
    address: str
    availability_zone: str
    peer: str = ""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """What an upstream said of its load in a probe or an answer.

    Attributes:
        at_ms: when it was heard.
        slowdown: how long work takes there now; 1 is usual.
        cold_left_ms: how much longer it stays cold; None when it does not
            say, as in answers to requests.
        healthy: whether it considers itself fit.
    """

    at_ms: float
    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    cold_left_ms: float | None = None
    healthy: bool = True


@dataclass(frozen=True, slots=True)
class Bounds:
    """What was agreed for a site, over all hosts together.

    Attributes:
        grace_ms: from SIGTERM to the kill.
        retry_ratio: further sends as a share of requests.
        retry_slack: further sends in a window beyond that share.
        retry_window_ms: the window over which both are counted.
        cold_over: factor on what a cold upstream bears a second.
        cold_slack: requests a second beyond that.
        probes_per_s: probes of one upstream a second.
        answer_ms: the longest that clients keep an address answer.
    """

    grace_ms: float = 6_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: float = 10_000.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    probes_per_s: float = 60.0
    answer_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Who a host is and where it listens.

    Attributes:
        front: ``ip:port`` for requests of clients.
        readiness: ``ip:port`` for the platform's checks.
        directory: ``ip:port`` for clients that ask for addresses.
        peer: ``ip:port`` for other hosts; empty for none.
        metrics_port: for counters and histograms; 0 for none.
        contact: ``ip:port`` that hosts ask which start while the store is
            away; empty for none.
        seeds: contacts of a few hosts, which may be down.
    """

    name: str
    availability_zone: str
    front: str
    readiness: str
    directory: str
    peer: str = ""
    metrics_port: int = 0
    contact: str = ""
    seeds: tuple[str, ...] = ()
    bounds: Bounds = field(default_factory=Bounds)
