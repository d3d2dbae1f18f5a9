"""Tests that a lookup names no host that was lost while the store was away."""

import asyncio
import unittest

from wigeongw.gateway.host_case import HostCase

OUTAGE_S = 3.0
# Within this time after the store's return no lost host may be named.
NAMED_LIMIT_S = 3.0


class HostCheckerTest(HostCase):
    host_count = 4

    def named(self, number: int) -> set[str]:
        return {h.name for h in self.hosts[number].state.nameable_hosts()}

    async def test_host_lost_in_an_outage_is_named_until_its_lease_ends(
        self,
    ) -> None:
        """Its lease pauses; clients were sent to it for four more seconds."""
        await self.publish_all()
        names = {host.state.host_config.name for host in self.hosts}
        await self.until(lambda: all(self.named(n) == names for n in range(4)))
        self.catalog.down = True
        lost = self.host_tasks.pop()
        lost.cancel()
        await asyncio.gather(lost, return_exceptions=True)
        await asyncio.sleep(OUTAGE_S)
        self.catalog.down = False
        await asyncio.sleep(NAMED_LIMIT_S)
        remaining = names - {"h3"}
        for number in range(3):
            # The entry is still there, as the lease has not ended.
            self.assertIn("h3", self.hosts[number].state.view.hosts)
            self.assertEqual(self.named(number), remaining)

    async def test_all_hosts_are_named_when_the_store_was_not_away(
        self,
    ) -> None:
        await self.publish_all()
        await self.until(
            lambda: all(len(self.named(n)) == 4 for n in range(4))
        )
        await self.catalog.cut_watches(True)
        await asyncio.sleep(1.5)
        await self.catalog.cut_watches(False)
        for host in self.hosts:
            self.assertEqual(host.state.hosts_answered, {})


if __name__ == "__main__":
    unittest.main()
