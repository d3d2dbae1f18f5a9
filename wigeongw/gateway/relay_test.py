"""Tests that changes reach every host while relays fail."""

import asyncio
from contextlib import AsyncExitStack
import os
import random
import unittest
from unittest import mock

import aiohttp

from standins.free_ports import free_address
from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.native_dialect import NativeDialect
from wigeongw.core.clock import Clock
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.decisions import relay_selection
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import HostDependencies
from wigeongw.gateway.host_case import configuration
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import ZoneEvacuated

NAMES = ("a", "b", "c", "d", "e")
# Time limit for a change to take effect at every host.
PROPAGATION_LIMIT_S = 2.0


class PartitionableCatalog:
    """One host's catalog on the shared store, which can be partitioned.

    Attributes:
        is_partitioned: whether calls hang and then fail.
        watches: number of watch calls.
    """

    def __init__(self, store: MemoryCatalog) -> None:
        self.store = store
        self.is_partitioned = False
        self.watches = 0

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        self.watches += 1
        await self._apply_partition()
        batch = await self.store.watch(position, wait_ms)
        await self._apply_partition()
        return batch

    async def read(self, fresh: bool) -> ChangeBatch:
        await self._apply_partition()
        return await self.store.read(fresh)

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        await self._apply_partition()
        return await self.store.register(host, lifetime_ms)

    async def renew(self, lease: Lease) -> int:
        await self._apply_partition()
        return await self.store.renew(lease)

    def __getattr__(self, name: str) -> object:
        return getattr(self.store, name)

    async def _apply_partition(self) -> None:
        if self.is_partitioned:
            await asyncio.sleep(60.0)
            raise CatalogError("partitioned from the store")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store = MemoryCatalog()
        await self.store.publish(configuration())
        self.hosts: dict[str, GatewayHost] = {}
        self.catalogs: dict[str, PartitionableCatalog] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        for name in NAMES:
            self.start(name)
        self.stack.push_async_callback(self.end)
        async with asyncio.timeout(10.0):
            while not self.all_hosts_known():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self.relays = relay_selection.make_plan(NAMES).relays
        self.others = [n for n in NAMES if n not in self.relays]
        await asyncio.sleep(1.0)

    def all_hosts_known(self) -> bool:
        hosts = self.hosts.values()
        return all(len(h.state.view.hosts) == len(NAMES) for h in hosts)

    def start(self, name: str) -> None:
        null_fd = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, null_fd)
        catalog = PartitionableCatalog(self.store)
        host_config = HostConfig(
            name,
            "amman",
            free_address(),
            "",
            "",
            free_address(),
        )
        dependencies = HostDependencies(
            catalog,  # type: ignore[arg-type]
            NativeDialect(),
            lambda state: {},
            self.session,
        )
        host = GatewayHost(
            host_config, dependencies, Clock(), random.Random(name)
        )
        host.log.fd = null_fd
        self.hosts[name] = host
        self.catalogs[name] = catalog
        self.tasks[name] = asyncio.create_task(host.run())

    async def end(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def kill(self, name: str) -> None:
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks[name], return_exceptions=True)

    async def assert_change_propagates(self, names: list[str]) -> None:
        """Evacuate a zone and check that the hosts know it in time."""
        await self.store.publish(ZoneEvacuated("irbid"))
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        for name in names:
            with self.subTest(host=name):
                evacuated = self.hosts[name].state.view.evacuated
                self.assertIn("irbid", evacuated)

    async def test_only_relays_watch_the_store(self) -> None:
        before = {
            name: catalog.watches for name, catalog in self.catalogs.items()
        }
        await self.assert_change_propagates(list(NAMES))
        for name in self.others:
            with self.subTest(host=name):
                self.assertEqual(self.catalogs[name].watches, before[name])

    async def test_change_propagates_after_relays_are_killed(self) -> None:
        for name in self.relays:
            await self.kill(name)
        await self.assert_change_propagates(self.others)

    async def test_change_propagates_while_relays_are_partitioned(
        self,
    ) -> None:
        for name in self.relays:
            self.catalogs[name].is_partitioned = True
        await self.assert_change_propagates(self.others)

    async def test_hanging_watch_is_abandoned_soon_after_partition(
        self,
    ) -> None:
        """All hosts are partitioned while a watch call has just started."""
        for catalog in self.catalogs.values():
            catalog.is_partitioned = True
        await asyncio.sleep(3.0)
        relay_catalog = self.catalogs[self.relays[0]]
        before = relay_catalog.watches
        async with asyncio.timeout(5.0):
            while relay_catalog.watches == before:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        for catalog in self.catalogs.values():
            catalog.is_partitioned = False
        await self.assert_change_propagates(list(NAMES))

    async def test_partitioned_host_learns_changes_from_relays(
        self,
    ) -> None:
        partitioned = self.others[0]
        self.catalogs[partitioned].is_partitioned = True
        await self.assert_change_propagates([partitioned])

    async def test_host_whose_lease_expired_learns_changes_from_relays(
        self,
    ) -> None:
        """The store refuses one host until the host's entry is gone.

        The host cannot register again, but clients still hold its address,
        so it must keep up with the configuration.
        """
        partitioned = self.others[0]
        self.catalogs[partitioned].is_partitioned = True
        await self.store.publish(HostGone(partitioned))
        view_without_entry = 0.0
        while partitioned in self.hosts[partitioned].state.view.hosts:
            await asyncio.sleep(0.05)
            view_without_entry += 0.05
            self.assertLess(view_without_entry, 5.0)
        await self.assert_change_propagates([partitioned])

    async def test_partitioned_relay_learns_changes_from_other_hosts(
        self,
    ) -> None:
        """The store refuses the only relay and serves all other hosts."""
        relay = self.relays[0]
        self.catalogs[relay].is_partitioned = True
        await asyncio.sleep(4.0)
        await self.assert_change_propagates([relay, *self.others])

    async def test_only_the_root_watches_the_store(self) -> None:
        before = {
            name: catalog.watches for name, catalog in self.catalogs.items()
        }
        await self.assert_change_propagates(list(NAMES))
        for name in NAMES:
            if name != self.relays[0]:
                with self.subTest(host=name):
                    self.assertEqual(self.catalogs[name].watches, before[name])

    async def test_change_propagates_after_the_root_is_killed(self) -> None:
        root = self.relays[0]
        await self.kill(root)
        await self.assert_change_propagates(
            [name for name in NAMES if name != root]
        )


class RelayTreeTest(RelayTest):
    """The same faults where relays ask the root and other hosts a relay."""

    async def asyncSetUp(self) -> None:
        small_groups = mock.patch.object(relay_selection, "HOSTS_PER_RELAY", 2)
        self.enterContext(small_groups)
        await super().asyncSetUp()
        self.assertEqual(len(self.relays), 3)

    async def test_change_propagates_after_one_relay_of_each_level_is_killed(
        self,
    ) -> None:
        killed = self.relays[:2]
        for name in killed:
            await self.kill(name)
        await self.assert_change_propagates(
            [name for name in NAMES if name not in killed]
        )


if __name__ == "__main__":
    unittest.main()
