"""Records of a site: routes, services, upstreams, hosts and site-wide limits.

All times are in milliseconds.
"""

from dataclasses import dataclass
from dataclasses import field
import enum


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated, wholly or in part."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class Share:
    """One service in the weighted split of a route.

    Attributes:
        weight: relative to the sum over all services of the split; not
            negative.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host name and path prefix.

    Attributes:
        host: the host name in lower case.
        prefix: path prefix; begins and ends with a slash.
        shares: the services that receive the requests; at least one.
        timeout_ms: the longest time that a client waits for a response.
        objective_ms: latency objective; a response within it is on time.
        attempts: the maximum number of upstreams that one request is sent
            to.
        priority: 0 is the highest priority.
        is_public: whether requests need no key of a client account.
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
    is_public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    Attributes:
        connections_most: the maximum number of connections that one upstream
            accepts from all hosts together.
        cold_ms: duration of the warm-up of an upstream after its start.
        cold_per_s: requests per second that an upstream can serve during its
            warm-up.
    """

    name: str
    health_path: str
    connections_most: int
    cold_ms: float
    cold_per_s: float


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of client requests.

    Attributes:
        head_bytes: the maximum size of request line and headers.
        body_bytes: the maximum size of a request body.
        head_ms: the timeout for receiving request line and headers.
        idle_ms: the timeout of an idle keep-alive connection.
    """

    head_bytes: int = 65_536
    body_bytes: int = 64 << 20
    head_ms: float = 10_000.0
    idle_ms: float = 75_000.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """An account whose keys clients send.

    Attributes:
        key_digests: digests of its keys, in hexadecimal digits.
        priority: goes before that of the route; 0 is the highest.
        per_s: quota over all hosts in requests per second; 0 for none.
        burst: requests beyond that rate.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int = 0
    per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of the configuration that operators publish.

    Attributes:
        revision: revision number; never decreases.
        accounts: the client accounts; without any, no request needs a key.
    """

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    accounts: tuple[ClientAccount, ...] = ()


@dataclass(frozen=True, slots=True)
class Target:
    """An upstream, as it registered itself in the store.

    Attributes:
        identity: identifies one start of the upstream process.
        address: ``ip:port`` that accepts requests.
        slots: the number of requests that it runs concurrently.
        draining: whether it asked to receive no further requests.
        cold_left_ms: remaining warm-up time at registration.
        born_ms: wall clock time of its start; 0 when not reported.
        version: version of its software; empty when not reported.
    """

    identity: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool = False
    cold_left_ms: float = 0.0
    born_ms: float = 0.0
    version: str = ""


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to another version.

    Attributes:
        version: version of the upstreams that take the service over.
        duration_ms: time in which that is to be complete.
    """

    service: str
    version: str
    duration_ms: float


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """How far an order has come, as its manager wrote it to the store.

    Attributes:
        version: version of the order.
        phase: number of the phase; phases only rise.
        ordered_at_ms: wall clock time at which the first manager saw it.
    """

    service: str
    version: str
    phase: int
    ordered_at_ms: float


@dataclass(frozen=True, slots=True)
class Host:
    """An entry host, as it registered itself in the store.

    Attributes:
        address: ``ip:port`` that accepts client connections.
        peer: ``ip:port`` for other hosts, over TCP and UDP; may be empty.
        lease: number of the lease that keeps the entry in the store; 0 when
            not known.
    """

    name: str
    address: str
    availability_zone: str
    peer: str = ""
    lease: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load that an upstream reported in a probe or in a response.

    Attributes:
        at_ms: when the sample was received, monotonic clock.
        running: requests that the upstream is running.
        waiting: requests in the queue of the upstream.
        slots: the number of requests that the upstream runs concurrently.
        slowdown: current service time relative to the normal one; 1 is
            normal.
        cold_left_ms: remaining warm-up time; None when not reported, as in
            responses to requests.
        healthy: whether the upstream reports itself healthy.
    """

    at_ms: float
    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    cold_left_ms: float | None = None
    healthy: bool = True


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What an upstream said about the request rate that it accepts.

    Attributes:
        per_s: requests per second that it takes from all hosts together; None
            when it named no limit.
        at_ms: when the response was received, monotonic clock.
    """

    per_s: float | None
    at_ms: float


@dataclass(frozen=True, slots=True)
class SiteLimits:
    """Limits for a whole site, each of them summed over all hosts.

    Attributes:
        grace_ms: time from SIGTERM to SIGKILL.
        retry_ratio: retries and hedged requests allowed per client request.
        retry_slack: retries and hedged requests allowed per window in
            addition to that ratio.
        retry_window_ms: length of the window in which both are counted.
        cold_rate_factor: factor on the rate that a cold upstream can serve.
        cold_rate_slack: requests per second allowed in addition to that rate.
        probes_per_s: probes per second that one upstream may receive.
        max_lookup_ttl_ms: maximum time to live of an address lookup response.
    """

    grace_ms: float = 6_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: float = 10_000.0
    cold_rate_factor: float = 1.5
    cold_rate_slack: float = 5.0
    probes_per_s: float = 60.0
    max_lookup_ttl_ms: float = 5_000.0


# Used when the platform names no limits.
DEFAULT_MEMORY_BYTES = 300 << 20
DEFAULT_DESCRIPTORS = 8192


@dataclass(frozen=True, slots=True)
class HostConfig:
    """Name, availability zone, listening addresses and limits of a host.

    Attributes:
        front: ``ip:port`` for client requests.
        readiness: ``ip:port`` for the readiness checks of the platform.
        directory: ``ip:port`` for address lookups of clients.
        peer: ``ip:port`` for other hosts; empty for none.
        metrics_port: port for counters and histograms; 0 for none.
        contact: ``ip:port`` that serves the site state to hosts that start
            while the store is unreachable; empty for none.
        seeds: contact addresses of a few other hosts, some of which may be
            down.
        bounds: limits of the site.
        memory_bytes: memory above which the host is killed.
        descriptors: file descriptors that the host may have.
        zones: names of all availability zones, as far as they are known.
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
    bounds: SiteLimits = field(default_factory=SiteLimits)
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS
    zones: tuple[str, ...] = ()
