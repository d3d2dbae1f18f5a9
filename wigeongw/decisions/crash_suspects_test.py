"""Tests of requests that end their upstreams, and of those beside them."""

import random
import unittest

from wigeongw.decisions import crash_suspects
from wigeongw.decisions.crash_suspects import CrashSuspects
from wigeongw.decisions.crash_suspects import MAX_HELD
from wigeongw.decisions.crash_suspects import MAX_SUSPECTS
from wigeongw.decisions.crash_suspects import MIN_TRIAL_DELAY_MS
from wigeongw.decisions.crash_suspects import Ruling

DEADLY = b"deadly"
UPSTREAMS = 31
SLOTS = 4


class CrashSuspectsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = CrashSuspects()

    def ruling(self, name: bytes, now: float = 0.0) -> Ruling:
        return self.suspects.ruling(name, True, now)

    def test_two_ends_are_enough_when_it_was_once_alone(self) -> None:
        self.assertFalse(self.suspects.record_end(DEADLY, 1, True, 0.0))
        self.assertIs(self.ruling(DEADLY), Ruling.SEND_APART)
        self.assertTrue(self.suspects.record_end(DEADLY, 2, False, 1.0))
        self.assertIs(self.ruling(DEADLY), Ruling.HOLD)

    def test_three_ends_are_needed_among_others(self) -> None:
        for upstream in (1, 2):
            self.suspects.record_end(DEADLY, upstream, False, 0.0)
        self.assertIs(self.ruling(DEADLY), Ruling.SEND_APART)
        self.assertTrue(self.suspects.record_end(DEADLY, 3, False, 0.0))

    def test_one_upstream_counts_once(self) -> None:
        for _ in range(5):
            self.suspects.record_end(DEADLY, 1, True, 0.0)
        self.assertIs(self.ruling(DEADLY), Ruling.SEND_APART)

    def test_answer_clears_a_request(self) -> None:
        """Load: a sound request that many send, beside crashes."""
        for upstream in range(9):
            self.suspects.record_end(b"popular", upstream, True, 0.0)
            self.suspects.clear(b"popular")
        self.assertIs(self.ruling(b"popular"), Ruling.SEND)

    def test_crash_of_an_upstream_holds_nothing_back(self) -> None:
        for number in range(SLOTS):
            self.suspects.record_end(b"%d" % number, 1, False, 0.0)
        self.assertEqual(self.suspects.held, {})

    def test_rolling_crashes_hold_back_under_one_in_a_thousand(self) -> None:
        """Load: one in seven upstreams ends within a second, at random.

        Each request in flight there is sent again to a random upstream that
        has not ended yet.
        """
        rng = random.Random(7)
        sent = held = 0
        for _ in range(200):
            suspects = CrashSuspects()
            ending = rng.sample(range(UPSTREAMS), UPSTREAMS // 7)
            running = {
                u: [rng.randbytes(8) for _ in range(SLOTS)]
                for u in range(UPSTREAMS)
            }
            sent += UPSTREAMS * SLOTS * 4
            for upstream in ending:
                ended = running.pop(upstream)
                for name in ended:
                    alone = len(ended) == 1
                    held += suspects.record_end(name, upstream, alone, 0.0)
                    other = rng.choice(sorted(running))
                    if rng.random() < 0.5:
                        running[other].append(name)
                    else:
                        suspects.clear(name)
        self.assertLess(held / sent, 0.001)

    def test_held_request_is_tried_by_one_host_and_rarely(self) -> None:
        self.suspects.hold(DEADLY, 2, 0.0)
        due = MIN_TRIAL_DELAY_MS
        self.assertIs(self.ruling(DEADLY, due - 1.0), Ruling.HOLD)
        self.assertIs(self.ruling(DEADLY, due), Ruling.TRY)
        not_here = self.suspects.ruling(DEADLY, False, due)
        self.assertIs(not_here, Ruling.HOLD)
        self.suspects.begin_trial(DEADLY)
        self.assertIs(self.ruling(DEADLY, due), Ruling.HOLD)
        self.suspects.record_end(DEADLY, 9, True, due)
        self.assertIs(self.ruling(DEADLY, 2.0 * due), Ruling.HOLD)
        self.assertIs(self.ruling(DEADLY, 3.0 * due), Ruling.TRY)
        self.suspects.begin_trial(DEADLY)
        self.assertTrue(self.suspects.clear(DEADLY))
        self.assertIs(self.ruling(DEADLY, 3.0 * due), Ruling.SEND)

    def test_exactly_one_host_tries(self) -> None:
        hosts = {f"h{number}" for number in range(12)}
        trying = [
            host
            for host in hosts
            if crash_suspects.is_trial_host(DEADLY, host, hosts)
        ]
        self.assertEqual(len(trying), 1)

    def test_flood_of_different_requests_evicts_no_verdict(self) -> None:
        self.suspects.hold(DEADLY, 2, 0.0)
        for number in range(3 * MAX_SUSPECTS):
            name = number.to_bytes(8)
            self.suspects.record_end(name, number, True, float(number))
        self.assertLessEqual(len(self.suspects.suspects), MAX_SUSPECTS)
        self.assertIs(self.ruling(DEADLY), Ruling.HOLD)
        for number in range(2 * MAX_HELD):
            self.suspects.hold(number.to_bytes(8), 2, 0.0)
        self.assertLessEqual(len(self.suspects.held), MAX_HELD)
        self.assertIs(self.ruling(DEADLY), Ruling.HOLD)


if __name__ == "__main__":
    unittest.main()
