"""An in-memory store with faults that can be injected.

Tests and the demo use the store directly; a stand-in serves it over HTTP.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from copy import deepcopy
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import CommitResult
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot

MAX_VALUE_BYTES = 1 << 20
LEASE_CHECK_INTERVAL_MS = 50.0
MAX_HISTORY_LENGTH = 10_000


@dataclass(slots=True)
class Faults:
    """Faults that are injected until they are switched off.

    Attributes:
        down: whether every call fails without an effect.
        slow_ms: delay added to every call.
        lose_replies: number of further writes that take effect but fail as
            if the reply were lost.
        stale_reads: number of further reads that return the state before the
            last change.
        frozen_watches: whether watches yield no changes.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    stale_reads: int = 0
    frozen_watches: bool = False


@dataclass(slots=True)
class Lease:
    """A lease and the keys bound to it.

    Attributes:
        expires_at: monotonic time in milliseconds.
    """

    lifetime_ms: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One change in the history from which watches are served.

    Attributes:
        revision: store revision of the change.
        entry: the entry after the change; its revision is 0 if deleted.
        previous: the entry before the change, or None if it was absent.
    """

    revision: int
    entry: Entry
    previous: Entry | None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A store as it was at some time."""

    entries: dict[str, Entry]
    revision: int
    history: tuple[KeyChange, ...]
    leases: dict[int, Lease]
    last_lease: int


class MemoryStore:
    """A store in memory.

    Attributes:
        calls: number of calls by kind (read, write or watch), without those
            that failed because the store was down.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.faults = Faults()
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.history: list[KeyChange] = []
        self.leases: dict[int, Lease] = {}
        self.last_lease = 0
        self.calls: dict[str, int] = {}
        self.changed = asyncio.Condition()

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with a prefix."""
        await self._begin_call("read")
        entries = self.entries
        if self.faults.stale_reads > 0 and self.history:
            self.faults.stale_reads -= 1
            entries = self._entries_before_last_change(prefix)
        sorted_entries = (e for k, e in sorted(entries.items()))
        matching = tuple(e for e in sorted_entries if e.key.startswith(prefix))
        return Snapshot(matching, self.revision)

    async def commit(self, puts: Sequence[Put]) -> CommitResult:
        """Write all keys in one transaction, or none of them."""
        await self._begin_call("write")
        self._check_puts(puts)
        current_entries = tuple(
            self.entries.get(p.key, Entry(p.key, b"", 0)) for p in puts
        )
        pairs = zip(current_entries, puts, strict=True)
        if any(e.revision != p.expected for e, p in pairs):
            return CommitResult(False, self.revision, current_entries)
        self.revision += 1
        for put in puts:
            self._apply(Entry(put.key, put.value, self.revision))
            if put.lease:
                self.leases[put.lease].keys.add(put.key)
        await self._notify_watchers()
        self._lose_reply_if_set()
        return CommitResult(True, self.revision)

    async def grant_lease(self, lifetime_ms: float) -> int:
        """Grant a lease and return its ID."""
        await self._begin_call("write")
        self.last_lease += 1
        expires_at = self.clock.now() + lifetime_ms
        self.leases[self.last_lease] = Lease(lifetime_ms, expires_at)
        self._lose_reply_if_set()
        return self.last_lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        await self._begin_call("write")
        await self.expire_leases()
        renewed_lease = self.leases.get(lease)
        if renewed_lease is None:
            return False
        renewed_lease.expires_at = self.clock.now() + renewed_lease.lifetime_ms
        self._lose_reply_if_set()
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys bound to it."""
        await self._begin_call("write")
        await self._end_lease(lease)

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[tuple[Entry, ...]]:
        """Yield changes after a revision; a watch counts as one call."""
        await self._begin_call("watch")
        while True:
            async with self.changed:
                while not (
                    self.faults.down or self._has_changes(prefix, after)
                ):
                    await self.changed.wait()
            if self.faults.down:
                raise StoreError("the store is down")
            new_changes = [
                c
                for c in self.history
                if c.revision > after and c.entry.key.startswith(prefix)
            ]
            after = max(c.revision for c in new_changes)
            yield tuple(
                replace(c.entry, revision=c.revision) for c in new_changes
            )

    def copy(self) -> StoreCopy:
        """Return a copy of the store."""
        leases = {n: deepcopy(lease) for n, lease in self.leases.items()}
        return StoreCopy(
            dict(self.entries),
            self.revision,
            tuple(self.history),
            leases,
            self.last_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy, with leases that last anew.

        Watches that are open stay open and wait for their revisions.
        """
        self.entries = dict(copy.entries)
        self.revision = copy.revision
        self.history = list(copy.history)
        self.leases = {n: deepcopy(lease) for n, lease in copy.leases.items()}
        self.last_lease = copy.last_lease
        for lease in self.leases.values():
            lease.expires_at = self.clock.now() + lease.lifetime_ms

    async def set_faults(self, faults: Faults) -> None:
        """Replace the injected faults."""
        self.faults = faults
        await self._notify_watchers()

    async def expire_all_leases(self) -> None:
        """Expire all leases, as if their holders had been paused."""
        for lease in list(self.leases):
            await self._end_lease(lease)

    async def expire_leases(self) -> None:
        """Delete the leases that have expired, with their keys."""
        now = self.clock.now()
        for lease in [
            n for n, x in self.leases.items() if now >= x.expires_at
        ]:
            await self._end_lease(lease)

    async def run_expiry(self) -> None:
        """Delete expired leases periodically, until cancelled."""
        while True:
            await asyncio.sleep(seconds(LEASE_CHECK_INTERVAL_MS))
            await self.expire_leases()

    async def _begin_call(self, kind: str) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(seconds(self.faults.slow_ms))
        if self.faults.down:
            raise StoreError("the store is down")
        self.calls[kind] = self.calls.get(kind, 0) + 1

    def _check_puts(self, puts: Sequence[Put]) -> None:
        for put in puts:
            if len(put.value) > MAX_VALUE_BYTES:
                raise StoreError(f"{put.key}: value above 1 MB")
            if put.lease and put.lease not in self.leases:
                raise StoreError(f"{put.key}: lease has ended")

    def _lose_reply_if_set(self) -> None:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise StoreError("the reply was lost")

    def _apply(self, entry: Entry) -> None:
        previous = self.entries.get(entry.key)
        if entry.revision:
            self.entries[entry.key] = entry
        else:
            self.entries.pop(entry.key, None)
        self.history.append(KeyChange(self.revision, entry, previous))
        del self.history[:-MAX_HISTORY_LENGTH]

    def _entries_before_last_change(self, prefix: str) -> dict[str, Entry]:
        entries = dict(self.entries)
        for change in reversed(self.history):
            if change.entry.key.startswith(prefix):
                entries.pop(change.entry.key, None)
                if change.previous is not None:
                    entries[change.entry.key] = change.previous
                break
        return entries

    def _has_changes(self, prefix: str, after: int) -> bool:
        if self.faults.frozen_watches:
            return False
        return any(
            c.revision > after and c.entry.key.startswith(prefix)
            for c in reversed(self.history)
        )

    async def _end_lease(self, lease: int) -> None:
        expiring_lease = self.leases.pop(lease, None)
        if expiring_lease is None or not expiring_lease.keys:
            return
        self.revision += 1
        for key in sorted(expiring_lease.keys):
            self._apply(Entry(key, b"", 0))
        await self._notify_watchers()

    async def _notify_watchers(self) -> None:
        async with self.changed:
            self.changed.notify_all()
