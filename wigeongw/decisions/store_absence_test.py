"""Tests that only an absence of the store counts as one."""

import unittest

from wigeongw.decisions import store_absence
from wigeongw.decisions.store_absence import MIN_ABSENCE_MS
from wigeongw.decisions.store_absence import NEVER
from wigeongw.decisions.store_absence import StoreAbsence

# An answer, or a failure and since when it counts.
ANSWER = "answer"
FAILURE = "failure"
Event = tuple[str, float]
LONG_MS = 8_000.0


def play(events: tuple[Event, ...]) -> StoreAbsence:
    absence = StoreAbsence()
    for kind, at_ms in events:
        if kind == ANSWER:
            absence = store_absence.record_answer(absence, at_ms)
        else:
            absence = store_absence.record_failure(absence, at_ms)
    return absence


class StoreAbsenceTest(unittest.TestCase):
    def test_last_time_at_which_the_store_was_away(self) -> None:
        cases: tuple[tuple[str, tuple[Event, ...], float, float], ...] = (
            ("nothing known", (), 5.0, NEVER),
            (
                "a cut watch",
                ((ANSWER, 100.0), (FAILURE, 900.0), (ANSWER, 1_050.0)),
                1_100.0,
                NEVER,
            ),
            (
                "watches cut often, each followed by an answer",
                tuple(
                    event
                    for at_ms in range(100, 5_000, 200)
                    for event in (
                        (FAILURE, float(at_ms)),
                        (ANSWER, at_ms + 150.0),
                    )
                ),
                5_000.0,
                NEVER,
            ),
            (
                "a lost answer while others get theirs",
                (
                    (ANSWER, 100.0),
                    (ANSWER, 900.0),
                    # Made at 0 and given up at 1,000.
                    (FAILURE, 0.0),
                    (ANSWER, 1_100.0),
                ),
                1_200.0,
                NEVER,
            ),
            (
                "this host is refused and told by others",
                (
                    (FAILURE, 100.0),
                    (ANSWER, 300.0),
                    (FAILURE, 400.0),
                    (ANSWER, 800.0),
                ),
                5_000.0,
                NEVER,
            ),
            (
                "an outage that goes on",
                ((ANSWER, 100.0), (FAILURE, 900.0), (FAILURE, 2_000.0)),
                LONG_MS,
                LONG_MS,
            ),
            (
                "an outage that ended",
                ((ANSWER, 100.0), (FAILURE, 900.0), (ANSWER, LONG_MS)),
                LONG_MS + 500.0,
                LONG_MS,
            ),
            (
                "an answer from before the outage, told later",
                ((FAILURE, 900.0), (ANSWER, 800.0)),
                LONG_MS,
                LONG_MS,
            ),
            (
                "a cut watch after an outage",
                (
                    (FAILURE, 900.0),
                    (ANSWER, LONG_MS),
                    (FAILURE, LONG_MS + 900.0),
                    (ANSWER, LONG_MS + 1_000.0),
                ),
                LONG_MS + 1_100.0,
                LONG_MS,
            ),
            (
                "just long enough",
                ((FAILURE, 100.0), (ANSWER, 100.0 + MIN_ABSENCE_MS)),
                LONG_MS,
                100.0 + MIN_ABSENCE_MS,
            ),
        )
        for case, events, now, expected in cases:
            with self.subTest(case=case):
                self.assertEqual(play(events).last_away_at(now), expected)


if __name__ == "__main__":
    unittest.main()
