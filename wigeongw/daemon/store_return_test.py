"""Tests of hosts whose store comes back from an older copy of itself."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
import random
import unittest

from standins.virtual_time import VirtualClock
from standins.virtual_time import VirtualTimeLoop
from wigeongw.adapters.host_list import MemoryHostList
from wigeongw.adapters.memory_store import MemoryStore
from wigeongw.core.identifiers import pool_name
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.site_tracker import SiteTracker
from wigeongw.daemon.store_sync import FENCE_PREFIX
from wigeongw.daemon.store_sync import StoreSync
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.site_state import SiteState
from wigeongw.ports.peers import Heartbeat
from wigeongw.ports.store import Put
from wigeongw.settings import revisions

PREFIX = "t/"
POOL = pool_name("dial-watch", "amman")
SETTINGS = """
site = "qadri"
[availability_zones.amman]
[services.dial-watch]
paths = ["/dial-watch"]
[addresses]
lifetime_ms = {}
"""
HEARTBEAT_S = 0.25
SAMPLE_S = 0.02
# A pool has an owner again by then: a reading, the wait, a renewal.
RECOVERY_S = 16.0
# New settings are in force by then, also without a watch that sees them.
READING_S = 6.0
HOSTS = tuple(
    EntryHost(f"h{n}", f"127.0.0.1:{n}", f"127.0.0.1:10{n}", "amman")
    for n in (1, 2, 3)
)


class FakePeers:
    """Peers that the test connects by itself."""

    def set_hosts(self, hosts: object) -> None:
        """Ignore the other hosts."""


class SyncedHost:
    """The part of an entry host that follows the store."""

    def __init__(self, me: EntryHost, store: MemoryStore) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        self.clock = VirtualClock(loop)
        self.tracker = SiteTracker(
            SiteState(me),
            self.clock,
            DecisionLog(self.clock, Metrics(), 100),
        )
        self.tracker.peers = FakePeers()  # type: ignore[assignment]
        self.sync = StoreSync(
            store,
            MemoryHostList(HostListing(HOSTS, ())),
            PREFIX,
            self.tracker,
            self.clock,
            random.Random(me.name),
        )

    def start(self, stack: AsyncExitStack) -> None:
        """Run all tasks until the stack closes."""
        for function in (
            self.sync.run_host_list,
            self.sync.run_watch,
            self.sync.run_reads,
            self.sync.run_lease,
            self.sync.run_fences,
        ):
            task = asyncio.create_task(function())
            stack.callback(task.cancel)

    def hear(self, other: "SyncedHost") -> None:
        """Receive a heartbeat, and settings that are newer."""
        site = other.tracker.site
        self.tracker.on_heartbeat(
            Heartbeat(
                site.me.name,
                site.revision,
                False,
                0.0,
                (),
                (),
                tuple(site.fences.values()),
            )
        )
        revision = other.tracker.revision_above(self.tracker.site.revision)
        if revision is not None:
            self.tracker.on_revision(revision)

    def owns_pool(self) -> bool:
        site = self.tracker.site
        now = self.clock.now()
        is_exclusive = sites.are_fences_exclusive(site, now)
        return sites.owns_fence(site, POOL, is_exclusive)


class StoreReturnTest(unittest.TestCase):
    """Three hosts follow one store, in virtual time."""

    def play(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            async with AsyncExitStack() as self.stack:
                await self.begin()
                await scenario()

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(run())

    async def begin(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        self.store = MemoryStore(VirtualClock(loop))
        self.owner_counts: list[int] = []
        await self.publish(1, 1_001.0)
        self.copy_without_leases = self.store.copy()
        self.hosts = [SyncedHost(me, self.store) for me in HOSTS]
        for host in self.hosts:
            host.start(self.stack)
            # Their readings do not fall together.
            await asyncio.sleep(1.1)
        for function in (
            self.store.run_expiry,
            self.run_heartbeats,
            self.run_sampling,
        ):
            task = asyncio.create_task(function())
            self.stack.callback(task.cancel)

    async def run_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for host in self.hosts:
                for other in self.hosts:
                    if host is not other:
                        host.hear(other)

    async def run_sampling(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.owner_counts.append(sum(h.owns_pool() for h in self.hosts))

    async def publish(self, number: int, lifetime_ms: float) -> None:
        """Publish a revision that follows the store's current one."""
        base = await revisions.read_current_revision(self.store, PREFIX)
        revision = revisions.next_revision(
            base.revision, SETTINGS.format(lifetime_ms), "x", "y", lifetime_ms
        )
        self.assertEqual(revision.number, number)
        await revisions.publish(self.store, PREFIX, base, revision)

    async def write_more(self) -> None:
        """Count the store up by unrelated changes."""
        for number in range(40):
            await self.store.commit((Put(f"x/{number}", b"1", 0),))

    def stored_owner(self) -> str:
        entry = self.store.entries.get(f"{PREFIX}{FENCE_PREFIX}{POOL}")
        return entry.value.decode() if entry is not None else ""

    def known_owners(self) -> set[str]:
        return {
            host.tracker.site.fences[POOL].host
            for host in self.hosts
            if POOL in host.tracker.site.fences
        }

    def lifetimes(self) -> set[float]:
        """Return the value in force at each host."""
        return {
            host.tracker.site.settings.addresses.lifetime_ms
            for host in self.hosts
            if host.tracker.site.settings is not None
        }

    async def expect_one_owner(self) -> None:
        """Expect one owner in the end, and at no time two."""
        await asyncio.sleep(RECOVERY_S)
        self.assertNotEqual(self.stored_owner(), "")
        self.assertEqual(self.known_owners(), {self.stored_owner()})
        self.assertEqual(self.owner_counts[-1], 1)
        self.assertLessEqual(max(self.owner_counts), 1)

    def test_hosts_disagree_on_the_owner_of_a_fence_that_the_copy_lacks(
        self,
    ) -> None:
        async def scenario() -> None:
            copy = self.store.copy()
            await self.write_more()
            await self.expect_one_owner()
            self.store.restore(copy)
            await self.expect_one_owner()

        self.play(scenario)

    def test_hosts_disagree_on_an_owner_that_the_copy_brings_back(
        self,
    ) -> None:
        async def scenario() -> None:
            await self.expect_one_owner()
            former = self.stored_owner()
            copy = self.store.copy()
            await self.write_more()
            key = f"{PREFIX}{FENCE_PREFIX}{POOL}"
            entry = self.store.entries[key]
            other = next(h for h in self.hosts if not h.owns_pool())
            value = other.tracker.site.me.name.encode()
            put = Put(key, value, entry.revision, other.sync.lease_id)
            await self.store.commit((put,))
            await asyncio.sleep(1.0)
            self.assertNotEqual(self.known_owners(), {former})
            self.store.restore(copy)
            await self.expect_one_owner()

        self.play(scenario)

    def test_settings_published_under_a_lost_number_are_ignored(self) -> None:
        async def scenario() -> None:
            await asyncio.sleep(READING_S)
            copy = self.store.copy()
            await self.publish(2, 1_002.0)
            await self.publish(3, 1_003.0)
            await asyncio.sleep(READING_S)
            self.assertEqual(self.lifetimes(), {1_003.0})
            self.store.restore(copy)
            await asyncio.sleep(READING_S)
            self.assertEqual(self.lifetimes(), {1_003.0})
            await self.publish(2, 1_004.0)
            await asyncio.sleep(READING_S)
            self.assertEqual(self.lifetimes(), {1_004.0})
            await self.publish(3, 1_005.0)
            await asyncio.sleep(READING_S)
            self.assertEqual(self.lifetimes(), {1_005.0})
            # The clock of this operator is late.
            await self.publish(4, 1_000.5)
            await asyncio.sleep(READING_S)
            self.assertEqual(self.lifetimes(), {1_000.5})

        self.play(scenario)

    def test_lease_number_that_was_given_out_again_backs_fences(self) -> None:
        """Its owner's end would have released the fences of this host."""

        async def scenario() -> None:
            await self.expect_one_owner()
            before = {host.sync.lease_id for host in self.hosts}
            self.store.restore(self.copy_without_leases)
            given_out = {await self.store.grant_lease(1e6) for _ in self.hosts}
            self.assertEqual(given_out, before)
            await self.expect_one_owner()
            leases = {host.sync.lease_id for host in self.hosts}
            self.assertEqual(leases & given_out, set())

        self.play(scenario)


