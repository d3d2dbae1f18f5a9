"""Tests that a cold upstream never receives more requests than it can handle.

A stand-in upstream handles one request at a time until it has finished enough
requests to be warm. It counts each time it receives more as an overload.
"""

import asyncio
import unittest

from standins.site_case import SERVICE
from standins.site_case import SiteCase

COLD_WORK = 40


class ColdStartTest(SiteCase):
    zones = ("zarqa",)
    hosts_per_zone = 6
    upstream_options = {
        "work_ms": 10.0,
        "cold_work": COLD_WORK,
        "cold_bears": 1,
    }
    settings_tables = {
        "cold_start": {"work_per_step": COLD_WORK + 5},
        "services": {
            SERVICE: {
                "paths": [f"/{SERVICE}"],
                "deadline_ms": 4000.0,
                "deadline_most_ms": 4000.0,
            }
        },
    }

    async def assert_no_overload(self) -> None:
        for name, seen in (await self.site.all_upstream_counters()).items():
            with self.subTest(name):
                self.assertLessEqual(seen["most_cold"], 1)
                self.assertEqual(seen["overloads"], 0)

    async def finished_requests(self) -> int:
        seen = await self.site.all_upstream_counters()
        return sum(s["finished"] for s in seen.values())

    async def test_load_burst_on_cold_upstreams(self) -> None:
        async with self.load(concurrency=60):
            await self.site.wait_warm(self.hosts[0])
        await self.assert_no_overload()

    async def test_same_load_without_permits_overloads(self) -> None:
        """Control: without permits these tests would detect overloads."""
        await self.site.publish(
            self.render_settings(permits={"sharing": "least_in_flight"})
        )
        await self.site.wait_revision(2, self.hosts)
        async with self.load(concurrency=60):
            await asyncio.sleep(1.0)
        seen = await self.site.all_upstream_counters()
        self.assertGreater(max(s["overloads"] for s in seen.values()), 0)

    async def test_grantor_killed_during_warm_up(self) -> None:
        grantor = await self.site.grantor("dial-watch@zarqa")
        others = [name for name in self.hosts if name != grantor]
        async with self.load(others, concurrency=30):
            await asyncio.sleep(0.3)
            self.site.processes[grantor].kill()
            before = await self.finished_requests()
            await asyncio.sleep(9.0)
        self.assertGreater(await self.finished_requests(), before)
        await self.assert_no_overload()

    async def test_grantor_paused_beyond_its_lease(self) -> None:
        """Another host takes over during the pause; afterwards two hosts
        regard themselves as the grantor.
        """
        grantor = await self.site.grantor("dial-watch@zarqa")
        others = [name for name in self.hosts if name != grantor]
        async with self.load(others, concurrency=30):
            await asyncio.sleep(0.3)
            self.site.processes[grantor].pause()
            await asyncio.sleep(6.0)
            successor = await self.site.grantor("dial-watch@zarqa")
            self.site.processes[grantor].resume()
            await asyncio.sleep(2.0)
        self.assertNotEqual(successor, grantor)
        await self.assert_no_overload()

    async def test_holder_paused_with_a_request_in_flight(self) -> None:
        grantor = await self.site.grantor("dial-watch@zarqa")
        holder = next(name for name in self.hosts if name != grantor)
        others = [name for name in self.hosts if name != holder]
        slow = asyncio.create_task(
            self.send(holder, "GET", "/dial-watch/slow?work_ms=3000")
        )
        await asyncio.sleep(0.3)
        self.site.processes[holder].pause()
        async with self.load(others, concurrency=20):
            await asyncio.sleep(4.0)
            self.site.processes[holder].resume()
            await asyncio.sleep(0.5)
        await asyncio.gather(slow, return_exceptions=True)
        await self.assert_no_overload()

    async def test_restarted_upstream_is_cold_for_all_hosts(self) -> None:
        """A new start identity makes all hosts treat the upstream as cold
        within 500 ms.
        """
        async with self.load(concurrency=30):
            await self.site.wait_warm(self.hosts[0])
            await self.site.control("zarqa-1", "cold", {"restart": True})
            await asyncio.sleep(0.5)
            before = await self.site.upstream_counters("zarqa-1")
            await asyncio.sleep(1.0)
            after = await self.site.upstream_counters("zarqa-1")
        self.assertEqual(after["overloads"], before["overloads"])
        self.assertTrue(after["finished"] >= before["finished"])


if __name__ == "__main__":
    unittest.main()
