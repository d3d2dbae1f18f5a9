"""Tests of a site of processes whose store comes back from a copy."""

import asyncio
from typing import Any
import unittest

from standins.site_case import SiteCase

POOL = "dial-watch@zarqa"
# A reading, the wait after it, and a renewal of the lease.
RECOVERY_MS = 20_000.0


class StoreReturnProcessTest(SiteCase):
    settings_tables = {
        "services": {
            "dial-watch": {
                "paths": ["/dial-watch"],
                "slots": 4,
                "deadline_ms": 2000.0,
                "deadline_most_ms": 4000.0,
            }
        },
    }

    async def fence(self, host: str) -> Any:
        """Return the fence of the pool as a host knows it."""
        status = await self.site.status(host)
        pools = {pool["pool"]: pool for pool in status["pools"]}
        return pools[POOL]["fence"]

    async def test_hosts_disagree_on_grantors_until_the_store_counts_up(
        self,
    ) -> None:
        """Fences moved after the copy; a cold upstream is in use."""
        await self.site.copy_store()
        for _ in range(3):
            await self.site.expire_all_leases()
            await asyncio.sleep(0.5)
            await self.site.wait_grantors()
        async with self.load(concurrency=30) as load:
            await self.site.restore_store()
            await self.site.control("zarqa-1", "cold", {"restart": True})
            await self.site.wait_status(
                self.hosts[0],
                lambda status: all(
                    pool["fence"] and pool["fence"]["era"] == 1
                    for pool in status["pools"]
                ),
                RECOVERY_MS,
            )
            await self.site.wait_grantors(RECOVERY_MS)
        self.assertGreater(load.success_count, 0)
        fences = [await self.fence(host) for host in self.hosts]
        self.assertEqual(
            {(fence["host"], fence["era"]) for fence in fences},
            {(await self.site.grantor(POOL), 1)},
        )
        counters = await self.site.all_upstream_counters()
        self.assertLessEqual(max(c["most_cold"] for c in counters.values()), 1)


if __name__ == "__main__":
    unittest.main()
