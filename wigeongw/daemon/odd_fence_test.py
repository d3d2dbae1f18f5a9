"""Keys of other writers do not stop a host from following the store."""

import random
import unittest

from wigeongw.adapters.host_list import MemoryHostList
from wigeongw.adapters.memory_store import MemoryStore
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.site_tracker import SiteTracker
from wigeongw.daemon.store_sync import FENCE_PREFIX
from wigeongw.daemon.store_sync import StoreSync
from wigeongw.decisions.site_state import SiteState
from wigeongw.ports.store import Put
from wigeongw.settings.revisions import CURRENT_KEY

PREFIX = "p/"


class OddFenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = Clock()
        self.store = MemoryStore(clock)
        me = EntryHost("h", "127.0.0.1:1", "127.0.0.1:2", "amman")
        decision_log = DecisionLog(clock, Metrics(), 100)
        self.tracker = SiteTracker(SiteState(me), clock, decision_log)
        self.sync = StoreSync(
            self.store,
            MemoryHostList(HostListing()),
            PREFIX,
            self.tracker,
            clock,
            random.Random(1),
        )

    async def put(self, key: str, value: bytes) -> None:
        await self.store.commit((Put(PREFIX + key, value, 0),))

    async def test_fence_that_names_no_host_does_not_end_the_watch(
        self,
    ) -> None:
        """The error ended the task, and with it the host."""
        await self.put(FENCE_PREFIX + "odd", b"\xff\xfe")
        await self.put(CURRENT_KEY, b"[" * 4_000)
        await self.put(FENCE_PREFIX + "sound", b"h")
        await self.sync.read_once()
        fences = self.tracker.site.fences
        self.assertEqual([f.host for f in fences.values()], ["h"])


if __name__ == "__main__":
    unittest.main()
