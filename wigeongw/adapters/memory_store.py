"""The store's twin in memory, with the faults that tests switch on."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import Committed
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot

VALUE_MOST_BYTES = 1 << 20
LEASE_CHECK_MS = 50.0
HISTORY_MOST = 10_000


@dataclass(slots=True)
class Faults:
    """What goes wrong until it is switched off.

    Attributes:
        down: no call is answered or has an effect.
        slow_ms: added to every call.
        lose_replies: writes that take effect while the reply is lost.
        stale_reads: reads that show the state before the last change.
        frozen_watches: watches stay silent.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    stale_reads: int = 0
    frozen_watches: bool = False


@dataclass(slots=True)
class Lease:
    """A lease and the keys bound to it."""

    lifetime_ms: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Change:
    """One entry of the history that watches follow."""

    revision: int
    entry: Entry
    before: Entry | None


class MemoryStore:
    """A store in this process; a stand-in serves it over the network."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.faults = Faults()
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.history: list[Change] = []
        self.leases: dict[int, Lease] = {}
        self.last_lease = 0
        self.calls: dict[str, int] = {}
        self.changed = asyncio.Condition()

    async def read(self, prefix: str) -> Snapshot:
        """Read all entries under a prefix."""
        await self._enter("read")
        entries = self.entries
        if self.faults.stale_reads > 0 and self.history:
            self.faults.stale_reads -= 1
            entries = self._as_before_last(prefix)
        found = (e for k, e in sorted(entries.items()))
        matching = tuple(e for e in found if e.key.startswith(prefix))
        return Snapshot(matching, self.revision)

    async def commit(self, puts: Sequence[Put]) -> Committed:
        """Write all or nothing."""
        await self._enter("write")
        self._check(puts)
        found = tuple(
            self.entries.get(p.key, Entry(p.key, b"", 0)) for p in puts
        )
        pairs = zip(found, puts, strict=True)
        if any(e.revision != p.expected for e, p in pairs):
            return Committed(False, self.revision, found)
        self.revision += 1
        for put in puts:
            self._set(Entry(put.key, put.value, self.revision))
            if put.lease:
                self.leases[put.lease].keys.add(put.key)
        await self._tell()
        self._maybe_lose_reply()
        return Committed(True, self.revision)

    async def grant_lease(self, lifetime_ms: float) -> int:
        """Open a lease."""
        await self._enter("write")
        self.last_lease += 1
        ends = self.clock.now() + lifetime_ms
        self.leases[self.last_lease] = Lease(lifetime_ms, ends)
        self._maybe_lose_reply()
        return self.last_lease

    async def keep_alive(self, lease: int) -> bool:
        """Prolong a lease."""
        await self._enter("write")
        await self.expire()
        found = self.leases.get(lease)
        if found is None:
            return False
        found.ends_at = self.clock.now() + found.lifetime_ms
        self._maybe_lose_reply()
        return True

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._enter("write")
        await self._end_lease(lease)

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[tuple[Entry, ...]]:
        """Follow changes; a waiting watch counts as a call."""
        await self._enter("watch")
        while True:
            async with self.changed:
                while not (self.faults.down or self._news(prefix, after)):
                    await self.changed.wait()
            if self.faults.down:
                raise StoreError("the store is down")
            news = [
                c
                for c in self.history
                if c.revision > after and c.entry.key.startswith(prefix)
            ]
            after = max(c.revision for c in news)
            yield tuple(replace(c.entry, revision=c.revision) for c in news)

    async def set_faults(self, faults: Faults) -> None:
        """Switch faults on and off."""
        self.faults = faults
        await self._tell()

    async def lapse_leases(self) -> None:
        """End every lease, as when their holders were paused."""
        for lease in list(self.leases):
            await self._end_lease(lease)

    async def expire(self) -> None:
        """End the leases whose time is over."""
        now = self.clock.now()
        for lease in [n for n, x in self.leases.items() if now >= x.ends_at]:
            await self._end_lease(lease)

    async def run_expiry(self) -> None:
        """End leases as their time comes, for ever."""
        while True:
            await asyncio.sleep(seconds(LEASE_CHECK_MS))
            await self.expire()

    async def _enter(self, kind: str) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(seconds(self.faults.slow_ms))
        if self.faults.down:
            raise StoreError("the store is down")
        self.calls[kind] = self.calls.get(kind, 0) + 1

    def _check(self, puts: Sequence[Put]) -> None:
        for put in puts:
            if len(put.value) > VALUE_MOST_BYTES:
                raise StoreError(f"{put.key}: value above 1 MB")
            if put.lease and put.lease not in self.leases:
                raise StoreError(f"{put.key}: lease has ended")

    def _maybe_lose_reply(self) -> None:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise StoreError("the reply was lost")

    def _set(self, entry: Entry) -> None:
        before = self.entries.get(entry.key)
        if entry.revision:
            self.entries[entry.key] = entry
        else:
            self.entries.pop(entry.key, None)
        self.history.append(Change(self.revision, entry, before))
        del self.history[:-HISTORY_MOST]

    def _as_before_last(self, prefix: str) -> dict[str, Entry]:
        older = dict(self.entries)
        for change in reversed(self.history):
            if change.entry.key.startswith(prefix):
                older.pop(change.entry.key, None)
                if change.before is not None:
                    older[change.entry.key] = change.before
                break
        return older

    def _news(self, prefix: str, after: int) -> bool:
        if self.faults.frozen_watches:
            return False
        return any(
            c.revision > after and c.entry.key.startswith(prefix)
            for c in reversed(self.history)
        )

    async def _end_lease(self, lease: int) -> None:
        found = self.leases.pop(lease, None)
        if found is None or not found.keys:
            return
        self.revision += 1
        for key in sorted(found.keys):
            self._set(Entry(key, b"", 0))
        await self._tell()

    async def _tell(self) -> None:
        async with self.changed:
            self.changed.notify_all()
