"""Tests how many hosts receive a datagram, and that all do over time."""

import random
import unittest

from wigeongw.decisions import fan_out
from wigeongw.decisions.fan_out import MAX_RECIPIENTS


class ChooseRecipientsTest(unittest.TestCase):
    def test_number_of_recipients_is_limited(self) -> None:
        cases = (
            (0, False, 0),
            (5, False, 5),
            (MAX_RECIPIENTS, False, MAX_RECIPIENTS),
            (43, False, MAX_RECIPIENTS),
            (1_000, False, MAX_RECIPIENTS),
            (1_000, True, 1_000),
        )
        for count, urgent, expected in cases:
            with self.subTest(count=count, urgent=urgent):
                chosen = fan_out.choose_recipients(
                    range(count), urgent, random.Random(1)
                )
                self.assertEqual(len(set(chosen)), expected)

    def test_each_host_is_reached_by_some_of_the_datagrams(self) -> None:
        rng = random.Random(1)
        reached: set[int] = set()
        for _ in range(60):
            reached.update(fan_out.choose_recipients(range(63), False, rng))
        self.assertEqual(reached, set(range(63)))


if __name__ == "__main__":
    unittest.main()
