"""Tests that a host starting during a store outage uses a peer's view."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
import functools
import os
import random
import unittest

import aiohttp

from standins.free_ports import free_address
from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.native_dialect import NativeDialect
from wigeongw.core.clock import Clock
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import Target
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import HostDependencies
from wigeongw.gateway.host_case import configuration
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated

TIMEOUT_S = 3.0
TARGET = Target("one", "s", "127.0.0.1:1", "amman", 4)


def _is_ready(host: GatewayHost) -> bool:
    return host.state.ready


class FaultyCatalog:
    """One host's catalog with injectable faults.

    Attributes:
        fault: empty for none, ``silent`` to hang, else the error text of every
            call.
    """

    def __init__(self, store: MemoryCatalog, fault: str = "") -> None:
        self.store = store
        self.fault = fault

    async def read(self, fresh: bool) -> ChangeBatch:
        await self._apply_fault()
        return await self.store.read(fresh)

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        await self._apply_fault()
        return await self.store.watch(position, wait_ms)

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        await self._apply_fault()
        return await self.store.register(host, lifetime_ms)

    async def renew(self, lease: Lease) -> int:
        await self._apply_fault()
        return await self.store.renew(lease)

    async def withdraw(self, lease: Lease) -> None:
        await self._apply_fault()
        await self.store.withdraw(lease)

    async def _apply_fault(self) -> None:
        while self.fault == "silent":  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        if self.fault:
            raise CatalogError(self.fault)


class BorrowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store = MemoryCatalog()
        await self.store.publish(configuration(revision=1), TARGET)
        self.contact = free_address()
        self.first = self.start(
            "first", FaultyCatalog(self.store), self.contact
        )
        await self.until(lambda: self.first.state.ready)

    def start(
        self, name: str, catalog: FaultyCatalog, contact: str
    ) -> GatewayHost:
        null_fd = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, null_fd)
        host_config = HostConfig(
            name,
            "amman",
            free_address(),
            "",
            "",
            contact=contact,
            seeds=(free_address(), self.contact),
        )
        dependencies = HostDependencies(
            catalog, NativeDialect(), lambda state: {}, self.session
        )
        host = GatewayHost(
            host_config, dependencies, Clock(), random.Random(3)
        )
        host.log.fd = null_fd
        task = asyncio.create_task(host.run())

        async def end() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.stack.push_async_callback(end)
        return host

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def start_late(self, fault: str) -> tuple[GatewayHost, FaultyCatalog]:
        catalog = FaultyCatalog(self.store, fault)
        contact = free_address()
        return self.start("late", catalog, contact), catalog

    async def test_host_becomes_ready_from_seed(self) -> None:
        for fault in ("refused", "silent"):
            with self.subTest(fault=fault):
                late, _ = self.start_late(fault)
                await self.until(functools.partial(_is_ready, late))
                self.assertEqual(set(late.state.targets), {"one"})

    async def test_host_follows_seed_while_store_is_down(self) -> None:
        late, _ = self.start_late("silent")
        await self.until(lambda: late.state.ready)
        await self.store.publish(
            configuration(revision=2), ZoneEvacuated("amman")
        )

        def has_new_revision() -> bool:
            configuration = late.state.view.configuration
            return configuration is not None and configuration.revision == 2

        await self.until(has_new_revision)
        self.assertEqual(late.state.view.evacuated, frozenset({"amman"}))

    async def test_stale_entry_of_seed_is_removed_after_store_read(
        self,
    ) -> None:
        """The store takes precedence as soon as it can be read."""
        late, catalog = self.start_late("refused")
        await self.until(lambda: late.state.ready)
        await self.store.publish(TargetGone("one"))
        catalog.fault = ""
        await self.until(lambda: late.follower.has_read_store)
        async with asyncio.timeout(TIMEOUT_S):
            while late.state.targets:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def test_older_batch_is_ignored(self) -> None:
        late, _ = self.start_late("silent")
        await self.until(lambda: late.state.ready)
        view_before = late.state.view
        position = view_before.position
        older = StorePosition(position.era, position.revision - 1)
        late.follower.adopt_peer_batch(
            ChangeBatch((), older, relayed=True, is_full=True)
        )
        self.assertIs(late.state.view, view_before)


if __name__ == "__main__":
    unittest.main()
