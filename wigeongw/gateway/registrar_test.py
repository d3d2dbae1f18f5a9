"""Tests how often a host calls the store to stay registered."""

import asyncio
from contextlib import AsyncExitStack
import os
import random
import unittest
from unittest import mock

import aiohttp

from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import HostConfig
from wigeongw.gateway import registrar
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.peer_reader import PeerReader
from wigeongw.gateway.registrar import Registrar
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import ZoneEvacuated

OUTAGE_S = 4.0


class RegistrarTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        null_fd = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, null_fd)
        clock = Clock()
        state = GatewayState(
            HostConfig("h", "amman", "127.0.0.1:1", "", ""),
            clock,
            random.Random(1),
            DecisionLog(clock, "h", null_fd),
            Metrics(),
        )
        self.catalog = MemoryCatalog()
        session = await self.stack.enter_async_context(aiohttp.ClientSession())
        follower = Follower(
            state,
            self.catalog,
            UpstreamPool(clock, "x"),
            ChangeLog(),
            PeerReader(state, session),
        )
        self.registrar = Registrar(state, self.catalog, follower)
        await self.catalog.publish(configuration(), ZoneEvacuated("irbid"))
        state.apply_view(self.catalog.view)
        short_intervals = mock.patch.object(
            registrar, "RENEW_INTERVAL_MS", 50.0
        )
        self.stack.enter_context(short_intervals)
        task = asyncio.create_task(self.registrar.run())
        self.stack.callback(task.cancel)
        async with asyncio.timeout(5.0):
            while "h" not in self.catalog.view.hosts:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_refused_host_calls_the_store_ever_less_often(self) -> None:
        self.catalog.down = True
        before = self.catalog.calls
        await asyncio.sleep(OUTAGE_S)
        calls = self.catalog.calls - before
        self.assertGreaterEqual(calls, 3)
        self.assertLessEqual(calls, 6)

    async def test_host_registers_again_soon_after_an_outage(self) -> None:
        self.catalog.down = True
        await asyncio.sleep(OUTAGE_S)
        self.catalog.down = False
        self.catalog.leases.clear()
        async with asyncio.timeout(2.0):
            while not self.catalog.leases:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
