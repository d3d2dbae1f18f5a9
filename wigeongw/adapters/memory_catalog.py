"""The catalog's twin in memory, with the faults that tests switch on."""

import asyncio

from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import SiteView
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import LeaseLostError
from wigeongw.ports.catalog import Reading
from wigeongw.ports.catalog import ZoneEvacuated

LONG_AGO = float("-inf")


class MemoryCatalog:
    """A store in this process.

    Attributes:
        down: no call is answered.
        forgets: the next watch finds its history gone.
    """

    def __init__(self) -> None:
        self.view = SiteView()
        self.history: list[Change] = []
        self.leases: dict[int, str] = {}
        self.down = False
        self.forgets = False
        self.calls = 0
        self.changed = asyncio.Condition()

    async def publish(self, *changes: Change) -> None:
        """Make changes and wake whoever watches."""
        self.view = site_view.apply(self.view, changes, 0.0, LONG_AGO)
        self.history.extend(changes)
        async with self.changed:
            self.changed.notify_all()

    async def read(self, fresh: bool) -> Reading:
        """Read everything as it is now."""
        self._enter()
        changes: list[Change] = []
        if self.view.configuration is not None:
            changes.append(self.view.configuration)
        changes.extend(self.view.targets.values())
        changes.extend(self.view.hosts.values())
        changes.extend(ZoneEvacuated(z) for z in self.view.evacuated)
        return Reading(tuple(changes), len(self.history))

    async def watch(self, position: int, wait_ms: float) -> Reading:
        """Wait for changes after a position."""
        self._enter()
        if self.forgets:
            self.forgets = False
            raise HistoryLostError("history is gone")
        try:
            async with asyncio.timeout(seconds(wait_ms)), self.changed:
                while len(self.history) <= position:
                    await self.changed.wait()
        except TimeoutError:
            pass
        self._enter()
        return Reading(tuple(self.history[position:]), len(self.history))

    async def register(self, host: Host, lifetime_ms: float) -> int:
        """Write a host's entry; leases here end only when told to."""
        self._enter()
        lease = len(self.leases) + 1
        self.leases[lease] = host.name
        await self.publish(host)
        return lease

    async def renew(self, lease: int) -> None:
        """Prolong a lease."""
        self._enter()
        if lease not in self.leases:
            raise LeaseLostError("the lease has ended")

    async def withdraw(self, lease: int) -> None:
        """End a lease."""
        self._enter()
        name = self.leases.pop(lease, None)
        if name is not None:
            await self.publish(HostGone(name))

    def _enter(self) -> None:
        self.calls += 1
        if self.down:
            raise CatalogError("the store is down")
