"""Tests that a relay never serves changes with a gap between them."""

import unittest

from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.change_log import MAX_KEPT_CHANGES
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HostGone


def batch(position: int, *names: str) -> ChangeBatch:
    return ChangeBatch(tuple(HostGone(name) for name in names), position)


def names_since(log: ChangeLog, position: int) -> list[str] | None:
    changes = log.changes_since(position)
    if changes is None:
        return None
    return [str(change["name"]) for change in changes]


class ChangeLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_after_a_position_are_returned(self) -> None:
        log = ChangeLog()
        log.restart(10)
        log.add(batch(12, "a"), 10)
        log.add(batch(15, "b", "c"), 12)
        cases: tuple[tuple[int, list[str] | None], ...] = (
            (9, None),
            (10, ["a", "b", "c"]),
            (12, ["b", "c"]),
            (15, []),
            (20, []),
        )
        for position, expected in cases:
            with self.subTest(position=position):
                self.assertEqual(names_since(log, position), expected)

    async def test_changes_learned_from_a_relay_leave_no_gap(self) -> None:
        """The host follows a relay up to 50, then becomes a relay itself.

        A host at position 12 must not receive the changes after 50 without
        those before it.
        """
        log = ChangeLog()
        log.restart(10)
        log.add(batch(12, "a"), 10)
        log.add(batch(52, "z"), 50)
        cases: tuple[tuple[int, list[str] | None], ...] = (
            (10, None),
            (12, None),
            (49, None),
            (50, ["z"]),
            (52, []),
        )
        for position, expected in cases:
            with self.subTest(position=position):
                self.assertEqual(names_since(log, position), expected)

    async def test_log_without_a_read_starts_at_the_first_watch(self) -> None:
        log = ChangeLog()
        self.assertIsNone(log.changes_since(0))
        log.add(batch(8, "a"), 7)
        self.assertIsNone(names_since(log, 6))
        self.assertEqual(names_since(log, 7), ["a"])

    async def test_repeated_watch_keeps_the_latest_change_last(self) -> None:
        log = ChangeLog()
        log.restart(10)
        log.add(batch(12, "a"), 10)
        log.add(batch(14, "a", "b"), 10)
        self.assertEqual(names_since(log, 10), ["a", "a", "b"])
        self.assertEqual(names_since(log, 12), ["a", "b"])

    async def test_overflow_drops_old_changes_without_a_gap(self) -> None:
        cases = (
            ("two batches", MAX_KEPT_CHANGES - 1, 2, 11, 12),
            ("one batch", 1, MAX_KEPT_CHANGES + 1, 12, 12),
        )
        for case, first, second, complete_from, last in cases:
            with self.subTest(case=case):
                log = ChangeLog()
                log.restart(10)
                log.add(batch(11, *["a"] * first), 10)
                log.add(batch(12, *["b"] * second), 11)
                self.assertIsNone(log.changes_since(complete_from - 1))
                changes = log.changes_since(complete_from)
                assert changes is not None
                self.assertEqual(
                    len(changes), 0 if complete_from == last else second
                )
                self.assertEqual(log.last_position, last)


if __name__ == "__main__":
    unittest.main()
