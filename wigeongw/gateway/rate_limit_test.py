"""Tests that all hosts together keep the rate limits of upstreams."""

import asyncio
import unittest
from unittest import mock

from standins.counting import max_in_window
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.site import RateLimit
from wigeongw.core.site import Target
from wigeongw.gateway.host_case import HostCase

WINDOW_MS = 4_000.0
# What an upstream may get beyond its limit in a window.
MAX_LIMIT_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
HOST_COUNT = 3
SLOW = "0,0,4,1.5"
FULL = "4,0,4,1"
FREE = "0,0,4,1"


class RateLimitTest(HostCase):
    host_count = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.publish_all()
        await self.until(
            lambda: all(
                len(host.state.view.hosts) == self.host_count
                for host in self.hosts
            )
        )

    async def send_at_rate(self, per_s: float, duration_ms: float) -> None:
        """Send requests to the hosts in turn, without waiting for answers."""
        tasks = []
        for number in range(int(per_s * duration_ms / MS_PER_S)):
            entry = self.hosts[number % self.host_count]
            sending = self.send(
                f"/read/{number}", request_id=f"id-{number}", entry=entry
            )
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(1.0 / per_s)
        responses = await asyncio.gather(*tasks)
        self.statuses = [status for status, _, _ in responses]

    def assert_within_limit(self, per_s: float) -> None:
        """Check what the first upstream received in any window."""
        self.assertLessEqual(
            max_in_window(self.upstreams[0].arrivals, WINDOW_MS),
            MAX_LIMIT_FACTOR * per_s * WINDOW_MS / MS_PER_S
            + MAX_EXTRA_REQUESTS,
        )

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
                target.self_report.rate_limit = RateLimit(
                    1.0, host.clock.now()
                )
            return connection

        self.upstreams[1].load = SLOW
        with mock.patch.object(pool, "acquire", hear_limit_while_connecting):
            status, _, _ = await self.send("/read/1")
        self.assertEqual(status, 200)
        self.assertEqual(self.upstreams[0].arrivals, [])

    async def test_cold_upstream_exceeds_the_rate_limit_that_it_names(
        self,
    ) -> None:
        self.upstreams[0].rate_limits = ("2",)
        self.upstreams[0].cold_ms = 9_000
        self.upstreams[1].load = FULL
        await self.send_at_rate(30.0, 4_500.0)
        self.assert_within_limit(2.0)
        self.assertGreater(len(self.upstreams[0].arrivals), 0)

    async def test_client_waits_although_no_grant_can_come_in_time(
        self,
    ) -> None:
        for upstream in self.upstreams:
            upstream.rate_limits = ("0.5",)
        retry_after_s = []
        for number in range(8):
            started_at = self.host.clock.now()
            status, body, headers = await self.send(f"/read/{number}")
            took_ms = self.host.clock.now() - started_at
            if status == 503:
                self.assertEqual(body, b"rate_limited\n")
                self.assertLess(took_ms, 200.0)
                retry_after_s.append(float(headers["retry-after"]))
        self.assertGreater(len(retry_after_s), 2)
        self.assertGreater(min(retry_after_s), 0.2)

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
