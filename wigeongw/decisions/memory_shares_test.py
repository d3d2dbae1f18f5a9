"""Tests that bodies fit into a host's memory, and small ones always do."""

import unittest

from wigeongw.decisions import memory_shares
from wigeongw.decisions.memory_shares import MAX_BUFFERED_BYTES
from wigeongw.decisions.memory_shares import MAX_WAITING_BYTES
from wigeongw.decisions.memory_shares import MIN_BUFFERED_BYTES
from wigeongw.decisions.memory_shares import RESPONSE_SHARE
from wigeongw.decisions.memory_shares import STREAM_SHARE

MEMORY = 300_000_000
LARGEST = 64 << 20
SMALL = 2_000


class MemorySharesTest(unittest.TestCase):
    def test_uploads_are_admitted_by_their_bytes(self) -> None:
        cases = (
            ("the largest alone", LARGEST, 0, True),
            ("two of the largest", LARGEST, LARGEST, False),
            ("a small one beside it", SMALL, LARGEST, True),
            ("a small one beside all large ones", SMALL, 96_000_000, True),
            ("a large one there", 100_000, 96_000_000, False),
            ("nothing fits", SMALL, 120_000_000, False),
        )
        for case, size, held, expected in cases:
            with self.subTest(case=case):
                self.assertIs(
                    memory_shares.may_admit(size, held, MEMORY), expected
                )

    def test_responses_share_their_part_of_the_memory(self) -> None:
        for responses in (0, 1, 10, 40):
            limits = memory_shares.response_limits(MEMORY, responses)
            self.assertEqual(limits.buffered, MAX_BUFFERED_BYTES)
            self.assertEqual(limits.waiting, MAX_WAITING_BYTES)
        for responses in (60, 200, 600):
            with self.subTest(responses=responses):
                limits = memory_shares.response_limits(MEMORY, responses)
                self.assertGreaterEqual(limits.buffered, MIN_BUFFERED_BYTES)
                self.assertLessEqual(
                    responses * (limits.buffered + limits.waiting),
                    MEMORY * (RESPONSE_SHARE + STREAM_SHARE),
                )


if __name__ == "__main__":
    unittest.main()
