"""An in-memory catalog for tests, with faults that tests can inject."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace

from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.core.site import RolloutStatus
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import SiteView
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import LeaseLostError
from wigeongw.ports.catalog import StoreConnectionError
from wigeongw.ports.catalog import StoredStatus
from wigeongw.ports.catalog import StorePosition

# Watches that wait less are not cut.
MIN_CUT_WAIT_MS = 5.0
LONG_AGO = float("-inf")


@dataclass(frozen=True, slots=True)
class CatalogCopy:
    """A copy of the catalog, from which it may come back later."""

    view: SiteView
    history: tuple[Change, ...]
    leases: dict[int, str]


class MemoryCatalog:
    """A catalog in memory.

    Attributes:
        view: the current state.
        history: all published changes; a position is an index into them.
        leases: host names by lease ID.
        era: how often the catalog has come back from a copy.
        down: whether every call fails.
        cuts_watches: whether watches that wait are cut.
        cut_count: number of watches that were cut.
        loses_history: whether the next watch raises HistoryLostError.
        calls: number of calls, including failed ones; a watch that returns
            changes or times out counts twice.
    """

    def __init__(self) -> None:
        self.view = SiteView()
        self.history: list[Change] = []
        self.leases: dict[int, str] = {}
        self.era = 1
        self.down = False
        self.cuts_watches = False
        self.cut_count = 0
        self.loses_history = False
        self.calls = 0
        self.changed = asyncio.Condition()

    async def publish(self, *changes: Change) -> None:
        """Apply changes and notify waiting watches."""
        self.view = site_view.apply_changes(self.view, changes, 0.0, LONG_AGO)
        self.history.extend(changes)
        async with self.changed:
            self.changed.notify_all()

    def copy(self) -> CatalogCopy:
        """Return a copy of the catalog."""
        return CatalogCopy(self.view, tuple(self.history), dict(self.leases))

    async def restore(self, copy: CatalogCopy) -> None:
        """Come back from a copy: everything since then is lost."""
        self.era += 1
        self.view = copy.view
        self.history = list(copy.history)
        self.leases = dict(copy.leases)
        async with self.changed:
            self.changed.notify_all()

    async def read(self, fresh: bool) -> ChangeBatch:
        """Return the whole current state."""
        self._begin_call()
        changes = tuple(site_view.entries(self.view).values())
        return ChangeBatch(changes, self._position(), is_full=True)

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        """Wait for changes after a position."""
        self._begin_call()
        if self.loses_history:
            self.loses_history = False
            raise HistoryLostError(f"no history after {position}", self.era)
        revision = position.revision
        if revision > len(self.history):
            raise HistoryLostError(f"{position} does not exist", self.era)
        try:
            async with asyncio.timeout(seconds(wait_ms)), self.changed:
                era = self.era
                while len(self.history) <= revision and self.era == era:
                    self._cut_watch(wait_ms)
                    await self.changed.wait()
        except TimeoutError:
            pass
        self._begin_call()
        return ChangeBatch(tuple(self.history[revision:]), self._position())

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        """Write a host's entry under a lease that never expires by itself."""
        self._begin_call()
        number = len(self.leases) + 1
        self.leases[number] = host.name
        await self.publish(replace(host, lease=number))
        return Lease(number, self.era)

    async def renew(self, lease: Lease) -> int:
        """Check that a lease exists."""
        self._begin_call()
        if lease.number not in self.leases:
            raise LeaseLostError(f"{lease} does not exist", self.era)
        return self.era

    async def withdraw(self, lease: Lease) -> None:
        """Revoke a lease and remove its host's entry."""
        self._begin_call()
        name = self.leases.pop(lease.number, None)
        entry = self.view.hosts.get(name) if name is not None else None
        if entry is not None and entry.lease == lease.number:
            await self.publish(HostGone(entry.name))

    async def read_status(self, service: str) -> StoredStatus:
        """Return the status of an order; its phase serves as revision."""
        self._begin_call()
        status = self.view.statuses.get(service)
        revision = status.phase + 1 if status is not None else 0
        return StoredStatus(status, revision, self.era)

    async def write_status(
        self, status: RolloutStatus, replaced: StoredStatus
    ) -> bool:
        """Write a status in place of another one."""
        current = await self.read_status(status.service)
        if current != replaced:
            return False
        await self.publish(status)
        return True

    async def cut_watches(self, enabled: bool) -> None:
        """Begin or stop to cut the watches that wait."""
        self.cuts_watches = enabled
        async with self.changed:
            self.changed.notify_all()

    def _cut_watch(self, wait_ms: float) -> None:
        if self.cuts_watches and wait_ms >= MIN_CUT_WAIT_MS:
            self.cut_count += 1
            raise StoreConnectionError("connection reset")

    def _position(self) -> StorePosition:
        return StorePosition(self.era, len(self.history))

    def _begin_call(self) -> None:
        self.calls += 1
        if self.down:
            raise CatalogError("the store is down")