class NewLeaseTest(unittest.TestCase):
    """One host whose lease has ended while it did not reach the store."""

    def test_host_relies_on_a_fence_that_has_a_new_owner(self) -> None:
        """A new lease backed the fences that the host had known before."""
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(self.play())

    async def play(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        store = MemoryStore(VirtualClock(loop))
        base = await revisions.read_current_revision(store, PREFIX)
        revision = revisions.next_revision(
            base.revision, SETTINGS.format(1_001.0), "x", "y", 0.0
        )
        await revisions.publish(store, PREFIX, base, revision)
        host = SyncedHost(HOSTS[0], store)
        async with AsyncExitStack() as stack:
            host.start(stack)
            await asyncio.sleep(RECOVERY_S)
            self.assertTrue(host.owns_pool())
        await store.expire_all_leases()
        key = f"{PREFIX}{FENCE_PREFIX}{POOL}"
        await store.commit((Put(key, HOSTS[1].name.encode(), 0),))
        await asyncio.sleep(RECOVERY_S)
        self.assertFalse(host.owns_pool())
        async with AsyncExitStack() as stack:
            # The host's other tasks have not read the store again yet.
            task = asyncio.create_task(host.sync.run_lease())
            stack.callback(task.cancel)
            for _ in range(round(RECOVERY_S / SAMPLE_S)):
                await asyncio.sleep(SAMPLE_S)
                self.assertFalse(host.owns_pool())
            self.assertNotEqual(host.sync.lease_id, 0)


if __name__ == "__main__":
    unittest.main()
