"""Tests of the memory that a process holds for crowds of clients."""

import unittest

from hypothesis import given
from hypothesis import strategies

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


class ConnectionTableTest(unittest.TestCase):
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
