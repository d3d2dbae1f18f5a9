"""Tests that all hosts together keep the rate limits of upstreams."""

import asyncio
from collections.abc import Sequence
from contextlib import AsyncExitStack
import os
import random
import unittest
from unittest import mock

import aiohttp

from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.native_dialect import NativeDialect
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.site import HostConfig
from wigeongw.core.site import RateLimit
from wigeongw.core.site import Target
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import HostDependencies
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import FakeUpstream
from wigeongw.gateway.host_case import free_port
from wigeongw.gateway.host_case import NAMES

WINDOW_MS = 4_000.0
# What an upstream may get beyond its limit in a window.
MAX_LIMIT_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
HOST_COUNT = 3
SLOW = "0,0,4,1.5"
FULL = "4,0,4,1"
FREE = "0,0,4,1"


def max_in_window(times: Sequence[float], window_ms: float) -> int:
    """Return the largest number of times within any window."""
    return max(
        sum(1 for at_ms in times if start <= at_ms < start + window_ms)
        for start in times
    )


class SeveralHostsCase(unittest.IsolatedAsyncioTestCase):
    """Runs several hosts in this process, with two fake upstreams."""

    async def asyncSetUp(self) -> None:
        """Start the upstreams and the hosts, and publish a configuration."""
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.catalog = MemoryCatalog()
        self.upstreams = [FakeUpstream("one"), FakeUpstream("two")]
        for upstream in self.upstreams:
            await upstream.server.start(self.stack)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.null_fd = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, self.null_fd)
        self.hosts = [self._start_host(n) for n in range(HOST_COUNT)]
        targets = [upstream.target() for upstream in self.upstreams]
        await self.catalog.publish(configuration(), *targets)
        async with asyncio.timeout(10.0):
            while not all(  # noqa: ASYNC110
                len(h.state.view.hosts) == HOST_COUNT for h in self.hosts
            ):
                await asyncio.sleep(0.01)

    async def send_at_rate(self, per_s: float, duration_ms: float) -> None:
        """Send requests to the hosts in turn, without waiting for answers."""
        tasks = []
        for number in range(int(per_s * duration_ms / MS_PER_S)):
            host = self.hosts[number % HOST_COUNT]
            tasks.append(asyncio.create_task(self._send(host, number)))
            await asyncio.sleep(1.0 / per_s)
        self.statuses = await asyncio.gather(*tasks)

    def assert_within_limit(self, per_s: float) -> None:
        """Check what the first upstream received in any window."""
        arrivals = self.upstreams[0].arrivals
        if arrivals:
            self.assertLessEqual(
                max_in_window(arrivals, WINDOW_MS),
                MAX_LIMIT_FACTOR * per_s * WINDOW_MS / MS_PER_S
                + MAX_EXTRA_REQUESTS,
            )

    async def _send(self, host: GatewayHost, number: int) -> int:
        url = f"http://{host.state.host_config.front}/read/{number}"
        headers = {"Host": "a.example", NAMES.request_id: f"id-{number}"}
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status

    def _start_host(self, number: int) -> GatewayHost:
        host_config = HostConfig(
            f"h{number}",
            "amman",
            f"127.0.0.1:{free_port()}",
            "127.0.0.1:1",
            "",
            f"127.0.0.1:{free_port()}",
        )
        dependencies = HostDependencies(
            self.catalog, NativeDialect(), lambda state: {}, self.session
        )
        host = GatewayHost(
            host_config, dependencies, Clock(), random.Random(number)
        )
        host.log.fd = self.null_fd
        task = asyncio.create_task(host.run())

        async def stop() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.stack.push_async_callback(stop)
        return host


class RateLimitTest(SeveralHostsCase):
    async def test_hosts_together_exceed_the_rate_limit_of_an_upstream(
        self,
    ) -> None:
        limit_per_s = 4.0
        self.upstreams[0].rate_limits = (str(limit_per_s),)
        self.upstreams[1].load = SLOW
        await self.send_at_rate(40.0, 5_000.0)
        self.assertEqual(set(self.statuses), {200})
        self.assert_within_limit(limit_per_s)

    async def test_retries_of_failed_requests_exceed_the_rate_limit(
        self,
    ) -> None:
        self.upstreams[0].rate_limits = ("3",)
        self.upstreams[0].load = SLOW
        self.upstreams[1].script = [b"CLOSE"]
        await self.send_at_rate(30.0, 4_500.0)
        self.assert_within_limit(3.0)
        self.assertGreater(len(self.upstreams[0].arrivals), 0)

    async def test_hedges_of_late_requests_exceed_the_rate_limit(self) -> None:
        self.upstreams[0].rate_limits = ("3",)
        self.upstreams[0].load = SLOW
        self.upstreams[1].script = [*[b"PAUSE"] * 18, b"DONE"]
        await self.send_at_rate(30.0, 4_500.0)
        self.assert_within_limit(3.0)
        self.assertGreater(len(self.upstreams[0].arrivals), 0)

    async def test_queued_requests_exceed_a_limit_that_is_named_meanwhile(
        self,
    ) -> None:
        for upstream in self.upstreams:
            upstream.load = FULL
        sending = asyncio.create_task(self.send_at_rate(100.0, 500.0))
        await asyncio.sleep(0.3)
        self.upstreams[0].rate_limits = ("2",)
        self.upstreams[0].load = FREE
        await sending
        self.assert_within_limit(2.0)

    async def test_requests_on_their_way_exceed_a_limit_heard_meanwhile(
        self,
    ) -> None:
        host = self.hosts[0]
        target = host.state.targets["one"]
        pool = host.pool
        acquire = pool.acquire

        async def hear_limit_while_connecting(
            found: Target,
        ) -> UpstreamConnection:
            connection = await acquire(found)
            if found.identity == "one":
                target.rate_limit = RateLimit(1.0, host.clock.now())
            return connection

        self.upstreams[1].load = SLOW
        with mock.patch.object(pool, "acquire", hear_limit_while_connecting):
            status = await self._send(host, 1)
        self.assertEqual(status, 200)
        self.assertEqual(self.upstreams[0].arrivals, [])

    async def test_limit_is_used_and_all_else_is_refused_at_once(self) -> None:
        limit_per_s = 6.0
        duration_ms = 5_000.0
        self.upstreams[0].rate_limits = (str(limit_per_s),)
        self.upstreams[1].load = FULL
        await self.send_at_rate(40.0, duration_ms)
        served = self.statuses.count(200)
        self.assertGreaterEqual(
            served, 0.8 * limit_per_s * duration_ms / MS_PER_S
        )
        self.assertEqual(served + self.statuses.count(503), 200)


if __name__ == "__main__":
    unittest.main()
