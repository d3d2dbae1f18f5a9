"""Tests whose permits are recalled for a cold upstream."""

import unittest

from wigeongw.decisions.permit_recall import next_recall
from wigeongw.decisions.permit_recall import Recall

A1 = Recall("a", "u1")
A2 = Recall("a", "u2")
B1 = Recall("b", "u1")

CASES = [
    ("no permits", [], None, None),
    ("first", [B1, A1], None, A1),
    ("next upstream of a holder", [A1, A2, B1], A1, A2),
    ("next holder though the first kept its permits", [A1, B1], A1, B1),
    ("from the start again", [A1, B1], B1, A1),
    ("last one is gone", [A1, B1], A2, B1),
]


class NextRecallTest(unittest.TestCase):
    def test_table(self) -> None:
        for name, held, last, expected in CASES:
            with self.subTest(name):
                self.assertEqual(next_recall(held, last), expected)


if __name__ == "__main__":
    unittest.main()
