"""Tests of hosts whose store comes back from an older copy of itself."""

import asyncio
import unittest

from wigeongw.adapters import batch_codec
from wigeongw.adapters.memory_catalog import CatalogCopy
from wigeongw.core.site import Configuration
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.relay import CHANGES_PATH
from wigeongw.gateway.relay import changes_query
from wigeongw.gateway.relay import HTTP_GONE
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

# Time limit for a change to be in force at every host.
PROPAGATION_LIMIT_S = 2.0
# Time limit for the entries of hosts to be in the store after its return.
ENTRIES_LIMIT_S = 2.0


class StoreReturnTestCase(HostCase):
    host_count = 5

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.publish_all()
        await self.until(
            lambda: all(
                len(host.state.view.hosts) == self.host_count
                for host in self.hosts
            )
        )

    def names(self) -> set[str]:
        return {host.state.host_config.name for host in self.hosts}

    def all_have(self, revision: int) -> bool:
        """Return whether all hosts have a revision of the configuration."""
        configurations = [host.state.view.configuration for host in self.hosts]
        return all(c and c.revision >= revision for c in configurations)

    async def lose(self, copy: CatalogCopy) -> None:
        """Write changes that all hosts learn, and lose them."""
        await self.catalog.publish(configuration(2), ZoneEvacuated("irbid"))
        await self.until(lambda: self.all_have(2))
        await self.catalog.restore(copy)


class StoreReturnTest(StoreReturnTestCase):
    async def test_change_after_the_return_is_not_in_force(self) -> None:
        """Revisions are given out again, up to the one that hosts had."""
        await self.lose(self.catalog.copy())
        await asyncio.sleep(1.0)
        await self.catalog.publish(configuration(3))
        await self.until(lambda: self.all_have(3), PROPAGATION_LIMIT_S)

    async def test_change_right_after_the_return_is_not_in_force(self) -> None:
        await self.lose(self.catalog.copy())
        await self.catalog.publish(configuration(3))
        await self.until(lambda: self.all_have(3), PROPAGATION_LIMIT_S)

    async def test_lost_configuration_is_replaced_by_an_older_one(
        self,
    ) -> None:
        await self.lose(self.catalog.copy())
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        for host in self.hosts:
            self.assertEqual(host.state.view.position.era, 2)
        self.assertTrue(self.all_have(2))
        for host in self.hosts:
            self.assertIn("irbid", host.state.view.evacuated)

    async def test_each_host_reads_the_whole_store_after_the_return(
        self,
    ) -> None:
        reads = 0
        read = self.catalog.read

        async def count_read(fresh: bool) -> object:
            nonlocal reads
            reads += 1
            return await read(fresh)

        self.catalog.read = count_read  # type: ignore
        copy = self.catalog.copy()
        self.catalog.down = True
        await asyncio.sleep(1.5)
        self.catalog.down = False
        await self.catalog.restore(copy)
        await self.until(
            lambda: all(h.state.view.position.era == 2 for h in self.hosts)
        )
        self.assertEqual(reads, 1)

    async def test_several_returns_in_a_row_lose_no_change(self) -> None:
        copy = self.catalog.copy()
        for revision in (2, 4, 6):
            await self.catalog.publish(configuration(revision))
            await asyncio.sleep(0.3)
            await self.catalog.restore(copy)
            await asyncio.sleep(0.3)
        await self.catalog.publish(configuration(7))
        await self.until(lambda: self.all_have(7), PROPAGATION_LIMIT_S)
        for host in self.hosts:
            self.assertEqual(host.state.view.position.era, 4)

    async def test_host_that_restarts_after_the_return_has_an_older_revision(
        self,
    ) -> None:
        await self.lose(self.catalog.copy())
        await asyncio.sleep(1.0)
        await self.stop(self.hosts[4])
        late = self.hosts[4] = self._start_host(4)
        await self.until(lambda: late.state.ready)
        assert late.state.view.configuration is not None
        self.assertEqual(late.state.view.configuration.revision, 2)
        self.assertIn("irbid", late.state.view.evacuated)

    async def test_upstream_that_had_left_is_used_again(self) -> None:
        copy = self.catalog.copy()
        await self.catalog.publish(TargetGone("one"))
        await self.until(
            lambda: all("one" not in h.state.targets for h in self.hosts)
        )
        await self.catalog.restore(copy)
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        for host in self.hosts:
            self.assertEqual(host.state.view.position.era, 2)
            self.assertNotIn("one", host.state.targets)

    async def stop(self, host: GatewayHost) -> None:
        task = self.host_tasks[self.hosts.index(host)]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class RelayAnswersTest(StoreReturnTestCase):
    async def ask(self, position: StorePosition) -> ChangeBatch | None:
        """Ask the root for changes; None when its log is too short."""
        root = self.host.state.relay_plan.root
        assert root is not None
        peer = self.host.state.view.hosts[root].peer
        query = changes_query(position, 50.0, is_patient=False)
        async with self.session.get(
            f"http://{peer}{CHANGES_PATH}", params=query
        ) as response:
            if response.status == HTTP_GONE:
                return None
            return batch_codec.decode(await response.read())

    async def test_relay_answers_hosts_of_other_eras_from_its_log(
        self,
    ) -> None:
        await self.lose(self.catalog.copy())
        await self.until(
            lambda: all(h.state.view.position.era == 2 for h in self.hosts)
        )
        revision = self.host.state.view.position.revision
        cases: tuple[tuple[int, int, bool], ...] = (
            (1, revision + 5, True),
            (1, 0, True),
            (2, revision, False),
            (2, revision + 5, False),
            (3, 0, False),
            (3, revision + 5, False),
        )
        for era, after, is_full in cases:
            with self.subTest(era=era, after=after):
                batch = await self.ask(StorePosition(era, after))
                assert batch is not None
                self.assertEqual(batch.is_full, is_full)
                self.assertEqual(batch.position.era, 2)
                if not is_full:
                    self.assertEqual(batch.changes, ())
        batch = await self.ask(StorePosition(1, 0))
        assert batch is not None
        revisions = [
            c.revision for c in batch.changes if isinstance(c, Configuration)
        ]
        self.assertEqual(revisions, [2])
        kept = [pending.change for pending in batch.pending]
        self.assertIn(ZoneRestored("irbid"), kept)


