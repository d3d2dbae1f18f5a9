"""Changes reach every host while relays fail, freeze or lose the store."""

import asyncio
from contextlib import AsyncExitStack
import os
import random
import unittest

import aiohttp

from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.own_dialect import OwnDialect
from wigeongw.core.clock import Clock
from wigeongw.core.site import HostIdentity
from wigeongw.decisions import relaying
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import Surroundings
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import free_port
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Reading
from wigeongw.ports.catalog import ZoneEvacuated

NAMES = ("a", "b", "c", "d", "e")
# A change has to be in force this long after it was accepted.
IN_FORCE_S = 2.0


class OwnDoor:
    """One host's way to the shared store, which may be cut."""

    def __init__(self, store: MemoryCatalog) -> None:
        self.store = store
        self.cut = False
        self.watches = 0

    async def watch(self, position: int, wait_ms: float) -> Reading:
        self.watches += 1
        await self._enter()
        reading = await self.store.watch(position, wait_ms)
        await self._enter()
        return reading

    async def read(self, fresh: bool) -> Reading:
        await self._enter()
        return await self.store.read(fresh)

    def __getattr__(self, name: str) -> object:
        return getattr(self.store, name)

    async def _enter(self) -> None:
        if self.cut:
            await asyncio.sleep(60.0)
            raise CatalogError("cut off")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.store = MemoryCatalog()
        await self.store.publish(configuration())
        self.hosts: dict[str, GatewayHost] = {}
        self.doors: dict[str, OwnDoor] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        for name in NAMES:
            self.start(name)
        self.stack.push_async_callback(self.end)
        async with asyncio.timeout(10.0):
            while not self.all_known():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self.relays = relaying.relays(NAMES)
        self.others = [n for n in NAMES if n not in self.relays]
        await asyncio.sleep(1.0)

    def all_known(self) -> bool:
        hosts = self.hosts.values()
        return all(len(h.state.view.hosts) == len(NAMES) for h in hosts)

    def start(self, name: str) -> None:
        quiet = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, quiet)
        door = OwnDoor(self.store)
        me = HostIdentity(
            name,
            "amman",
            f"127.0.0.1:{free_port()}",
            "",
            "",
            f"127.0.0.1:{free_port()}",
        )
        surroundings = Surroundings(
            door,  # type: ignore[arg-type]
            OwnDialect(),
            lambda state: {},
            self.session,
        )
        host = GatewayHost(me, surroundings, Clock(), random.Random(name))
        host.log.stream = quiet
        self.hosts[name] = host
        self.doors[name] = door
        self.tasks[name] = asyncio.create_task(host.run())

    async def end(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def kill(self, name: str) -> None:
        self.tasks[name].cancel()
        await asyncio.gather(self.tasks[name], return_exceptions=True)

    async def assert_in_force(self, names: list[str]) -> None:
        """Evacuate a zone; every named host must know it in time."""
        await self.store.publish(ZoneEvacuated("irbid"))
        await asyncio.sleep(IN_FORCE_S)
        for name in names:
            with self.subTest(host=name):
                evacuated = self.hosts[name].state.view.evacuated
                self.assertIn("irbid", evacuated)

    async def test_only_relays_ask_the_store(self) -> None:
        before = {name: door.watches for name, door in self.doors.items()}
        await self.assert_in_force(list(NAMES))
        for name in self.others:
            with self.subTest(host=name):
                self.assertEqual(self.doors[name].watches, before[name])

    async def test_relays_are_killed_before_a_change(self) -> None:
        for name in self.relays:
            await self.kill(name)
        await self.assert_in_force(self.others)

    async def test_relays_are_cut_off_from_the_store(self) -> None:
        for name in self.relays:
            self.doors[name].cut = True
        await self.assert_in_force(self.others)

    async def test_a_call_that_hangs_is_given_up_soon_after_a_cut(
        self,
    ) -> None:
        """All hosts are cut off while one more call has just begun."""
        for door in self.doors.values():
            door.cut = True
        await asyncio.sleep(3.0)
        watched = self.doors[self.relays[0]]
        before = watched.watches
        async with asyncio.timeout(5.0):
            while watched.watches == before:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        for door in self.doors.values():
            door.cut = False
        await self.assert_in_force(list(NAMES))

    async def test_a_host_that_cannot_reach_the_store_learns_from_relays(
        self,
    ) -> None:
        cut = self.others[0]
        self.doors[cut].cut = True
        await self.assert_in_force([cut])


if __name__ == "__main__":
    unittest.main()
