"""Tests of settings validation, rendering and publication."""

import pathlib
import tempfile
import unittest

from wigeongw.adapters.memory_store import Faults
from wigeongw.adapters.memory_store import MemoryStore
from wigeongw.core.clock import ManualClock
from wigeongw.ports.errors import StoreError
from wigeongw.settings import document
from wigeongw.settings import revisions
from wigeongw.settings import validation
from wigeongw.settings.errors import SettingsError
from wigeongw.settings.revisions import ConflictError
from wigeongw.settings.revisions import HistoryError

BASE = """
site = "qadri"
[availability_zones.amman]
[services.dial-watch]
paths = ["/dial-watch"]
"""
CASES = (
    ("site = 3", "site", "valid string"),
    ("[services.dial-watch]\nslots = 0", "slots", "greater than or equal"),
    ("[services.dial-watch]\nslotz = 1", "slotz", "did you mean slots?"),
    ("[permits]\nlifetime = 3", "permits.lifetime", "mean lifetime_ms?"),
    ("[availability_zones.amman]\nstate = 'off'", "state", "'in' or 'out'"),
    ("[services.x]\n", "services.x.paths", "found none"),
    ("[services.x]\npaths=['/dial-watch']", "x.paths", "belongs to dial"),
    ("[nonsense]", "nonsense", "expected one of"),
    ("[retries]\nbudget = 2", "retries.budget", "less than or equal"),
    ("[permits]\nsharing = 'best'", "permits.sharing", "'permits'"),
)
PREFIX = "t/"


class DocumentTest(unittest.TestCase):
    def test_problems_name_file_key_and_expected_value(self) -> None:
        base = document.parse(BASE, "base.toml")
        for text, key, expected in CASES:
            with self.subTest(text):
                overlay = document.parse(text, "overlay.toml")
                with self.assertRaises(SettingsError) as caught:
                    validation.validate_site(document.merge(base, overlay))
                message = str(caught.exception)
                self.assertIn("overlay.toml", message)
                self.assertIn(key, message)
                self.assertIn(expected, message)

    def test_all_problems_are_reported_together(self) -> None:
        text = BASE + "slots = 0\nqueue_most = 0\n[x]\n[permits]\nspill = 1\n"
        with self.assertRaises(SettingsError) as caught:
            validation.validate_text(text, "base.toml")
        self.assertEqual(len(caught.exception.problems), 4)

    def test_problems_of_both_files_are_reported(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            bad = pathlib.Path(folder) / "bad.toml"
            bad.write_text("= = =")
            missing = pathlib.Path(folder) / "missing.toml"
            with self.assertRaises(SettingsError) as caught:
                validation.read_site(bad, missing)
        self.assertEqual(len(caught.exception.problems), 2)

    def test_rendered_text_parses_to_the_same_table(self) -> None:
        table = document.parse(
            BASE + 'deadline_ms = 1.5\n["odd key"]\nx = [1, "é"]', "b"
        ).table
        text = document.render(table)
        self.assertEqual(document.parse(text, "b").table, table)
        self.assertEqual(
            document.render(document.parse(text, "b").table), text
        )


class PublishTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = MemoryStore(ManualClock())

    async def publish_next(self, text: str, who: str) -> revisions.Revision:
        base = await revisions.read_current_revision(self.store, PREFIX)
        return await self.publish(base, text, who)

    async def publish(
        self, base: revisions.CurrentRevision, text: str, who: str
    ) -> revisions.Revision:
        candidate = revisions.next_revision(base.revision, text, who, "w", 0.0)
        return await revisions.publish(self.store, PREFIX, base, candidate)

    async def test_second_publication_on_the_same_base_conflicts(self) -> None:
        base = await revisions.read_current_revision(self.store, PREFIX)
        await self.publish(base, "a = 1\n", "first")
        with self.assertRaises(ConflictError) as caught:
            await self.publish(base, "a = 2\n", "second")
        self.assertIn("first", str(caught.exception))
        self.assertIn("+a = 2", caught.exception.difference)

    async def test_lost_reply_does_not_publish_twice(self) -> None:
        await self.publish_next("a = 1\n", "x")
        await self.store.set_faults(Faults(lose_replies=1))
        accepted = await self.publish_next("a = 2\n", "x")
        self.assertEqual(accepted.number, 2)
        history = await revisions.read_history(self.store, PREFIX)
        self.assertEqual([r.text for r in history], ["a = 1\n", "a = 2\n"])

    async def test_lost_reply_and_a_later_revision(self) -> None:
        """A candidate in the history is accepted, though no longer current.

        Guards against a false conflict: the transaction is committed, its
        reply is lost, and another operator publishes before the read-back.
        """
        base = await revisions.read_current_revision(self.store, PREFIX)
        candidate = revisions.next_revision(None, "a = 1\n", "x", "w", 0.0)
        await revisions._commit(self.store, PREFIX, base, candidate)
        await self.publish_next("a = 2\n", "y")
        accepted = await revisions.publish(self.store, PREFIX, base, candidate)
        self.assertEqual(accepted, candidate)

    async def test_unreachable_store_raises_store_error(self) -> None:
        base = await revisions.read_current_revision(self.store, PREFIX)
        await self.store.set_faults(Faults(down=True))
        with self.assertRaises(StoreError):
            await self.publish(base, "a = 1\n", "x")

    async def test_duplicated_history_entry_is_detected(self) -> None:
        for number in range(3):
            await self.publish_next(f"a = {number}\n", "x")
        keys = sorted(k for k in self.store.entries if "history" in k)
        first, second = keys[0], keys[1]
        self.store.entries[second] = self.store.entries[first]
        with self.assertRaises(HistoryError):
            await revisions.read_history(self.store, PREFIX)


if __name__ == "__main__":
    unittest.main()
