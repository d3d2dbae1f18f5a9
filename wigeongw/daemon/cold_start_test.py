"""An upstream in its cold start never gets more than it bears.

The stand-ins bear one request at a time until they have done a good deal of
work, and count every time they had more.
"""

import asyncio
import unittest

from standins.site_case import SERVICE
from standins.site_case import SiteCase

COLD_WORK = 40


class ColdStartTest(SiteCase):
    zones = ("zarqa",)
    hosts_per_zone = 6
    rules = {"work_ms": 10.0, "cold_work": COLD_WORK, "cold_bears": 1}
    tables = {
        "cold_start": {"work_per_step": COLD_WORK + 5},
        "services": {
            SERVICE: {
                "paths": [f"/{SERVICE}"],
                "deadline_ms": 4000.0,
                "deadline_most_ms": 4000.0,
            }
        },
    }

    async def check(self) -> None:
        for name, seen in (await self.site.all_seen()).items():
            with self.subTest(name):
                self.assertLessEqual(seen["most_cold"], 1)
                self.assertEqual(seen["overloads"], 0)

    async def work_done(self) -> int:
        seen = await self.site.all_seen()
        return sum(s["finished"] for s in seen.values())

    async def test_mass_arrival_on_fresh_upstreams(self) -> None:
        async with self.load(width=60):
            await self.site.wait_warm(self.hosts[0])
        await self.check()

    async def test_without_permits_the_same_load_overloads(self) -> None:
        """The mechanism switched off: what these tests would catch."""
        await self.site.publish(
            self.text(permits={"sharing": "least_in_flight"})
        )
        await self.site.wait_revision(2, self.hosts)
        async with self.load(width=60):
            await asyncio.sleep(1.0)
        seen = await self.site.all_seen()
        self.assertGreater(max(s["overloads"] for s in seen.values()), 0)

    async def test_grantor_killed_in_the_ramp(self) -> None:
        grantor = await self.site.grantor("dial-watch@zarqa")
        others = [name for name in self.hosts if name != grantor]
        async with self.load(others, width=30):
            await asyncio.sleep(0.3)
            self.site.processes[grantor].kill()
            before = await self.work_done()
            await asyncio.sleep(9.0)
        self.assertGreater(await self.work_done(), before)
        await self.check()

    async def test_grantor_paused_past_its_lifetime(self) -> None:
        """While it sleeps another takes over; then two believe."""
        grantor = await self.site.grantor("dial-watch@zarqa")
        others = [name for name in self.hosts if name != grantor]
        async with self.load(others, width=30):
            await asyncio.sleep(0.3)
            self.site.processes[grantor].pause()
            await asyncio.sleep(6.0)
            successor = await self.site.grantor("dial-watch@zarqa")
            self.site.processes[grantor].resume()
            await asyncio.sleep(2.0)
        self.assertNotEqual(successor, grantor)
        await self.check()

    async def test_holder_paused_with_a_request_in_flight(self) -> None:
        grantor = await self.site.grantor("dial-watch@zarqa")
        holder = next(name for name in self.hosts if name != grantor)
        others = [name for name in self.hosts if name != holder]
        slow = asyncio.create_task(
            self.send(holder, "GET", "/dial-watch/slow?work_ms=3000")
        )
        await asyncio.sleep(0.3)
        self.site.processes[holder].pause()
        async with self.load(others, width=20):
            await asyncio.sleep(4.0)
            self.site.processes[holder].resume()
            await asyncio.sleep(0.5)
        await asyncio.gather(slow, return_exceptions=True)
        await self.check()

    async def test_restarted_upstream_is_cold_for_everyone(self) -> None:
        """A new start identity stops everybody within a moment."""
        async with self.load(width=30):
            await self.site.wait_warm(self.hosts[0])
            await self.site.control("zarqa-1", "cold", {"restart": True})
            await asyncio.sleep(0.5)
            before = await self.site.seen("zarqa-1")
            await asyncio.sleep(1.0)
            after = await self.site.seen("zarqa-1")
        self.assertEqual(after["overloads"], before["overloads"])
        self.assertTrue(after["finished"] >= before["finished"])


if __name__ == "__main__":
    unittest.main()
