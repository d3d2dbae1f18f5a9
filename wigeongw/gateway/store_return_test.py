"""Tests of hosts whose store comes back from an older copy of itself."""

import asyncio
import unittest

from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import HostCase
from wigeongw.ports.catalog import ZoneEvacuated

# Time limit for a change to be in force at every host.
PROPAGATION_LIMIT_S = 2.0


class StoreReturnTest(HostCase):
    host_count = 5

    async def test_change_after_the_return_is_not_in_force(self) -> None:
        """Revisions are given out again, up to the one that hosts had."""
        await self.publish_all()
        await self.until_all_hosts_are_known()
        copy = self.catalog.copy()
        await self.catalog.publish(configuration(2), ZoneEvacuated("irbid"))
        await self.until(lambda: self.all_have(2))
        await asyncio.sleep(1.0)
        await self.catalog.restore(copy)
        await asyncio.sleep(1.0)
        await self.catalog.publish(configuration(3))
        await self.until(lambda: self.all_have(3), PROPAGATION_LIMIT_S)

    async def until_all_hosts_are_known(self) -> None:
        await self.until(
            lambda: all(
                len(host.state.view.hosts) == self.host_count
                for host in self.hosts
            )
        )

    def all_have(self, revision: int) -> bool:
        """Return whether all hosts have a revision of the configuration."""
        configurations = [host.state.view.configuration for host in self.hosts]
        return all(c and c.revision >= revision for c in configurations)


if __name__ == "__main__":
    unittest.main()
