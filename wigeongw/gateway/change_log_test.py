"""Tests that a relay never serves changes with a gap between them."""

import asyncio
import json
import unittest

from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.change_log import MAX_KEPT_CHANGES
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import StorePosition


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


def batch(revision: int, *names: str) -> ChangeBatch:
    changes = tuple(HostGone(name) for name in names)
    return ChangeBatch(changes, at(revision))


def names_since(log: ChangeLog, revision: int) -> list[str] | None:
    changes = log.changes_since(at(revision))
    if changes is None:
        return None
    return [str(json.loads(change)["name"]) for change in changes]


class ChangeLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_changes_after_a_position_are_returned(self) -> None:
        log = ChangeLog()
        log.restart(at(10))
        log.add(batch(12, "a"), at(10))
        log.add(batch(15, "b", "c"), at(12))
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
        log.restart(at(10))
        log.add(batch(12, "a"), at(10))
        log.add(batch(52, "z"), at(50))
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
        self.assertIsNone(log.changes_since(at(0)))
        log.add(batch(8, "a"), at(7))
        self.assertIsNone(names_since(log, 6))
        self.assertEqual(names_since(log, 7), ["a"])

    async def test_repeated_watch_keeps_the_latest_change_last(self) -> None:
        log = ChangeLog()
        log.restart(at(10))
        log.add(batch(12, "a"), at(10))
        log.add(batch(14, "a", "b"), at(10))
        self.assertEqual(names_since(log, 10), ["a", "a", "b"])
        self.assertEqual(names_since(log, 12), ["a", "b"])

    async def test_positions_of_another_era_get_no_changes(self) -> None:
        log = ChangeLog()
        log.restart(at(48, era=1))
        log.restart(at(20, era=2))
        log.add(ChangeBatch((HostGone("a"),), at(22, era=2)), at(20, era=2))
        cases: tuple[tuple[StorePosition, int | None], ...] = (
            (at(48, era=1), None),
            (at(21, era=1), None),
            (at(20, era=2), 1),
            (at(48, era=2), 0),
            (at(21, era=3), None),
        )
        for position, expected in cases:
            with self.subTest(position=position):
                changes = log.changes_since(position)
                count = None if changes is None else len(changes)
                self.assertEqual(count, expected)

    async def test_host_that_waits_is_told_of_a_new_era(self) -> None:
        log = ChangeLog()
        log.restart(at(48, era=1))
        waiting = asyncio.create_task(log.wait(at(48, era=1), 10_000.0))
        await asyncio.sleep(0)
        log.restart(at(20, era=2))
        async with asyncio.timeout(1.0):
            await waiting

    async def test_overflow_drops_old_changes_without_a_gap(self) -> None:
        cases = (
            ("two batches", MAX_KEPT_CHANGES - 1, 2, 11, 12),
            ("one batch", 1, MAX_KEPT_CHANGES + 1, 12, 12),
        )
        for case, first, second, complete_from, last in cases:
            with self.subTest(case=case):
                log = ChangeLog()
                log.restart(at(10))
                log.add(batch(11, *["a"] * first), at(10))
                log.add(batch(12, *["b"] * second), at(11))
                self.assertIsNone(log.changes_since(at(complete_from - 1)))
                changes = log.changes_since(at(complete_from))
                assert changes is not None
                self.assertEqual(
                    len(changes), 0 if complete_from == last else second
                )
                self.assertEqual(log.last_position, at(last))


if __name__ == "__main__":
    unittest.main()
