"""Interface to the platform's key-value store.

The store offers compare-and-swap transactions, leases and watches.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        revision: store revision of the key's last change; 0 if absent.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries as of one store revision.

    Attributes:
        revision: store revision at the time of the read.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A conditional write in a transaction.

    Attributes:
        expected: revision that the key must have; 0 if it must be absent.
        lease: ID of the lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes
    expected: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a transaction.

    Attributes:
        ok: whether all expected revisions matched and all keys were written.
        revision: store revision after the transaction.
        found: the current entries of the transaction's keys if not ok.
    """

    ok: bool
    revision: int
    found: tuple[Entry, ...] = ()


class Store(Protocol):
    """Client of the store; each method is one call.

    Every method raises StoreError if the store fails to respond.
    """

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with a prefix."""

    async def commit(self, puts: Sequence[Put]) -> CommitResult:
        """Write all keys in one transaction, or none of them."""

    async def grant_lease(self, lifetime_ms: float) -> int:
        """Grant a lease that expires unless it is kept alive.

        Args:
            lifetime_ms: time to live of the lease.

        Returns:
            The ID of the lease.
        """

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys bound to it."""

    def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[tuple[Entry, ...]]:
        """Yield changes after a revision; deleted keys have no value."""
