"""Tests fences of a store that comes back from an older copy of itself."""

import unittest

from wigeongw.decisions import fence as fences
from wigeongw.decisions.fence import Fence


class FenceReturnTest(unittest.TestCase):
    def test_fence_taken_after_the_return_is_taken_for_an_older_one(
        self,
    ) -> None:
        """Its epoch is a revision that the store gives out again."""
        known = {"pool": Fence("pool", "entry-1", 48)}
        taken = Fence("pool", "entry-2", 21)
        merged = fences.newest_by_pool(known, [taken])
        self.assertEqual(merged["pool"].host, "entry-2")


if __name__ == "__main__":
    unittest.main()
