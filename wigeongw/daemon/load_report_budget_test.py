"""Tests that polling for load reports stays within its budget.

The calls are counted at the upstreams.
"""

import asyncio
import unittest

from standins.site_case import SiteCase

MAX_CALLS_PER_S = 12
MAX_CALL_BYTES = 512


class LoadReportBudgetTest(SiteCase):
    upstreams_per_zone = 3
    hosts_per_zone = 2
    settings_tables = {
        "measuring": {
            "calls_per_s": MAX_CALLS_PER_S,
            "bytes_per_s": MAX_CALLS_PER_S * MAX_CALL_BYTES,
            "call_bytes_most": MAX_CALL_BYTES,
        }
    }

    async def report_times(self) -> list[float]:
        seen = await self.site.all_upstream_counters()
        return sorted(t for s in seen.values() for t in s["report_times"])

    async def assert_within_budget(self) -> None:
        report_times = await self.report_times()
        self.assertGreater(len(report_times), MAX_CALLS_PER_S)
        max_calls = 0
        for index, window_start in enumerate(report_times):
            window_end = window_start + 1_000.0
            max_calls = max(
                max_calls,
                sum(
                    window_start <= t < window_end
                    for t in report_times[index:]
                ),
            )
        self.assertLessEqual(max_calls, MAX_CALLS_PER_S)

    async def test_entry_hosts_join_stop_and_pause(self) -> None:
        await asyncio.sleep(2.0)
        grantor = await self.site.grantor("dial-watch@amman")
        self.site.processes[grantor].pause()
        await self.site.start_host("entry-amman-9", "amman")
        killed = await self.site.grantor("dial-watch@irbid")
        self.site.processes[killed].kill()
        await asyncio.sleep(5.0)
        self.site.processes[grantor].resume()
        await asyncio.sleep(3.0)
        await self.assert_within_budget()

    async def test_leases_expire_and_the_store_is_unavailable(self) -> None:
        await asyncio.sleep(2.0)
        await self.site.expire_all_leases()
        await asyncio.sleep(1.0)
        await self.site.set_platform_faults(down=True)
        await asyncio.sleep(5.0)
        await self.site.set_platform_faults()
        await asyncio.sleep(3.0)
        await self.assert_within_budget()


if __name__ == "__main__":
    unittest.main()
