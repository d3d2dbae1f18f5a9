"""Tests that all hosts together keep the rate limit of an upstream.

The bound is that of the users: once a limit has settled, an upstream gets at
most one and a half times what it allows in any four seconds, and five more.
"""

from collections import Counter
import random
import unittest

from standins.counting import max_in_window
from wigeongw.core.clock import MS_PER_S
from wigeongw.decisions import rate_limit
from wigeongw.decisions.rate_limit import Admission
from wigeongw.decisions.rate_limit import GrantTerms
from wigeongw.decisions.rate_limit import LimitGrantor

WINDOW_MS = 4_000.0
TICK_MS = 10.0
HOST_COUNTS = (1, 2, 12, 17, 130, 313, 1_000)
LIMITS_PER_S = (0.0, 0.3, 1.0, 1.2, 2.8, 9.0, 60.0)
# What must be used of a limit while there is demand.
MIN_USED_SHARE = 0.8


def allowed_in_window(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_MS / MS_PER_S + 5.0


def terms(
    per_s: float, hosts: int = 12, may_be_replaced: bool = False
) -> GrantTerms:
    grantors = min(rate_limit.MAX_GRANTORS, hosts)
    return GrantTerms(per_s, grantors, may_be_replaced)


def take_greedily(
    grantor: LimitGrantor,
    grant_terms: GrantTerms,
    start: float,
    duration_ms: float,
) -> list[float]:
    """Return when requests are granted to hosts that ask all the time."""
    granted = []
    now = start
    while now < start + duration_ms:
        if grantor.grant(grant_terms, now) <= 0.0:
            granted.append(now)
        now += TICK_MS
    return granted


class Site:
    """Hosts that ask the grantors of one upstream for requests."""

    def __init__(self, hosts: int, rng: random.Random) -> None:
        self.rng = rng
        self.names = [f"h{n}" for n in range(hosts)]
        self.hosts = hosts
        self.grantor_names = rate_limit.choose_grantors("u", self.names, ())
        self.grantors: dict[str, LimitGrantor] = {}
        self.denied_until: dict[str, dict[str, float]] = {}
        self.sent: list[float] = []

    def want(self, per_s: float, now: float) -> None:
        """Let a random host ask for one request."""
        host = self.rng.choice(self.names)
        denied_until = self.denied_until.setdefault(host, {})
        order = rate_limit.order_grantors(
            self.grantor_names, denied_until, host, "u", now
        )
        grant_terms = terms(per_s, self.hosts)
        for name in order:
            grantor = self.grantors.setdefault(
                name, LimitGrantor(grant_terms, True, now)
            )
            wait_ms = grantor.grant(grant_terms, now)
            if wait_ms <= 0.0:
                self.sent.append(now)
                return
            denied_until[name] = now + wait_ms


class SiteBoundTest(unittest.TestCase):
    def test_hosts_keep_the_limit_and_use_it_while_there_is_demand(
        self,
    ) -> None:
        duration_ms = 12_000.0
        for hosts in HOST_COUNTS:
            for per_s in LIMITS_PER_S:
                with self.subTest(hosts=hosts, per_s=per_s):
                    site = self.play(hosts, per_s, duration_ms)
                    self.assertLessEqual(
                        max_in_window(site.sent, WINDOW_MS),
                        allowed_in_window(per_s),
                    )
                    expected = per_s * duration_ms / MS_PER_S
                    self.assertGreaterEqual(
                        len(site.sent), MIN_USED_SHARE * expected
                    )

    def test_new_grantors_and_their_predecessors_keep_the_limit(self) -> None:
        """The predecessors have lost the store and were replaced."""
        for per_s in LIMITS_PER_S:
            with self.subTest(per_s=per_s):
                sent = []
                for replaced in (False, True):
                    grant_terms = terms(per_s, 12, replaced)
                    for _ in range(rate_limit.MAX_GRANTORS):
                        grantor = LimitGrantor(grant_terms, True, 0.0)
                        sent += take_greedily(
                            grantor, grant_terms, 0.0, 12_000.0
                        )
                self.assertLessEqual(
                    max_in_window(sent, WINDOW_MS), allowed_in_window(per_s)
                )

    def test_grantors_that_change_every_second_keep_the_limit(self) -> None:
        """Hosts learn a change of the hosts up to two seconds apart."""
        for seed in range(30):
            rng = random.Random(seed)
            per_s = rng.choice((1.0, 1.7, 3.0, 12.0))
            with self.subTest(seed=seed, per_s=per_s):
                sent = []
                for slot in range(rate_limit.MAX_GRANTORS):
                    start = 0.0
                    settled = True
                    while start < 20_000.0:
                        own_ms = rng.uniform(1_000.0, 6_000.0)
                        overlap_ms = rng.uniform(0.0, 2_000.0) * slot
                        grant_terms = terms(per_s)
                        grantor = LimitGrantor(grant_terms, settled, start)
                        sent += take_greedily(
                            grantor, grant_terms, start, own_ms + overlap_ms
                        )
                        start += own_ms
                        settled = False
                self.assertLessEqual(
                    max_in_window(sent, WINDOW_MS), allowed_in_window(per_s)
                )

    def test_limit_that_falls_is_kept_within_one_window(self) -> None:
        for before, after in ((9.0, 1.0), (60.0, 2.0), (2.0, 0.0)):
            with self.subTest(before=before, after=after):
                sent: list[float] = []
                for _ in range(rate_limit.MAX_GRANTORS):
                    grantor = LimitGrantor(terms(before), True, 0.0)
                    grantor.grant(terms(before), 10_000.0)
                    sent += take_greedily(
                        grantor, terms(after), 10_000.0, 12_000.0
                    )
                self.assertLessEqual(
                    max_in_window(sent, WINDOW_MS), allowed_in_window(after)
                )

    def test_limit_of_zero_still_gets_a_request_now_and_then(self) -> None:
        grantor = LimitGrantor(terms(0.0, 1), False, 0.0)
        sent = take_greedily(grantor, terms(0.0, 1), 0.0, 60_000.0)
        self.assertGreaterEqual(len(sent), 4)

    def play(self, hosts: int, per_s: float, duration_ms: float) -> Site:
        rng = random.Random(hosts)
        site = Site(hosts, rng)
        demand_per_s = 20.0 + 4.0 * per_s
        due = now = 0.0
        while now < duration_ms:
            due += demand_per_s * TICK_MS / MS_PER_S
            while due >= 1.0:
                due -= 1.0
                site.want(per_s, now)
            now += TICK_MS
        return site


class GrantorChoiceTest(unittest.TestCase):
    def test_grantors_are_few_and_in_the_zone_of_the_upstream(self) -> None:
        cases: tuple[tuple[list[str], list[str], int, set[str]], ...] = (
            (["a", "b", "c"], ["x", "y"], 2, {"a", "b", "c"}),
            (["a"], ["x", "y"], 2, {"a", "x", "y"}),
            ([], ["x"], 1, {"x"}),
            ([], [], 0, set()),
        )
        for local, others, count, eligible in cases:
            with self.subTest(local=local, others=others):
                found = rate_limit.choose_grantors("u", local, others)
                self.assertEqual(len(found), count)
                self.assertLessEqual(set(found), eligible)
                self.assertEqual(bool(set(local) & set(found)), bool(local))

    def test_upstreams_are_spread_over_the_grantors(self) -> None:
        hosts = [f"h{n}" for n in range(313)]
        counts: Counter[str] = Counter()
        for number in range(271):
            counts.update(rate_limit.choose_grantors(f"u{number}", hosts, ()))
        self.assertLessEqual(max(counts.values()), 9)

    def test_one_host_that_leaves_replaces_one_grantor(self) -> None:
        hosts = [f"h{n}" for n in range(130)]
        before = rate_limit.choose_grantors("u", hosts, ())
        hosts.remove(before[0])
        after = rate_limit.choose_grantors("u", hosts, ())
        self.assertEqual(len(set(before) & set(after)), 1)

    def test_order_to_ask(self) -> None:
        cases: tuple[tuple[str, str, dict[str, float], set[str]], ...] = (
            ("another host asks both", "h9", {}, {"a", "b"}),
            ("denied ones are left out", "h9", {"a": 10.0}, {"b"}),
            ("a denial ends", "h9", {"a": 5.0}, {"a", "b"}),
            ("all have denied", "h9", {"a": 6.0, "b": 7.0}, set()),
        )
        for name, host, denied, expected in cases:
            with self.subTest(name):
                found = rate_limit.order_grantors(
                    ["a", "b"], denied, host, "u", 5.0
                )
                self.assertEqual(set(found), expected)
        own = rate_limit.order_grantors(["a", "b"], {}, "b", "u", 5.0)
        self.assertEqual(own, ["b", "a"])

    def test_hosts_ask_different_grantors_first(self) -> None:
        first = Counter(
            rate_limit.order_grantors(["a", "b"], {}, f"h{n}", "u", 0.0)[0]
            for n in range(100)
        )
        self.assertGreaterEqual(min(first.values()), 30)


class AdmissionTest(unittest.TestCase):
    def test_admission_is_valid_for_a_moment(self) -> None:
        cases = (
            ("no limit", Admission(), False, 9_000.0, True),
            ("limit named after the queue", Admission(), True, 0.0, False),
            ("granted", Admission(0.0), True, 249.0, True),
            ("the host was paused", Admission(0.0), True, 251.0, False),
            ("limit ended", Admission(0.0), False, 9_000.0, True),
        )
        for name, admission, is_limited, now, expected in cases:
            with self.subTest(name):
                self.assertEqual(admission.is_valid(is_limited, now), expected)


class EstimateTest(unittest.TestCase):
    def test_earliest_grant(self) -> None:
        cases = (
            ([300.0, 100.0], 0, 100.0),
            ([300.0, 100.0], 1, 300.0),
            ([300.0, 100.0], 2, 400.0),
            ([300.0, 100.0], 5, 900.0),
        )
        for waits_ms, ahead, expected in cases:
            with self.subTest(waits_ms=waits_ms, ahead=ahead):
                found = rate_limit.earliest_grant_ms(waits_ms, ahead)
                self.assertEqual(found, expected)

    def test_usable_slots(self) -> None:
        cases = (
            (4, None, 200.0, 4.0),
            (4, 2.0, 200.0, 0.4),
            (4, 60.0, 200.0, 4.0),
            (4, 0.0, 200.0, 0.0),
        )
        for slots, per_s, work_ms, expected in cases:
            with self.subTest(slots=slots, per_s=per_s):
                found = rate_limit.usable_slots(slots, per_s, work_ms)
                self.assertAlmostEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
