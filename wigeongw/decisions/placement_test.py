"""Tests the choice of an upstream and the subset that a host prefers."""

import random
import unittest

from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions import placement as placements
from wigeongw.decisions import queue_order
from wigeongw.decisions.placement import Candidate
from wigeongw.decisions.placement import Unavailability

NOW = 10_000.0
WORK_MS = 100.0
OBJECTIVE_MS = 300.0


def candidate(
    name: str,
    same_zone: bool = True,
    running: int = 0,
    waiting: int = 0,
    slowdown: float = 1.0,
    age_ms: float = 0.0,
    sent: int = 0,
    risk: float = 0.0,
    cold: bool = False,
    doubtful: bool = False,
    has_cold_token: bool = False,
    healthy: bool = True,
    sampled: bool = True,
    may_probe: bool = True,
    silent: bool = False,
    in_subset: bool = True,
    slots: int = 4,
) -> Candidate:
    target = Target(name, "s", "127.0.0.1:1", "amman", slots)
    sample = LoadSample(
        NOW - age_ms, running, waiting, slots, slowdown, 0.0, healthy
    )
    return Candidate(
        target,
        same_zone,
        sample if sampled else None,
        sent,
        risk,
        cold,
        cold or doubtful,
        may_probe,
        has_cold_token,
        silent,
        in_subset,
    )


def choose_identity(
    *candidates: Candidate,
    skip_slow: bool = False,
    max_slot_share: float = placements.KNEE_SHARE,
) -> str | None:
    placement = placements.choose(
        candidates,
        WORK_MS,
        OBJECTIVE_MS,
        0.5,
        NOW,
        random.Random(1),
        skip_slow,
        max_slot_share,
    )
    return placement.target.identity if placement else None


class HostSubsetTest(unittest.TestCase):
    """Subsets limit the connections where hosts and upstreams are many."""

    UPSTREAMS = tuple(f"u{n}" for n in range(40))
    HOSTS = tuple(f"h{n}" for n in range(40))

    def test_every_upstream_is_in_the_subset_of_several_hosts(self) -> None:
        subsets = [
            placements.choose_subset(h, self.UPSTREAMS, 8) for h in self.HOSTS
        ]
        for upstream in self.UPSTREAMS:
            with self.subTest(upstream=upstream):
                preferring_hosts = sum(
                    upstream in subset for subset in subsets
                )
                self.assertGreaterEqual(preferring_hosts, 2)

    def test_subset_does_not_grow_with_the_number_of_upstreams(self) -> None:
        for host in self.HOSTS:
            for count in (1, 8, 20, 40):
                subset = placements.choose_subset(
                    host, self.UPSTREAMS[:count], 8
                )
                self.assertEqual(len(subset), min(count, 8))

    def test_one_upstream_replaces_another_that_leaves(self) -> None:
        for host in self.HOSTS:
            before = placements.choose_subset(host, self.UPSTREAMS, 8)
            for gone in before:
                remaining = [u for u in self.UPSTREAMS if u != gone]
                after = placements.choose_subset(host, remaining, 8)
                self.assertEqual(len(after & before), 7)

    def test_cold_upstreams_keep_their_place_and_are_supplemented(
        self,
    ) -> None:
        for host in self.HOSTS:
            before = placements.choose_subset(host, self.UPSTREAMS, 8)
            cold = set(sorted(before)[:3])
            during = placements.choose_subset(host, self.UPSTREAMS, 8, cold)
            self.assertLessEqual(before, during)
            self.assertEqual(len(during - cold), 8)

    def test_subset_is_probed_and_chosen_first(self) -> None:
        other = candidate("other", in_subset=False)
        preferred = candidate("preferred")
        order = placements.probe_order(
            [other, preferred], 0.5, NOW, random.Random(1)
        )
        self.assertEqual(order[0].target.identity, "preferred")
        self.assertEqual(choose_identity(other, preferred), "preferred")

    def test_upstream_outside_a_full_subset_is_chosen(self) -> None:
        full = candidate("preferred", running=4)
        self.assertEqual(
            choose_identity(candidate("other", in_subset=False), full), "other"
        )


