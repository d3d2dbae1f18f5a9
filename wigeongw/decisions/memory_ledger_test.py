"""Tests of the memory that a process holds for crowds of clients."""

import unittest

from hypothesis import given
from hypothesis import strategies

from wigeongw.decisions import connection_limits
from wigeongw.decisions import memory_shares
from wigeongw.decisions.connection_limits import ConnectionTable
from wigeongw.decisions.memory_ledger import MemoryLedger

MEMORY = 1_000_000
OWNERS = "abcde"
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("unread", "undelivered", "forget")),
        strategies.sampled_from(OWNERS),
        strategies.integers(0, MEMORY // 4),
    ),
    max_size=60,
)
KINDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("upload", "unread", "undelivered", "answer")),
        strategies.sampled_from(OWNERS),
        strategies.integers(0, MEMORY // 4),
    ),
    max_size=60,
)
SMALLEST_MEMORY = 152_000_000
SMALLEST_DESCRIPTORS = 2870
LARGEST_BODY = 64 << 20
# A tenth of the smallest memory stays for what is held for others.
LEAST_POOL = SMALLEST_MEMORY // 10


def ledger() -> MemoryLedger[str]:
    return MemoryLedger(lambda: MEMORY)


class MemoryLedgerTest(unittest.TestCase):
    def test_crowd_that_pipelines_loses_its_largest(self) -> None:
        """Load: many connections with little, one with much."""
        held = ledger()
        for owner in "abcd":
            self.assertEqual(held.set_unread(owner, 1_000), [])
        self.assertEqual(held.set_unread("e", MEMORY // 10), ["e"])

    def test_crowd_that_reads_nothing_loses_the_oldest(self) -> None:
        held = ledger()
        self.assertEqual(held.set_undelivered("a", 80_000), [])
        self.assertEqual(held.set_undelivered("b", 60_000), [])
        self.assertEqual(held.set_undelivered("c", 60_000), ["a"])

    def test_uploads_leave_room_for_what_others_hold(self) -> None:
        held = ledger()
        self.assertTrue(held.hold_upload(300_000))
        held.set_undelivered("a", 100_000)
        self.assertFalse(held.hold_upload(60_000))
        held.set_undelivered("a", 0)
        self.assertTrue(held.hold_upload(60_000))

    @given(STEPS)
    def test_bounds_hold_once_what_it_names_is_closed(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        held = ledger()
        for kind, owner, size in steps:
            closed: list[str] = []
            if kind == "unread":
                closed = held.set_unread(owner, size)
            elif kind == "undelivered":
                closed = held.set_undelivered(owner, size)
            else:
                held.forget(owner)
            for excess in closed:
                held.forget(excess)
            self.assertEqual(held.unread_total, sum(held.unread.values()))
            self.assertLessEqual(
                held.unread_total, memory_shares.max_unread(MEMORY)
            )
            self.assertLessEqual(
                held.undelivered_total, memory_shares.max_undelivered(MEMORY)
            )

    @given(KINDS, strategies.integers(0, 20))
    def test_all_kinds_together_fit_beside_the_connections(
        self, steps: list[tuple[str, str, int]], clients: int
    ) -> None:
        """Load: a crowd that does everything at once."""
        held = ledger()
        held.clients = clients
        most = memory_shares.max_held(MEMORY, clients, 0)
        uploads: dict[str, int] = {}
        for kind, owner, size in steps:
            closed: list[str] = []
            if kind == "upload":
                held.release_upload(uploads.pop(owner, 0), owner)
                if held.hold_upload(size):
                    uploads[owner] = size
            elif kind == "unread":
                closed = held.set_unread(owner, size)
            elif kind == "undelivered":
                closed = held.set_undelivered(owner, size)
            else:
                closed = held.set_answer(owner, size)
            for excess in closed:
                held.forget(excess)
                held.release_upload(uploads.pop(excess, 0), excess)
            self.assertLessEqual(held.held, most)

    def test_body_of_legal_size_fits_alone_into_the_smallest_machine(
        self,
    ) -> None:
        held: MemoryLedger[str] = MemoryLedger(lambda: SMALLEST_MEMORY)
        held.clients = 100
        self.assertTrue(held.hold_upload(LARGEST_BODY))
        self.assertFalse(held.hold_upload(LARGEST_BODY))
        self.assertTrue(held.hold_upload(2_000), "a small one beside it")
        held.release_upload(LARGEST_BODY)
        self.assertTrue(held.hold_upload(1_000_000), "it is gone")

    def test_smallest_machine_bears_all_its_connections(self) -> None:
        """Load: as many clients as its descriptors allow, all at once."""
        clients = connection_limits.max_client_connections(
            SMALLEST_DESCRIPTORS
        )
        upstreams = connection_limits.max_upstream_connections(
            SMALLEST_DESCRIPTORS
        )
        held: MemoryLedger[str] = MemoryLedger(lambda: SMALLEST_MEMORY)
        held.clients, held.upstreams = clients, upstreams
        self.assertGreater(held.room, LEAST_POOL)
        self.assertTrue(held.hold_upload(2_000))

    def test_uploads_leave_room_for_what_arrives_in_one_turn(self) -> None:
        """Load: each client has sent a part of a body that nobody read yet."""
        held: MemoryLedger[int] = MemoryLedger(lambda: SMALLEST_MEMORY)
        held.clients = 1_200
        while held.hold_upload(memory_shares.SMALL_UPLOAD_BYTES):
            pass
        self.assertGreater(held.uploads, LEAST_POOL)
        for owner in range(held.clients):
            read = memory_shares.CLIENT_READ_BYTES
            self.assertEqual(held.set_unread(owner, read), [])

    def test_oldest_upload_gives_way_to_a_small_one(self) -> None:
        """Load: bodies without their end hold all that uploads may."""
        held = ledger()
        owners = [f"crowd-{number}" for number in range(100)]
        for owner in owners:
            if held.hold_upload(20_000):
                held.set_arriving(owner, 20_000)
        self.assertFalse(held.hold_upload(1_000))
        self.assertEqual(held.uploads_to_end("new", 1_000), ["crowd-0"])
        self.assertTrue(held.hold_upload(1_000))
        self.assertNotIn("crowd-0", held.arriving)
        held.release_upload(20_000, "crowd-0")
        self.assertEqual(held.ending.total, 0)

    def test_connection_that_leaves_counts_until_it_is_gone(self) -> None:
        """Load: a crowd comes back faster than its connections end."""
        held: MemoryLedger[str] = MemoryLedger(lambda: SMALLEST_MEMORY)
        held.clients = 1_300
        before = held.room
        for number in range(1_000):
            held.clients -= 1
            held.leave(f"crowd-{number}", 100)
        self.assertLessEqual(held.room, before)
        self.assertFalse(held.hold_upload(before))
        for number in range(1_000):
            held.forget(f"crowd-{number}")
        self.assertTrue(held.hold_upload(before))

    def test_none_is_closed_for_those_that_leave_already(self) -> None:
        held: MemoryLedger[str] = MemoryLedger(lambda: SMALLEST_MEMORY)
        held.clients = 300
        held.set_unread("caller", 2_000)
        for number in range(2_000):
            held.leave(f"crowd-{number}", 10_000)
        self.assertFalse(held.hold_upload(1))
        self.assertEqual(held.set_unread("caller", 3_000), [])

    def test_none_is_closed_for_an_upload_that_leaves(self) -> None:
        """Load: all that may be held is, and requests end a turn later."""
        held = ledger()
        for owner in OWNERS:
            self.assertTrue(held.hold_upload(40_000))
            held.set_arriving(owner, 40_000)
        self.assertEqual(held.set_answer("slow", 200_000), [])
        self.assertEqual(held.set_unread("a", 60_000), ["a"])
        held.leave("a", 0)
        self.assertEqual(held.set_unread("b", 60_000), [])
        held.release_upload(40_000, "a")
        self.assertEqual(held.abandoned.total, 0)
        self.assertEqual(held.set_unread("b", 95_000), ["b"])

    def test_upload_that_has_ended_does_not_give_way(self) -> None:
        held = ledger()
        held.hold_upload(20_000)
        held.set_arriving("a", 20_000)
        held.set_arriving("a", 0)
        self.assertEqual(held.uploads_to_end("new", 1_000), [])


class ConnectionTableTest(unittest.TestCase):
    def test_those_that_wait_for_their_client_give_way(self) -> None:
        """Load: all connections have a request, and one client comes."""
        table: ConnectionTable[str] = ConnectionTable()
        for owner in "abc":
            table.open(owner, 3)
        table.set_busy("a")
        table.set_receiving("b")
        table.set_receiving("c")
        self.assertEqual(table.open("d", 3, ["a"]), "b")
        table.close("b")
        table.set_busy("c")
        table.set_busy("d")
        self.assertEqual(table.open("e", 3, ["d", "a"]), "d")

    def test_new_connection_gets_time_for_its_request(self) -> None:
        """Load: clients come faster than their requests are read."""
        table: ConnectionTable[str] = ConnectionTable()
        table.open("a", 1)
        closed = table.open("b", 1, (), lambda owner: owner == "a")
        self.assertEqual(closed, "b")

    def test_silent_connections_give_way_before_idle_ones(self) -> None:
        table: ConnectionTable[str] = ConnectionTable()
        for owner in "abc":
            self.assertIsNone(table.open(owner, 3))
        table.set_busy("a")
        table.set_idle("a")
        self.assertEqual(table.open("d", 3), "b")
        table.close("b")
        table.close("c")
        table.set_busy("d")
        self.assertIsNone(table.open("e", 3))
        table.set_busy("e")
        self.assertEqual(table.open("f", 3), "a")

    def test_new_connection_gives_way_when_all_are_busy(self) -> None:
        table: ConnectionTable[str] = ConnectionTable()
        for owner in "ab":
            table.open(owner, 2)
            table.set_busy(owner)
        self.assertEqual(table.open("c", 2), "c")

    def test_closed_connection_does_not_come_back(self) -> None:
        table: ConnectionTable[str] = ConnectionTable()
        table.open("a", 2)
        table.close("a")
        table.set_idle("a")
        self.assertEqual(len(table), 0)


if __name__ == "__main__":
    unittest.main()
