"""Tests of sites of many hosts that fall behind the log of their relay."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace
import unittest
from unittest import mock

from standins.virtual_time import VirtualTimeLoop
from wigeongw.gateway import change_log
from wigeongw.gateway.simulated_site import configuration
from wigeongw.gateway.simulated_site import PROPAGATION_LIMIT_S
from wigeongw.gateway.simulated_site import Site

SITE_SIZES = (12, 17, 130, 313)
MAX_READS_PER_S = 2_000
# A short log, as a simulated site takes long to apply thousands of changes at
# every host.
KEPT_CHANGES = 40
BURST_CHANGES = 60
# Calls of a host to the store until it follows its relay again.
MAX_WATCHES_PER_HOST = 2


class LargeChangeLogTest(unittest.TestCase):
    def test_hosts_behind_the_log_read_the_whole_store_at_once(self) -> None:
        """More changes come at once than a relay keeps."""
        for size in SITE_SIZES:
            with self.subTest(size=size):
                with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                    runner.run(self.play(size))

    async def play(self, size: int) -> None:
        async with AsyncExitStack() as stack:
            stack.enter_context(
                mock.patch.object(change_log, "MAX_KEPT_CHANGES", KEPT_CHANGES)
            )
            site = Site(size, stack)
            await site.begin()
            site.store.counts.clear()
            burst = [
                replace(site.target, identity=f"t{n}")
                for n in range(BURST_CHANGES)
            ]
            await site.store.publish(*burst, configuration(2))
            await asyncio.sleep(PROPAGATION_LIMIT_S)
            self.assertEqual(site.revisions(), {2})
            for host in site.hosts:
                self.assertGreater(len(host.state.view.targets), BURST_CHANGES)
                log = host.follower.change_log
                self.assertLessEqual(len(log.changes), KEPT_CHANGES)
            self.expect_few_calls(site)

    def expect_few_calls(self, site: Site) -> None:
        """Expect that the store is asked for the changes, not for it all."""
        store = site.store
        self.assertEqual(store.total("read"), 0)
        self.assertLessEqual(
            store.total("watch"), MAX_WATCHES_PER_HOST * len(site.hosts)
        )
        self.assertLessEqual(store.most_per_s("watch"), MAX_READS_PER_S)


if __name__ == "__main__":
    unittest.main()
