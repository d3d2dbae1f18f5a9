"""Tests fences of a store that comes back from an older copy of itself."""

import unittest

from wigeongw.core.records import EntryHost
from wigeongw.decisions import fence as fences
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.site_state import SiteState

BEFORE = {"pool": Fence("pool", "entry-1", 48)}


class FenceReturnTest(unittest.TestCase):
    def test_fence_taken_after_the_return_is_taken_for_an_older_one(
        self,
    ) -> None:
        """Its epoch is a revision that the store gives out again."""
        taken = Fence("pool", "entry-2", 21, era=1)
        for known, heard in (
            (BEFORE, [taken]),
            ({"pool": taken}, BEFORE.values()),
        ):
            merged = fences.newest_by_pool(known, heard)
            self.assertEqual(merged["pool"].host, "entry-2")

    def test_reading_that_contradicts_what_was_known_shows_a_return(
        self,
    ) -> None:
        cases: tuple[tuple[str, list[Fence], int, bool], ...] = (
            ("same", [*BEFORE.values()], 50, False),
            ("changed since", [Fence("pool", "entry-2", 49)], 50, False),
            ("released since", [], 50, False),
            ("another pool", [*BEFORE.values(), Fence("q", "", 2)], 50, False),
            ("older revision", [], 20, True),
            ("older owner", [Fence("pool", "entry-0", 15)], 20, True),
            ("counted up again", [Fence("pool", "entry-0", 15)], 90, True),
        )
        for name, present, revision, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    fences.shows_return(BEFORE, present, revision, era=0),
                    expected,
                )

    def test_fence_of_an_earlier_era_shows_no_second_return(self) -> None:
        self.assertFalse(fences.shows_return(BEFORE, [], 20, era=1))

    def test_fence_that_the_copy_lacks_is_kept(self) -> None:
        freed = fences.released_fences(BEFORE, [], 20, era=1)
        self.assertEqual(freed, [Fence("pool", "", 20, 1)])

    def test_owner_relies_on_a_fence_that_the_store_lost(self) -> None:
        me = EntryHost("entry-1", "127.0.0.1:1", "127.0.0.1:2", "amman")
        for era, expected in ((0, True), (1, False)):
            site = SiteState(me, fences=BEFORE, store_era=era)
            self.assertEqual(
                sites.owns_fence(site, "pool", fences_exclusive=True), expected
            )


if __name__ == "__main__":
    unittest.main()
