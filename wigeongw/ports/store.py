"""The platform's key-value store: compare-and-swap, leases and watches."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        revision: of the store when the key last changed; 0 when absent.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries read together.

    Attributes:
        revision: of the store at the reading.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    Attributes:
        expected: the revision that the key must have; 0 for absent.
        lease: the lease it is bound to; 0 for none.
    """

    key: str
    value: bytes
    expected: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Committed:
    """The end of a transaction.

    Attributes:
        ok: whether every expectation held and all was written.
        revision: of the store afterwards.
        found: when not ok, the entries as they are.
    """

    ok: bool
    revision: int
    found: tuple[Entry, ...] = ()


class Store(Protocol):
    """What the daemon needs of the store; each method is one call.

    Every method raises StoreError.
    """

    async def read(self, prefix: str) -> Snapshot:
        """Read all entries whose keys start with a prefix."""

    async def commit(self, puts: Sequence[Put]) -> Committed:
        """Write all or nothing."""

    async def grant_lease(self, lifetime_ms: float) -> int:
        """Open a lease that ends unless it is kept alive."""

    async def keep_alive(self, lease: int) -> bool:
        """Prolong a lease; False when it has ended."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete what is bound to it."""

    def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[tuple[Entry, ...]]:
        """Follow changes after a revision; deleted keys have no value."""