class HostEntriesTest(StoreReturnTestCase):
    def registered(self) -> set[str]:
        """Return the hosts in the store whose leases are theirs."""
        leases = {
            host.state.host_config.name: host.registrar.lease
            for host in self.hosts
        }
        return {
            entry.name
            for entry in self.catalog.view.hosts.values()
            if (lease := leases.get(entry.name)) is not None
            and lease.number == entry.lease
            and lease.era == self.catalog.era
            and self.catalog.leases.get(entry.lease) == entry.name
        }

    async def test_entries_that_the_copy_lacks_stay_lost(self) -> None:
        empty = CatalogCopy(
            type(self.catalog.view)(self.catalog.view.configuration),
            (self.catalog.history[0],),
            {},
        )
        await self.catalog.restore(empty)
        await self.until(
            lambda: self.registered() == self.names(), ENTRIES_LIMIT_S
        )

    async def test_lease_number_of_another_host_is_taken_for_an_own_one(
        self,
    ) -> None:
        """A renewal is answered with success, but renews another lease."""
        leases = {
            number: "someone-else" for number in range(1, self.host_count + 1)
        }
        empty = CatalogCopy(
            type(self.catalog.view)(self.catalog.view.configuration),
            (self.catalog.history[0],),
            leases,
        )
        await self.catalog.restore(empty)
        await self.until(
            lambda: self.registered() == self.names(), ENTRIES_LIMIT_S
        )
        self.assertEqual(
            list(self.catalog.leases.values()).count("someone-else"),
            self.host_count,
        )

    async def test_entries_of_the_copy_are_written_again(self) -> None:
        before = dict(self.catalog.leases)
        await self.catalog.restore(self.catalog.copy())
        await self.until(
            lambda: self.registered() == self.names(), ENTRIES_LIMIT_S
        )
        self.assertEqual(self.catalog.leases, before)

    async def test_host_that_withdrew_is_back(self) -> None:
        copy = self.catalog.copy()
        self.host.request_stop()
        await self.until(lambda: "h" not in self.catalog.view.hosts)
        await self.catalog.restore(copy)
        self.assertIn("h", self.catalog.view.hosts)
        await self.until(
            lambda: "h" not in self.catalog.view.hosts, ENTRIES_LIMIT_S
        )

    async def test_host_that_stops_after_the_return_leaves_its_entry(
        self,
    ) -> None:
        await self.catalog.restore(self.catalog.copy())
        self.host.request_stop()
        await self.until(
            lambda: "h" not in self.catalog.view.hosts, ENTRIES_LIMIT_S
        )


if __name__ == "__main__":
    unittest.main()
