"""Tests the choice of an upstream and the subset that a host prefers."""

import random
import unittest

from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions import placement as placements
from wigeongw.decisions.placement import Candidate

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
) -> Candidate:
    target = Target(name, "s", "127.0.0.1:1", "amman", 4)
    sample = LoadSample(
        NOW - age_ms, running, waiting, 4, slowdown, 0.0, healthy
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
    *candidates: Candidate, skip_slow: bool = False
) -> str | None:
    placement = placements.choose(
        candidates,
        WORK_MS,
        OBJECTIVE_MS,
        0.5,
        NOW,
        random.Random(1),
        skip_slow,
    )
    return placement.target.identity if placement else None


class HostSubsetTest(unittest.TestCase):
    """Subsets limit the connections where hosts and upstreams are many."""

    UPSTREAMS = tuple(f"u{n}" for n in range(40))
    HOSTS = tuple(f"h{n}" for n in range(40))

    def test_every_upstream_is_in_the_subset_of_several_hosts(self) -> None:
        subsets = [
            placements.choose_subset(h, self.UPSTREAMS) for h in self.HOSTS
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
                subset = placements.choose_subset(host, self.UPSTREAMS[:count])
                self.assertEqual(
                    len(subset), min(count, placements.SUBSET_SIZE)
                )

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
