"""Tests of who gives a slot up while requests wait for one."""

import unittest

from wigeongw.adapters.client_resources import CloseReason
from wigeongw.core.clock import ManualClock
from wigeongw.daemon.slow_clients import MAX_CLIENT_WAIT_MS
from wigeongw.daemon.slow_clients import SlowClients


class Client:
    def __init__(self) -> None:
        self.reasons: list[CloseReason] = []

    def give_up(self, reason: CloseReason) -> None:
        self.reasons.append(reason)


class SlowClientsTest(unittest.TestCase):
    def test_client_that_was_waited_for_longest_gives_way(self) -> None:
        """Load: answers of two services wait, and a request for a slot."""
        clock = ManualClock()
        answers = SlowClients(clock)
        first, second, other = Client(), Client(), Client()
        with (
            answers.wait("other", other),
            answers.wait("s", first),
            answers.wait("s", second),
        ):
            self.assertFalse(answers.end_longest("s"))
            clock.at += MAX_CLIENT_WAIT_MS
            self.assertTrue(answers.end_longest("s"))
        self.assertEqual(first.reasons, [CloseReason.SLOT])
        self.assertEqual(second.reasons + other.reasons, [])
        self.assertFalse(answers.end_longest("s"))

    def test_client_that_reads_on_does_not_give_way(self) -> None:
        clock = ManualClock()
        answers = SlowClients(clock)
        client = Client()
        for _ in range(5):
            with answers.wait("s", client):
                clock.at += MAX_CLIENT_WAIT_MS / 2
                self.assertFalse(answers.end_longest("s"))


if __name__ == "__main__":
    unittest.main()
