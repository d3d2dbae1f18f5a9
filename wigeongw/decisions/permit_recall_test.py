"""Tests whose permits are recalled for a cold upstream."""

import unittest

from wigeongw.decisions.permit_recall import MAX_INTERVAL_MS
from wigeongw.decisions.permit_recall import MIN_INTERVAL_MS
from wigeongw.decisions.permit_recall import next_pace
from wigeongw.decisions.permit_recall import next_recall
from wigeongw.decisions.permit_recall import Recall
from wigeongw.decisions.permit_recall import RecallPace

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

    def test_pace_follows_the_progress_of_cold_upstreams(self) -> None:
        first = next_pace(RecallPace(), {"u": (1, 0)})
        waiting = next_pace(first, {"u": (1, 0)})
        again = next_pace(waiting, {"u": (1, 0)})
        self.assertEqual(
            [first.interval_ms, waiting.interval_ms, again.interval_ms],
            [MIN_INTERVAL_MS, 2 * MIN_INTERVAL_MS, 4 * MIN_INTERVAL_MS],
        )
        for reached in ({"u": (1, 1)}, {"u": (2, 0)}, {"new": (1, 0)}):
            with self.subTest(reached):
                pace = next_pace(again, reached)
                self.assertEqual(pace.interval_ms, MIN_INTERVAL_MS)
        for _ in range(20):
            again = next_pace(again, {"u": (1, 0)})
        self.assertEqual(again.interval_ms, MAX_INTERVAL_MS)


if __name__ == "__main__":
    unittest.main()
