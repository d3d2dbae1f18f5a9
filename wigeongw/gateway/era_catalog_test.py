"""Tests over the orders in which answers of several eras arrive."""

from contextlib import AsyncExitStack
import os
import random
import unittest

from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.era_catalog import EraCatalog
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import EraChangedError
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import UNKNOWN_ERA
from wigeongw.ports.catalog import ZoneEvacuated

WAIT_MS = 1.0


class EraCatalogTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        null_fd = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, null_fd)
        clock = Clock()
        self.log = DecisionLog(clock, "h", null_fd)
        self.state = GatewayState(
            HostConfig("h", "amman", "127.0.0.1:1", "", ""),
            clock,
            random.Random(1),
            self.log,
            Metrics(),
        )
        self.store = MemoryCatalog()
        self.catalog = EraCatalog(self.state, self.store)

    async def write(self, count: int) -> None:
        for number in range(count):
            await self.store.publish(ZoneEvacuated(f"zone-{number}"))

    async def test_watch_from_an_earlier_era_never_returns_changes(
        self,
    ) -> None:
        """The revision may exist in the new era, lie beyond it, or be old."""
        for written in (0, 3, 5, 9):
            with self.subTest(written=written):
                copy = self.store.copy()
                await self.write(5)
                position = (await self.catalog.read(True)).position
                await self.store.restore(copy)
                await self.write(written)
                with self.assertRaises(EraChangedError):
                    await self.catalog.watch(position, WAIT_MS)
                again = (await self.catalog.read(True)).position
                self.assertEqual(again.era, position.era + 1)
                await self.catalog.watch(again, WAIT_MS)

    async def test_position_is_refused_without_a_call_once_the_era_is_known(
        self,
    ) -> None:
        position = (await self.catalog.read(True)).position
        self.state.learn_era(position.era + 1)
        calls = self.store.calls
        with self.assertRaises(EraChangedError):
            await self.catalog.watch(position, WAIT_MS)
        self.assertEqual(self.store.calls, calls)

    async def test_answers_of_an_earlier_era_are_refused_and_logged_once(
        self,
    ) -> None:
        """They were on their way, or come from a reading that is stale."""
        lease = await self.catalog.register(Host("h", "a", "z"), 1.0)
        self.state.learn_era(4)
        for call in (
            lambda: self.catalog.read(False),
            lambda: self.catalog.watch(StorePosition(4, 0), WAIT_MS),
            lambda: self.catalog.register(Host("h", "a", "z"), 1.0),
            lambda: self.catalog.renew(lease),
        ):
            with self.assertRaises(CatalogError):
                await call()
        lines = [line for line in self.log.lines if "earlier_era" in line]
        self.assertEqual(len(lines), 1)
        self.assertEqual(self.state.store_era, 4)

    async def test_answer_without_an_era_is_of_the_era_that_is_known(
        self,
    ) -> None:
        self.assertEqual((await self.catalog.read(True)).position.era, 1)
        self.store.era = UNKNOWN_ERA
        position = (await self.catalog.read(True)).position
        self.assertEqual(position.era, 1)
        batch = await self.catalog.watch(position, WAIT_MS)
        self.assertEqual(batch.position.era, 1)
        with self.assertRaises(HistoryLostError):
            await self.catalog.watch(StorePosition(1, 90), WAIT_MS)

    async def test_renewal_names_the_era_of_the_answer(self) -> None:
        lease = await self.catalog.register(Host("h", "a", "z"), 1.0)
        self.assertEqual(lease, Lease(lease.number, 1))
        await self.store.restore(self.store.copy())
        self.assertEqual(await self.catalog.renew(lease), 2)
        self.assertEqual(self.state.store_era, 2)


if __name__ == "__main__":
    unittest.main()
