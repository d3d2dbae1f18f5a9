"""Interface to the catalog: the platform's store in decoded form.

The catalog holds the configuration, the upstreams, the hosts and the
availability zones that are out of service.
"""

from dataclasses import dataclass
from typing import Protocol

from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
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


class HistoryLostError(CatalogError):
    """The store has compacted the changes since the requested revision."""


class LeaseLostError(CatalogError):
    """The lease has expired or was revoked."""


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
)


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """The changes that one read or watch returned.

    Attributes:
        changes: changes in the order of their revisions.
        position: store revision from which the next watch continues.
        relayed: whether the changes came from another host, not the store.
        age_ms: milliseconds since the store sent the changes.
        era: number of times that the store had come back from a copy when it
            answered.
    """

    changes: tuple[Change, ...]
    position: int
    relayed: bool = False
    age_ms: float = 0.0
    era: int = UNKNOWN_ERA


class Catalog(Protocol):
    """Reads the catalog and registers this host in it.

    Every method raises CatalogError when the store fails to respond.
    """

    async def read(self, fresh: bool) -> ChangeBatch:
        """Return the whole catalog as changes.

        Args:
            fresh: whether to read the current state. A state that may be
                some seconds old costs the store less.
        """

    async def watch(self, position: int, wait_ms: float) -> ChangeBatch:
        """Wait for changes after a position.

        Args:
            position: revision of the last changes that the caller has seen.
            wait_ms: the longest time to wait; the result is empty if nothing
                changed by then.

        Raises:
            HistoryLostError: if the position was compacted and the whole
                catalog has to be read again.
        """

    async def register(self, host: Host, lifetime_ms: float) -> int:
        """Write a host's entry under a new lease.

        Args:
            host: the entry to write.
            lifetime_ms: time to live of the lease.

        Returns:
            The ID of the lease.
        """

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseLostError: if the lease has expired.
        """

    async def withdraw(self, lease: int) -> None:
        """Revoke a lease, which removes the host's entry."""
