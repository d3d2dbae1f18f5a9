"""The settings that operators can change, with bounds and defaults.

The classes are frozen dataclasses. Pydantic validates a document against them
and reports all problems together. Class and field names are the tables and
keys of the settings file.
"""

from typing import Annotated
from typing import Literal

from pydantic import ConfigDict
from pydantic import Field
from pydantic.dataclasses import dataclass

from wigeongw.core.site import DEFAULT_DESCRIPTORS
from wigeongw.core.site import DEFAULT_MEMORY_BYTES

MODEL_CONFIG = ConfigDict(extra="forbid", strict=False)

Milliseconds = Annotated[float, Field(gt=0, le=86_400_000)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
PathPrefix = Annotated[str, Field(pattern=r"^/[A-Za-z0-9._~/-]*$")]


@dataclass(frozen=True, config=MODEL_CONFIG)
class ServiceSettings:
    """One service and the limits of its requests.

    Attributes:
        paths: path prefixes whose requests belong to the service.
        slots: concurrent requests per warm upstream.
        deadline_ms: deadline of a request that does not set one.
        deadline_most_ms: the longest deadline that a request may set. A new
            grantor waits as long for an entry host that does not respond
            before it uses cold upstreams, because requests of that host may
            be in flight until then.
        queue_most: the longest queue of requests per entry host.
        idempotency_key: whether a request that is not idempotent must carry
            an Idempotency-Key header.
        body_most_bytes: the largest request body, in bytes.
    """

    paths: Annotated[tuple[PathPrefix, ...], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1, le=1024)] = 4
    deadline_ms: Milliseconds = 5_000.0
    deadline_most_ms: Milliseconds = 15_000.0
    queue_most: Count = 256
    idempotency_key: Literal["required", "optional"] = "required"
    body_most_bytes: Annotated[int, Field(ge=0, le=1 << 34)] = 64 << 20


@dataclass(frozen=True, config=MODEL_CONFIG)
class ZoneSettings:
    """One availability zone.

    Attributes:
        state: with "out", no new request is sent to the zone.
        distance_ms: one-way network latency to other availability zones.
    """

    state: Literal["in", "out"] = "in"
    distance_ms: Annotated[float, Field(ge=0, le=1000)] = 1.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class PermitSettings:
    """How entry hosts share the slots of an upstream.

    A permit allows one entry host to have one request in flight at an
    upstream. The grantor is the entry host that issues the permits of a pool.

    Attributes:
        sharing: name of the registered sharing strategy.
        lifetime_ms: time to live of an unused permit that is not renewed.
        margin_ms: grace period that a grantor adds to lifetime_ms before it
            treats a permit as lost.
        spill_ms: how long a request waits for a permit of the nearest pool
            before a farther pool is asked as well; the difference between
            the round-trip times of the two pools is added.
    """

    sharing: Literal[
        "permits", "round_robin", "least_in_flight", "two_random", "fixed"
    ] = "permits"
    lifetime_ms: Milliseconds = 1_000.0
    margin_ms: Milliseconds = 200.0
    spill_ms: Annotated[float, Field(ge=0, le=1000)] = 2.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class ColdStartSettings:
    """Warm-up (slow start) of an upstream.

    Attributes:
        first_limit: initial limit of requests in flight, over all entry
            hosts.
        work_per_step: successful completions per increase of the limit by
            one.
        slow_factor: a completion that takes more than this many times the
            usual time does not count towards the warm-up.
        turn_factor: an upstream is cold again when its recent completions
            take more than this many times the usual time.
        retry_ms: initial backoff after a refused connection or a request
            that the upstream rejected; doubles up to retry_most_ms.
        retry_most_ms: the longest backoff.
    """

    first_limit: Count = 1
    work_per_step: Count = 20
    slow_factor: Annotated[float, Field(ge=1, le=1000)] = 6.0
    turn_factor: Annotated[float, Field(ge=2, le=1000)] = 12.0
    retry_ms: Milliseconds = 250.0
    retry_most_ms: Milliseconds = 4_000.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class MeasuringSettings:
    """The agreed budget per site for requesting load reports of upstreams.

    Attributes:
        calls_per_s: calls in any one second, over all entry hosts.
        bytes_per_s: bytes in any one second, in both directions and over all
            entry hosts.
        call_bytes_most: the most bytes that one call may transfer.
        timeout_ms: timeout of one call.
    """

    calls_per_s: Annotated[int, Field(ge=0, le=100_000)] = 40
    bytes_per_s: Annotated[int, Field(ge=0, le=1 << 30)] = 40_960
    call_bytes_most: Annotated[int, Field(ge=256, le=65_536)] = 1_024
    timeout_ms: Milliseconds = 200.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class RetrySettings:
    """Retries of a request.

    Attributes:
        budget: retries allowed per request, as a fraction; refills the token
            bucket.
        burst: capacity of the token bucket, in retries.
        attempts_most: total attempts per request, the first one included.
    """

    budget: Fraction = 0.05
    burst: Count = 10
    attempts_most: Annotated[int, Field(ge=1, le=10)] = 3


