"""What operators can set, with its bounds and defaults.

The classes are frozen; pydantic checks a document against them and reports
every mistake at once.
"""

from typing import Annotated
from typing import Literal

from pydantic import ConfigDict
from pydantic import Field
from pydantic.dataclasses import dataclass

CONFIG = ConfigDict(extra="forbid", strict=False)

Millis = Annotated[float, Field(gt=0, le=86_400_000)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
PathPrefix = Annotated[str, Field(pattern=r"^/[A-Za-z0-9._~/-]*$")]


@dataclass(frozen=True, config=CONFIG)
class ServiceSettings:
    """One service and what its requests may ask for.

    Attributes:
        paths: path prefixes whose requests belong to the service.
        slots: requests that one warm upstream runs side by side.
        deadline_ms: given to a request that names none.
        deadline_most_ms: the longest that a request may name; also how long
            a new grantor waits for a lost entry host before it uses cold
            upstreams.
        queue_most: requests that may wait at one entry host.
        idempotency_key: whether requests that are not idempotent must carry
            an Idempotency-Key.
        body_most_bytes: the largest request body.
    """

    paths: Annotated[tuple[PathPrefix, ...], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1, le=1024)] = 4
    deadline_ms: Millis = 5_000.0
    deadline_most_ms: Millis = 15_000.0
    queue_most: Count = 256
    idempotency_key: Literal["required", "optional"] = "required"
    body_most_bytes: Annotated[int, Field(ge=0, le=1 << 34)] = 64 << 20


@dataclass(frozen=True, config=CONFIG)
class ZoneSettings:
    """One availability zone.

    Attributes:
        state: "out" keeps every new request away from it.
        distance_ms: one-way travel to other availability zones.
    """

    state: Literal["in", "out"] = "in"
    distance_ms: Annotated[float, Field(ge=0, le=1000)] = 1.0


@dataclass(frozen=True, config=CONFIG)
class PermitSettings:
    """How entry hosts share the slots of an upstream.

    Attributes:
        sharing: the registered way of sharing.
        lifetime_ms: how long an unused permit lasts without renewal.
        margin_ms: what a grantor adds to it before it counts one as lost.
        spill_ms: waiting for a near permit before a far one is asked for too.
    """

    sharing: Literal[
        "permits", "round_robin", "least_in_flight", "two_random", "fixed"
    ] = "permits"
    lifetime_ms: Millis = 1_000.0
    margin_ms: Millis = 200.0
    spill_ms: Annotated[float, Field(ge=0, le=1000)] = 2.0


@dataclass(frozen=True, config=CONFIG)
class ColdStartSettings:
    """How an upstream is warmed.

    Attributes:
        first_limit: requests in flight, over all entry hosts, at the start.
        work_per_step: good completions before the limit rises by one.
        slow_factor: a completion slower than this many times the usual one
            does not count towards warming.
        turn_factor: an upstream whose recent completions are this many times
            slower than usual is cold again.
        retry_ms: pause after a refused connection, doubled up to retry_most.
        retry_most_ms: the longest such pause.
    """

    first_limit: Count = 1
    work_per_step: Count = 20
    slow_factor: Annotated[float, Field(ge=1, le=1000)] = 6.0
    turn_factor: Annotated[float, Field(ge=2, le=1000)] = 12.0
    retry_ms: Millis = 250.0
    retry_most_ms: Millis = 4_000.0


@dataclass(frozen=True, config=CONFIG)
class MeasuringSettings:
    """The agreed budget for asking upstreams about their load, per site.

    Attributes:
        calls_per_s: calls in any one second, all entry hosts together.
        bytes_per_s: bytes both ways in any one second, all together.
        call_bytes_most: the most that one call may take.
        timeout_ms: how long one call may take.
    """

    calls_per_s: Annotated[int, Field(ge=0, le=100_000)] = 40
    bytes_per_s: Annotated[int, Field(ge=0, le=1 << 30)] = 40_960
    call_bytes_most: Annotated[int, Field(ge=256, le=65_536)] = 1_024
    timeout_ms: Millis = 200.0


@dataclass(frozen=True, config=CONFIG)
class RetrySettings:
    """Sending a request again.

    Attributes:
        budget: retries as a share of requests.
        burst: retries that may be saved up.
        attempts_most: how often one request may be sent in all.
    """

    budget: Fraction = 0.05
    burst: Count = 10
    attempts_most: Annotated[int, Field(ge=1, le=10)] = 3


@dataclass(frozen=True, config=CONFIG)
class OnceSettings:
    """Running requests that are not idempotent at most once.

    Attributes:
        claim_ms: how long after it was asked for a claim may be acted on.
        keep_ms: how long an outcome is remembered.
        answer_most_bytes: the largest answer that is kept for a resend.
        group_ms: how long claims are gathered into one write.
    """

    claim_ms: Millis = 2_000.0
    keep_ms: Millis = 86_400_000.0
    answer_most_bytes: Annotated[int, Field(ge=0, le=524_288)] = 65_536
    group_ms: Annotated[float, Field(ge=0, le=1000)] = 2.0


@dataclass(frozen=True, config=CONFIG)
class AddressSettings:
    """The answer to a client that asks which address to use.

    Attributes:
        lifetime_ms: how long a client may keep the answer.
    """

    lifetime_ms: Millis = 5_000.0


@dataclass(frozen=True, config=CONFIG)
class MembershipSettings:
    """How entry hosts notice each other.

    Attributes:
        heartbeat_ms: between two heartbeats.
        suspect_ms: silence after which a host is taken for gone.
        lease_ms: lifetime of an entry host's lease in the store.
        list_poll_ms: between two readings of the host list.
    """

    heartbeat_ms: Millis = 250.0
    suspect_ms: Millis = 1_000.0
    lease_ms: Millis = 3_000.0
    list_poll_ms: Millis = 500.0


@dataclass(frozen=True, config=CONFIG)
class Settings:
    """A whole site."""

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


@dataclass(frozen=True, config=CONFIG)
class HostSettings:
    """What one entry host is told when it starts.

    Attributes:
        name: unique among entry hosts; a replacement takes a new one.
        address: ``ip:port`` for clients.
        peer_address: ``ip:port`` for other entry hosts.
        admin_address: ``ip:port`` of the administration API.
        store: base URL of the platform's store.
        host_list: URL of the platform's host list.
        prefix: of every key in the store.
        record_file: where decision lines go; "-" is standard output.
        record_most: decision lines that may wait to be written.
        trace_file: where replayable events go; empty for none.
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
