"""Records of entry hosts, upstreams, request outcomes and settings."""

from dataclasses import dataclass
import enum


class Outcome(enum.Enum):
    """Whether a request ran at an upstream, as far as is known."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class HostState(enum.Enum):
    """State of a host or upstream in the host list of the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EntryHost:
    """A host that runs this gateway.

    Attributes:
        address: ``ip:port`` that accepts client connections.
        peer_address: ``ip:port`` that accepts connections of other entry
            hosts.
    """

    name: str
    address: str
    peer_address: str
    availability_zone: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class Upstream:
    """A server that runs the requests of one service.

    Attributes:
        address: ``ip:port`` of the HTTP listener.
    """

    name: str
    address: str
    service: str
    availability_zone: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class HostListing:
    """Snapshot of the host list of the platform."""

    entry_hosts: tuple[EntryHost, ...] = ()
    upstreams: tuple[Upstream, ...] = ()


@dataclass(frozen=True, slots=True)
class Revision:
    """An accepted revision of the settings.

    Attributes:
        number: consecutive, starting at 1.
        text: the merged settings as TOML.
        who: the author of the change.
        why: the reason that the author gave.
        at_ms: time of acceptance, wall clock in milliseconds.
        before: digest of the previous revision; empty for the first.
        digest: digest over all other fields.
    """

    number: int
    text: str
    who: str
    why: str
    at_ms: float
    before: str
    digest: str