@dataclass(frozen=True, config=MODEL_CONFIG)
class OnceSettings:
    """At-most-once execution of requests that are not idempotent.

    Attributes:
        claim_ms: how long after it was requested a claim on an idempotency
            key allows the request to be dispatched.
        keep_ms: how long an outcome is kept.
        answer_most_bytes: the largest response that is kept for a repeated
            request, in bytes.
        group_ms: how long claims are collected into one write to the store.
    """

    claim_ms: Milliseconds = 2_000.0
    keep_ms: Milliseconds = 86_400_000.0
    answer_most_bytes: Annotated[int, Field(ge=0, le=524_288)] = 65_536
    group_ms: Annotated[float, Field(ge=0, le=1000)] = 2.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class AddressSettings:
    """Responses to clients that ask which entry host to connect to.

    Attributes:
        lifetime_ms: time to live of the response at the client.
    """

    lifetime_ms: Milliseconds = 5_000.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class MembershipSettings:
    """Failure detection among entry hosts.

    Attributes:
        heartbeat_ms: interval of heartbeats.
        suspect_ms: an entry host without a heartbeat for this long is
            treated as failed.
        lease_ms: time to live of an entry host's lease in the store.
        list_poll_ms: interval at which the host list is polled.
    """

    heartbeat_ms: Milliseconds = 250.0
    suspect_ms: Milliseconds = 1_000.0
    lease_ms: Milliseconds = 3_000.0
    list_poll_ms: Milliseconds = 500.0


@dataclass(frozen=True, config=MODEL_CONFIG)
class Settings:
    """All settings of a site."""

    site: Name
    availability_zones: Annotated[
        dict[Name, ZoneSettings], Field(min_length=1)
    ]
    services: Annotated[dict[Name, ServiceSettings], Field(min_length=1)]
    permits: PermitSettings = Field(default_factory=PermitSettings)
    cold_start: ColdStartSettings = Field(default_factory=ColdStartSettings)
    measuring: MeasuringSettings = Field(default_factory=MeasuringSettings)
    retries: RetrySettings = Field(default_factory=RetrySettings)
    once: OnceSettings = Field(default_factory=OnceSettings)
    addresses: AddressSettings = Field(default_factory=AddressSettings)
    membership: MembershipSettings = Field(default_factory=MembershipSettings)


@dataclass(frozen=True, config=MODEL_CONFIG)
class HostSettings:
    """Startup settings of one entry host.

    Attributes:
        name: unique among entry hosts; a replacement needs a new name.
        address: ``ip:port`` for clients.
        peer_address: ``ip:port`` for other entry hosts.
        admin_address: ``ip:port`` of the administration API.
        store: base URL of the platform's store.
        host_list: URL of the platform's host list.
        prefix: prefix of every key in the store.
        record_file: file for the decision log; "-" is standard output.
        record_most: the longest queue of unwritten decision log lines.
        trace_file: file for the replayable trace; empty for none.
        memory_most_bytes: memory that the process may use; what it holds for
            clients and upstreams is divided by it.
        descriptors_most: file descriptors that the process may have.
    """

    name: Name
    availability_zone: Name
    address: Address
    peer_address: Address
    store: Annotated[str, Field(pattern=r"^http://")]
    host_list: Annotated[str, Field(pattern=r"^http://")]
    admin_address: Address = "127.0.0.1:0"
    prefix: Annotated[str, Field(pattern=r"^[a-z0-9/-]+/$")] = "wigeongw/"
    record_file: str = "-"
    record_most: Count = 10_000
    trace_file: str = ""
    memory_most_bytes: Annotated[int, Field(ge=64 << 20, le=1 << 40)] = (
        DEFAULT_MEMORY_BYTES
    )
    descriptors_most: Annotated[int, Field(ge=256, le=1 << 20)] = (
        DEFAULT_DESCRIPTORS
    )
