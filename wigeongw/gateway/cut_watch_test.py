"""Tests that a cut watch delays no removal, while an outage does."""

import asyncio
from contextlib import AsyncExitStack
import unittest

from standins.virtual_time import VirtualTimeLoop
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.decisions.site_view import REMOVAL_GRACE_MS
from wigeongw.gateway.follower import PENDING_CHANGE_CHECK_INTERVAL_MS
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.simulated_site import Site
from wigeongw.ports.catalog import TargetGone

# Within this time a removal must be in force at every host.
DRAIN_LIMIT_MS = 2_000.0
# Entries may expire in an outage of this length.
OUTAGE_S = 4.0
SITE_SIZES = (12, 17, 130, 313)
CUT_S = 0.05
# Long enough for every host to have met a cut watch.
LONG_CUT_S = 3.0


class CutWatchTest(HostCase):
    host_count = 12

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clock = Clock()
        await self.publish_all()
        await self.until(
            lambda: all(
                len(host.state.view.hosts) == self.host_count
                for host in self.hosts
            )
        )

    async def test_removal_after_cut_watches_takes_effect_in_time(
        self,
    ) -> None:
        """Requests went to the upstream for up to 2.5 s."""
        for cut_s in (CUT_S, 1.0, LONG_CUT_S):
            with self.subTest(cut_s=cut_s):
                self.catalog.cut_count = 0
                await self.catalog.cut_watches(True)
                await self.until(lambda: self.catalog.cut_count > 0)
                await asyncio.sleep(cut_s)
                await self.catalog.cut_watches(False)
                await self._expect_removal_in_time()

    async def test_removal_while_watches_are_cut_takes_effect_in_time(
        self,
    ) -> None:
        await self.catalog.cut_watches(True)
        await self.until(lambda: self.catalog.cut_count > 0)
        await asyncio.sleep(LONG_CUT_S)
        await self._expect_removal_in_time()

    async def test_removal_after_lost_history_takes_effect_in_time(
        self,
    ) -> None:
        """The whole store is read again, and lacks the upstream."""
        await self.catalog.cut_watches(True)
        await self.until(lambda: self.catalog.cut_count > 0)
        await asyncio.sleep(LONG_CUT_S)
        self.catalog.loses_history = True
        await self.catalog.cut_watches(False)
        await self._expect_removal_in_time()

    async def test_entry_that_expired_in_an_outage_is_kept(self) -> None:
        self.catalog.down = True
        await asyncio.sleep(OUTAGE_S)
        self.catalog.down = False
        await self.catalog.publish(TargetGone("one"))
        returned_at = self.clock.now()
        await self.until(lambda: not self._hosts_that_wait())
        for host in self.hosts:
            self.assertIn("one", host.state.targets)
        await self.until(lambda: not self._hosts_that_have("one"))
        kept_ms = self.clock.now() - returned_at
        self.assertGreater(kept_ms, REMOVAL_GRACE_MS - 1_000.0)
        self.assertLess(
            kept_ms,
            DRAIN_LIMIT_MS
            + REMOVAL_GRACE_MS
            + PENDING_CHANGE_CHECK_INTERVAL_MS,
        )

    async def _expect_removal_in_time(self) -> None:
        """Remove an upstream, expect that all hosts drop it, restore it."""
        await self.catalog.publish(TargetGone("one"))
        removed_at = self.clock.now()
        await self.until(lambda: not self._hosts_that_have("one"))
        self.assertLess(self.clock.now() - removed_at, DRAIN_LIMIT_MS)
        await self.catalog.publish(self.upstreams[0].target())
        await self.until(
            lambda: len(self._hosts_that_have("one")) == self.host_count
        )

    def _hosts_that_have(self, identity: str) -> list[str]:
        return [
            host.state.host_config.name
            for host in self.hosts
            if identity in host.state.targets
        ]

    def _hosts_that_wait(self) -> list[str]:
        """Return the hosts that have not heard of the removal yet."""
        return [
            host.state.host_config.name
            for host in self.hosts
            if TargetGone("one") not in host.state.view.pending
        ]


class LargeCutWatchTest(unittest.TestCase):
    """Sites of many hosts, in virtual time."""

    def test_removal_after_cut_watches_takes_effect_in_time(self) -> None:
        for size in SITE_SIZES:
            with self.subTest(size=size):
                with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                    runner.run(self._play(size))

    async def _play(self, size: int) -> None:
        async with AsyncExitStack() as stack:
            site = Site(size, stack)
            await site.begin()
            for cut_s in (CUT_S, LONG_CUT_S):
                await site.store.cut_watches(True)
                await asyncio.sleep(cut_s)
                await site.store.cut_watches(False)
                await self._expect_removal_in_time(site)
            await site.store.cut_watches(True)
            await asyncio.sleep(LONG_CUT_S)
            await self._expect_removal_in_time(site)

    async def _expect_removal_in_time(self, site: Site) -> None:
        self.assertGreater(site.store.cut_count, 0)
        site.store.cut_count = 0
        await site.store.publish(TargetGone("a"))
        await asyncio.sleep(DRAIN_LIMIT_MS / MS_PER_S)
        late = [h for h in site.hosts if "a" in h.state.targets]
        self.assertEqual(late, [])
        await site.store.publish(site.target)
        await asyncio.sleep(DRAIN_LIMIT_MS / MS_PER_S)


if __name__ == "__main__":
    unittest.main()
