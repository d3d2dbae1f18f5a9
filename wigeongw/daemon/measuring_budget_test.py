"""Measuring never costs more than its budget, counted at the upstreams."""

import asyncio
import unittest

from standins.site_case import SiteCase

CALLS = 12
CALL_BYTES = 512
# Calls reach the stand-ins a little after they were counted; two that were a
# full second apart may arrive closer by the difference of their ways.
JITTER_MS = 20.0


class MeasuringBudgetTest(SiteCase):
    upstreams_per_zone = 3
    hosts_per_zone = 2
    tables = {
        "measuring": {
            "calls_per_s": CALLS,
            "bytes_per_s": CALLS * CALL_BYTES,
            "call_bytes_most": CALL_BYTES,
        }
    }

    async def times(self) -> list[float]:
        seen = await self.site.all_seen()
        return sorted(t for s in seen.values() for t in s["report_times"])

    async def check(self) -> None:
        times = await self.times()
        self.assertGreater(len(times), CALLS)
        worst = 0
        for place, begin in enumerate(times):
            ends = begin + 1_000.0 - JITTER_MS
            worst = max(worst, sum(begin <= t < ends for t in times[place:]))
        self.assertLessEqual(worst, CALLS)

    async def test_members_join_leave_and_pause(self) -> None:
        await asyncio.sleep(2.0)
        grantor = await self.site.grantor("dial-watch@amman")
        self.site.processes[grantor].pause()
        await self.site.start_host("entry-amman-9", "amman")
        other = await self.site.grantor("dial-watch@irbid")
        self.site.processes[other].kill()
        await asyncio.sleep(5.0)
        self.site.processes[grantor].resume()
        await asyncio.sleep(3.0)
        await self.check()

    async def test_leases_lapse_and_the_store_goes_away(self) -> None:
        await asyncio.sleep(2.0)
        await self.site.lapse_leases()
        await asyncio.sleep(1.0)
        await self.site.store_faults(down=True)
        await asyncio.sleep(5.0)
        await self.site.store_faults()
        await asyncio.sleep(3.0)
        await self.check()


if __name__ == "__main__":
    unittest.main()
