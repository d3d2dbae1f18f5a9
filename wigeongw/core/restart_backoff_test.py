"""Tests of the delays between restarts of failed tasks."""

import unittest

from wigeongw.core import restart_backoff
from wigeongw.core.restart_backoff import MAX_DELAY_MS
from wigeongw.core.restart_backoff import MIN_DELAY_MS
from wigeongw.core.restart_backoff import PROGRESS_MS
from wigeongw.core.restart_backoff import RepeatedFailure


class RestartBackoffTest(unittest.TestCase):
    def test_delay_grows_only_for_one_cause_without_progress(self) -> None:
        before = RepeatedFailure("a", 3, 800.0)
        cases = (
            ("first failure", None, "a", 0.0, 1, MIN_DELAY_MS),
            ("same cause at once", before, "a", 5.0, 4, 1_600.0),
            ("other cause", before, "b", 5.0, 1, MIN_DELAY_MS),
            ("after progress", before, "a", PROGRESS_MS, 1, MIN_DELAY_MS),
        )
        for case, previous, cause, ran_ms, count, delay_ms in cases:
            with self.subTest(case=case):
                found = restart_backoff.next_failure(previous, cause, ran_ms)
                self.assertEqual(
                    found, RepeatedFailure(cause, count, delay_ms)
                )

    def test_delay_is_bounded(self) -> None:
        failure = None
        for _ in range(50):
            failure = restart_backoff.next_failure(failure, "a", 0.0)
        assert failure is not None
        self.assertEqual(failure.delay_ms, MAX_DELAY_MS)


if __name__ == "__main__":
    unittest.main()
