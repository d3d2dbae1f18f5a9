import random
import unittest

from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions import placing
from wigeongw.decisions.placing import Candidate

NOW = 10_000.0
WORK_MS = 100.0
OBJECTIVE_MS = 300.0


def candidate(
    name: str,
    near: bool = True,
    running: int = 0,
    waiting: int = 0,
    slowdown: float = 1.0,
    age: float = 0.0,
    sent: int = 0,
    risk: float = 0.0,
    cold: bool = False,
    doubtful: bool = False,
    open_cold: bool = False,
    healthy: bool = True,
    sampled: bool = True,
    askable: bool = True,
    silent: bool = False,
    own: bool = True,
) -> Candidate:
    target = Target(name, "s", "127.0.0.1:1", "amman", 4)
    sample = LoadSample(NOW - age, running, waiting, 4, slowdown, 0.0, healthy)
    return Candidate(
        target,
        near,
        sample if sampled else None,
        sent,
        risk,
        cold,
        cold or doubtful,
        askable,
        open_cold,
        silent,
        own,
    )


def chosen(*candidates: Candidate, picky: bool = False) -> str | None:
    placed = placing.choose(
        candidates,
        WORK_MS,
        OBJECTIVE_MS,
        0.5,
        NOW,
        random.Random(1),
        picky,
    )
    return placed.target.identity if placed else None


class OwnPartTest(unittest.TestCase):
    """Many hosts and upstreams near each other: connections stay few."""

    UPSTREAMS = tuple(f"u{n}" for n in range(40))
    HOSTS = tuple(f"h{n}" for n in range(40))

    def test_every_upstream_is_in_the_part_of_several_hosts(self) -> None:
        parts = [placing.own_part(h, self.UPSTREAMS) for h in self.HOSTS]
        for upstream in self.UPSTREAMS:
            with self.subTest(upstream=upstream):
                holders = sum(upstream in part for part in parts)
                self.assertGreaterEqual(holders, 2)

    def test_connections_grow_with_the_hosts_alone(self) -> None:
        for host in self.HOSTS:
            for count in (1, 8, 20, 40):
                part = placing.own_part(host, self.UPSTREAMS[:count])
                self.assertEqual(len(part), min(count, placing.OWN_PART))

    def test_own_ones_are_asked_and_taken_first(self) -> None:
        other = candidate("other", own=False)
        mine = candidate("mine")
        order = placing.probe_order([other, mine], 0.5, NOW, random.Random(1))
        self.assertEqual(order[0].target.identity, "mine")
        self.assertEqual(chosen(other, mine), "mine")

    def test_others_are_taken_when_own_ones_are_full(self) -> None:
        full = candidate("mine", running=4)
        self.assertEqual(chosen(candidate("other", own=False), full), "other")


class ChooseTest(unittest.TestCase):
    def test_what_should_finish_first_is_chosen(self) -> None:
        plain = candidate("a")
        cases = (
            ("free over busy", "a", (plain, candidate("b", running=4))),
            ("fast over slow", "a", (plain, candidate("b", slowdown=5.0))),
            ("sound over failing", "a", (plain, candidate("b", risk=0.5))),
            ("own sends count", "a", (plain, candidate("b", sent=3))),
            ("fit over unfit", "a", (plain, candidate("b", healthy=False))),
            ("near over far", "a", (plain, candidate("b", near=False))),
            (
                "far and fast over near and slow",
                "b",
                (
                    candidate("a", slowdown=5.0),
                    candidate("b", near=False),
                ),
            ),
            (
                "known over unknown",
                "a",
                (plain, candidate("b", sampled=False)),
            ),
            ("unfit rather than none", "b", (candidate("b", healthy=False),)),
        )
        for case, expected, candidates in cases:
            with self.subTest(case=case):
                self.assertEqual(chosen(*candidates), expected)

    def test_full_upstreams_get_nothing(self) -> None:
        for running, waiting in ((4, 0), (4, 3), (3, 1)):
            with self.subTest(running=running, waiting=waiting):
                busy = candidate("a", running=running, waiting=waiting)
                self.assertIsNone(chosen(busy))

    def test_cold_and_doubtful_upstreams_need_a_token(self) -> None:
        cases = (
            (candidate("a", cold=True), None),
            (candidate("a", doubtful=True), None),
            (candidate("a", cold=True, open_cold=True), "a"),
            (candidate("a", doubtful=True, open_cold=True), "a"),
        )
        for found, expected in cases:
            with self.subTest(found=found):
                self.assertEqual(chosen(found), expected)

    def test_slow_upstreams_are_passed_over_while_waiting_helps(self) -> None:
        slow = candidate("a", slowdown=5.0)
        self.assertIsNone(chosen(slow, picky=True))
        self.assertEqual(chosen(slow), "a")

    def test_an_old_sample_does_not_show_an_upstream_as_free(self) -> None:
        stale = candidate("a", age=1_000.0)
        ahead = placing.requests_ahead(stale, 1.0, NOW)
        self.assertEqual(ahead, 4.0)


if __name__ == "__main__":
    unittest.main()
