"""Records of hosts, upstreams and outcomes."""

from dataclasses import dataclass
import enum


class Outcome(enum.Enum):
    """What became of a request at the upstreams."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class HostState(enum.Enum):
    """What the platform's host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EntryHost:
    """One of our own processes.

    Attributes:
        address: ``ip:port`` where clients connect.
        peer_address: ``ip:port`` where other entry hosts connect.
    """

    name: str
    address: str
    peer_address: str
    availability_zone: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class Upstream:
    """A server that runs requests of one service.

    Attributes:
        address: ``ip:port`` of its HTTP listener.
    """

    name: str
    address: str
    service: str
    availability_zone: str
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True)
class HostListing:
    """One reading of the platform's host list."""

    entry_hosts: tuple[EntryHost, ...] = ()
    upstreams: tuple[Upstream, ...] = ()


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted change of settings.

    Attributes:
        number: counts up from 1 without gaps.
        text: the merged settings as TOML.
        at_ms: when it was accepted, wall clock in milliseconds.
        before: digest of the revision before, empty for the first.
        digest: digest over all other fields.
    """

    number: int
    text: str
    who: str
    why: str
    at_ms: float
    before: str
    digest: str
