"""Interface to the catalog: the platform's store in decoded form.

The catalog holds the configuration, the upstreams, the hosts and the
availability zones that are out of service.
"""

from dataclasses import dataclass
import math
from typing import Protocol

from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import RolloutOrder
from wigeongw.core.site import RolloutStatus
from wigeongw.core.site import Target

# Era of an answer that names none, or none that can be read.
UNKNOWN_ERA = -1


class CatalogError(WigeongwError):
    """The store failed to respond usably; a write may have taken effect.

    Attributes:
        era: the era that the store's answer named, if it answered.
    """

    def __init__(self, reason: str, era: int = UNKNOWN_ERA) -> None:
        super().__init__(reason)
        self.era = era


class StoreConnectionError(CatalogError):
    """The connection to the store broke, or none could be opened."""


class HistoryLostError(CatalogError):
    """The store has no history from the requested revision on."""


class EraChangedError(CatalogError):
    """The store came back from a copy since the requested revision."""


class LeaseLostError(CatalogError):
    """The lease has expired or was revoked."""


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A revision of the store.

    When the store comes back from a copy, its revisions go back to that of
    the copy and are given out again, so a revision has a meaning only in its
    own era. Positions are ordered by era first.

    Attributes:
        era: how often the store had come back from a copy.
        revision: the store's revision in that era.
    """

    era: int
    revision: int


# The position of a host that has read nothing.
NOTHING_READ = StorePosition(UNKNOWN_ERA, 0)


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store gave to this host.

    In a later era the store may give the same number to another host.

    Attributes:
        number: identifies the lease within its era.
        era: era of the store in which it is known to be this host's.
    """

    number: int
    era: int


@dataclass(frozen=True, slots=True)
class TargetGone:
    """An upstream's entry was removed.

    Attributes:
        identity: identity of the removed upstream's start.
    """

    identity: str


@dataclass(frozen=True, slots=True)
class HostGone:
    """A host's entry was removed or its lease expired."""

    name: str


@dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """Operators took an availability zone out of service."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class ZoneRestored:
    """Operators returned an availability zone to service."""

    availability_zone: str


Change = (
    Configuration
    | Target
    | TargetGone
    | Host
    | HostGone
    | ZoneEvacuated
    | ZoneRestored
    | RolloutOrder
    | RolloutStatus
)


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that a host has read and will apply later.

    Attributes:
        due_in_ms: time until it takes effect.
    """

    change: Change
    due_in_ms: float


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """The changes that one read or watch returned.

    Attributes:
        changes: changes in the order of their revisions.
        position: position from which the next watch continues.
        relayed: whether the changes came from another host, not the store.
        age_ms: milliseconds since the store sent the changes.
        is_full: whether the changes are the whole catalog.
        pending: for a full batch from another host, what that host has read
            and not applied yet.
        era_age_ms: for a full batch from another host, how long it has known
            of the store's last return from a copy; infinity for none.
    """

    changes: tuple[Change, ...]
    position: StorePosition
    relayed: bool = False
    age_ms: float = 0.0
    is_full: bool = False
    pending: tuple[PendingChange, ...] = ()
    era_age_ms: float = math.inf


class Catalog(Protocol):
    """Reads the catalog and registers this host in it.

    Every method raises CatalogError when the store fails to respond. An
    answer without a readable era has UNKNOWN_ERA as its era.
    """

    async def read(self, fresh: bool) -> ChangeBatch:
        """Return the whole catalog as changes.

        Args:
            fresh: whether to read the current state. A state that may be
                some seconds old costs the store less.
        """

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        """Wait for changes after a position.

        Args:
            position: position of the last changes that the caller has seen.
            wait_ms: the longest time to wait; the result is empty if nothing
                changed by then.

        Raises:
            HistoryLostError: if the store has no history from the position
                on and the whole catalog has to be read again.
        """

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        """Write a host's entry under a new lease.

        Args:
            host: the entry to write.
            lifetime_ms: time to live of the lease.
        """

    async def renew(self, lease: Lease) -> int:
        """Renew a lease.

        Returns:
            The era of the answer. In another era than that of the lease, the
            lease that was renewed may be another host's.

        Raises:
            LeaseLostError: if the lease has expired.
        """

    async def withdraw(self, lease: Lease) -> None:
        """Revoke a lease, which removes the host's entry."""


@dataclass(frozen=True, slots=True)
class StoredStatus:
    """The status of an order as the store has it.

    Attributes:
        status: None when there is none, or none that can be read.
        revision: the store's revision of it; 0 when there is none.
        era: the era of the answer.
    """

    status: RolloutStatus | None
    revision: int
    era: int


class StatusStore(Protocol):
    """Reads and writes the status of orders, one conditional step at a time.

    Both methods raise CatalogError when the store fails to respond.
    """

    async def read_status(self, service: str) -> StoredStatus:
        """Return the status of a service's order."""

    async def write_status(
        self, status: RolloutStatus, replaced: StoredStatus
    ) -> bool:
        """Write a status in place of the one that was read.

        Returns:
            False when another one has been written meanwhile.
        """