class ChooseTest(unittest.TestCase):
    def test_lowest_score_is_chosen(self) -> None:
        free = candidate("a")
        cases = (
            ("free over full", "a", (free, candidate("b", running=4))),
            ("fast over slow", "a", (free, candidate("b", slowdown=5.0))),
            ("succeeding over failing", "a", (free, candidate("b", risk=0.5))),
            (
                "requests since the load sample count",
                "a",
                (free, candidate("b", sent=3)),
            ),
            (
                "healthy over unhealthy",
                "a",
                (free, candidate("b", healthy=False)),
            ),
            (
                "same zone over other zone",
                "a",
                (free, candidate("b", same_zone=False)),
            ),
            (
                "fast in other zone over slow in same zone",
                "b",
                (
                    candidate("a", slowdown=5.0),
                    candidate("b", same_zone=False),
                ),
            ),
            (
                "load sample over none",
                "a",
                (free, candidate("b", sampled=False)),
            ),
            (
                "unhealthy rather than none",
                "b",
                (candidate("b", healthy=False),),
            ),
        )
        for case, expected, candidates in cases:
            with self.subTest(case=case):
                self.assertEqual(choose_identity(*candidates), expected)

    def test_full_upstreams_are_not_chosen(self) -> None:
        for running, waiting in ((4, 0), (4, 3), (3, 1)):
            with self.subTest(running=running, waiting=waiting):
                full_upstream = candidate(
                    "a", running=running, waiting=waiting
                )
                self.assertIsNone(choose_identity(full_upstream))

    def test_last_slots_are_used_where_that_completes_more(self) -> None:
        """Two slots complete more than one; four less than three."""
        cases = (
            ("first of two", candidate("a", slots=2), "a"),
            ("last of two", candidate("a", slots=2, running=1), "a"),
            ("third of two", candidate("a", slots=2, running=2), None),
            ("third of four", candidate("a", running=2), "a"),
            ("last of four", candidate("a", running=3), None),
            ("the only slot", candidate("a", slots=1), "a"),
            ("second of one", candidate("a", slots=1, running=1), None),
            (
                "last of two, old sample",
                candidate("a", slots=2, running=1, age_ms=40.0),
                None,
            ),
            (
                "last of two, late there",
                candidate("a", slots=2, running=1, slowdown=2.0),
                None,
            ),
        )
        for case, found, expected in cases:
            with self.subTest(case=case):
                self.assertEqual(choose_identity(found), expected)

    def test_slots_below_the_knee_come_first(self) -> None:
        crowded = candidate("crowded", slots=2, running=1)
        slower = candidate("slower", slots=2, slowdown=2.4)
        self.assertEqual(choose_identity(crowded, slower), "slower")

    def test_overdue_requests_use_idle_upstreams_only(self) -> None:
        """A sample some milliseconds old still shows an idle upstream."""
        cases = (
            ("idle", candidate("a", slots=2), "a"),
            ("idle, old sample", candidate("a", slots=2, age_ms=40.0), "a"),
            ("one of two", candidate("a", slots=2, running=1), None),
            ("one of four", candidate("a", running=1), "a"),
            ("two of four", candidate("a", running=2), None),
        )
        for case, found, expected in cases:
            with self.subTest(case=case):
                chosen = choose_identity(
                    found, max_slot_share=queue_order.OVERDUE_SLOT_SHARE
                )
                self.assertEqual(chosen, expected)

    def test_log_says_why_an_upstream_is_not_chosen(self) -> None:
        cases = (
            (candidate("a"), Unavailability.NONE),
            (candidate("a", silent=True), Unavailability.SILENT),
            (candidate("a", cold=True), Unavailability.COLD),
            (candidate("a", doubtful=True), Unavailability.MAYBE_COLD),
            (candidate("a", running=4), Unavailability.FULL),
            (candidate("a", slowdown=5.0), Unavailability.SLOW),
            (candidate("a", running=3), Unavailability.ABOVE_KNEE),
        )
        for found, expected in cases:
            with self.subTest(expected=expected):
                self.assertIs(
                    placements.unavailability(found, 0.5, NOW), expected
                )

    def test_cold_and_doubtful_upstreams_need_a_token_of_the_rate_limit(
        self,
    ) -> None:
        cases = (
            (candidate("a", cold=True), None),
            (candidate("a", doubtful=True), None),
            (candidate("a", cold=True, has_cold_token=True), "a"),
            (candidate("a", doubtful=True, has_cold_token=True), "a"),
        )
        for found, expected in cases:
            with self.subTest(found=found):
                self.assertEqual(choose_identity(found), expected)

    def test_slow_upstreams_are_skipped_on_request(self) -> None:
        slow = candidate("a", slowdown=5.0)
        self.assertIsNone(choose_identity(slow, skip_slow=True))
        self.assertEqual(choose_identity(slow), "a")

    def test_stale_load_sample_does_not_show_an_upstream_as_free(self) -> None:
        stale = candidate("a", age_ms=1_000.0)
        ahead = placements.requests_ahead(stale, 1.0, NOW)
        self.assertEqual(ahead, 4.0)


if __name__ == "__main__":
    unittest.main()
