"""Tests of the hosts that a lookup names after the store was away."""

import unittest

from wigeongw.core.site import Host
from wigeongw.decisions import host_reachability
from wigeongw.decisions.host_reachability import MAX_CHECKED_HOSTS
from wigeongw.decisions.host_reachability import STALE_ENTRY_MS
from wigeongw.decisions.store_absence import StoreAbsence

NAMES = [f"h{number}" for number in range(313)]
HOSTS = {name: Host(name, "10.0.0.1:1", "amman") for name in NAMES}


class HostReachabilityTest(unittest.TestCase):
    def test_entries_may_be_stale_during_and_after_an_absence(self) -> None:
        cases = (
            ("never away", StoreAbsence(), 1e9, False),
            ("away", StoreAbsence(failing_since=1_000.0), 9_000.0, True),
            ("a call failed", StoreAbsence(failing_since=8_900.0), 9e3, False),
            ("just back", StoreAbsence(ended_at=9_000.0), 9_100.0, True),
            (
                "back for long",
                StoreAbsence(ended_at=9_000.0),
                9_000.0 + STALE_ENTRY_MS,
                False,
            ),
        )
        for case, absence, now, expected in cases:
            with self.subTest(case=case):
                self.assertIs(
                    host_reachability.may_be_stale(absence, now), expected
                )

    def test_each_host_checks_a_few_others(self) -> None:
        chosen = [host_reachability.choose(name, NAMES) for name in NAMES]
        for name, others in zip(NAMES, chosen, strict=True):
            self.assertEqual(len(others), MAX_CHECKED_HOSTS)
            self.assertNotIn(name, others)
        counts = [sum(name in others for others in chosen) for name in NAMES]
        self.assertLess(max(counts), 3 * MAX_CHECKED_HOSTS)

    def test_only_hosts_that_answered_are_named(self) -> None:
        answered = {"h1": True, "h2": False, "gone": True}
        cases: tuple[tuple[dict[str, bool], int], ...] = (
            ({}, len(HOSTS)),
            (answered, 1),
        )
        for checks, count in cases:
            with self.subTest(checks=checks):
                named = host_reachability.nameable(HOSTS, checks)
                self.assertEqual(len(named), count)


if __name__ == "__main__":
    unittest.main()
