"""A host that starts while the store is away serves from a peer's view."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
import functools
import os
import random
import unittest

import aiohttp

from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.own_dialect import OwnDialect
from wigeongw.core.clock import Clock
from wigeongw.core.site import Host
from wigeongw.core.site import HostIdentity
from wigeongw.core.site import Target
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import Surroundings
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import free_port
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Reading
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated

SOON_S = 3.0
TARGET = Target("one", "s", "127.0.0.1:1", "amman", 4)


def _is_ready(host: GatewayHost) -> bool:
    return host.state.ready


class Door:
    """One host's way to the store; while shut, calls hang or fail."""

    def __init__(self, store: MemoryCatalog, shut: str = "") -> None:
        self.store = store
        self.shut = shut

    async def read(self, fresh: bool) -> Reading:
        await self._enter()
        return await self.store.read(fresh)

    async def watch(self, position: int, wait_ms: float) -> Reading:
        await self._enter()
        return await self.store.watch(position, wait_ms)

    async def register(self, host: Host, lifetime_ms: float) -> int:
        await self._enter()
        return await self.store.register(host, lifetime_ms)

    async def renew(self, lease: int) -> None:
        await self._enter()
        await self.store.renew(lease)

    async def withdraw(self, lease: int) -> None:
        await self._enter()
        await self.store.withdraw(lease)

    async def _enter(self) -> None:
        while self.shut == "silent":  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        if self.shut:
            raise CatalogError(self.shut)


class BorrowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store = MemoryCatalog()
        await self.store.publish(configuration(revision=1), TARGET)
        self.contact = f"127.0.0.1:{free_port()}"
        self.first = self.start("first", Door(self.store), self.contact)
        await self.until(lambda: self.first.state.ready)

    def start(self, name: str, door: Door, contact: str) -> GatewayHost:
        quiet = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, quiet)
        me = HostIdentity(
            name,
            "amman",
            f"127.0.0.1:{free_port()}",
            "",
            "",
            contact=contact,
            seeds=(f"127.0.0.1:{free_port()}", self.contact),
        )
        surroundings = Surroundings(
            door, OwnDialect(), lambda state: {}, self.session
        )
        host = GatewayHost(me, surroundings, Clock(), random.Random(3))
        host.log.stream = quiet
        task = asyncio.create_task(host.run())

        async def end() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.stack.push_async_callback(end)
        return host

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(SOON_S):
            while not holds():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def start_late(self, shut: str) -> tuple[GatewayHost, Door]:
        door = Door(self.store, shut)
        contact = f"127.0.0.1:{free_port()}"
        return self.start("late", door, contact), door

    async def test_it_is_ready_from_a_seed(self) -> None:
        for shut in ("refused", "silent"):
            with self.subTest(shut=shut):
                late, _ = self.start_late(shut)
                await self.until(functools.partial(_is_ready, late))
                self.assertEqual(set(late.state.targets), {"one"})

    async def test_it_follows_the_seed_until_it_reads_the_store(self) -> None:
        late, _ = self.start_late("silent")
        await self.until(lambda: late.state.ready)
        await self.store.publish(
            configuration(revision=2), ZoneEvacuated("amman")
        )

        def follows() -> bool:
            configuration = late.state.view.configuration
            return configuration is not None and configuration.revision == 2

        await self.until(follows)
        self.assertEqual(late.state.view.evacuated, frozenset({"amman"}))

    async def test_what_the_seed_still_holds_goes_with_the_store(
        self,
    ) -> None:
        """The store's word counts once it can be heard."""
        late, door = self.start_late("refused")
        await self.until(lambda: late.state.ready)
        await self.store.publish(TargetGone("one"))
        door.shut = ""
        await self.until(lambda: late.follower.known)
        async with asyncio.timeout(SOON_S):
            while late.state.targets:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def test_an_older_view_is_not_taken_over(self) -> None:
        late, _ = self.start_late("silent")
        await self.until(lambda: late.state.ready)
        held = late.state.view
        late.follower.borrow(Reading((), held.position - 1, relayed=True))
        self.assertIs(late.state.view, held)


if __name__ == "__main__":
    unittest.main()
