"""Tests of accounts' quotas over many hosts, each with the load it names.

The hosts exchange messages that are lost, late and repeated, and hosts are
paused; nothing may exceed the quota, and little of it may be lost.
"""

import random
import unittest

from wigeongw.core.site import Host
from wigeongw.decisions import quota
from wigeongw.decisions.fair_order import FairOrder
from wigeongw.decisions.fair_order import round_number
from wigeongw.decisions.quota import GrantedRequests
from wigeongw.decisions.quota import QuotaGrantor
from wigeongw.decisions.quota import QuotaTerms

ZONES = ("a", "b", "c")
WINDOW_MS = 5_000.0
STEP_MS = 10.0
# What operators allow beyond the quota.
OVER_SHARE = 0.1
OVER_SLACK = 20
RUNS = 10_000
MODEL_STEPS = 40


class Site:
    """Grantors of one account, and hosts that ask them."""

    def __init__(
        self, rng: random.Random, per_s: float, burst: float, hosts: int
    ) -> None:
        self.rng = rng
        self.terms = QuotaTerms(per_s, burst, len(ZONES))
        self.grantors = [QuotaGrantor(self.terms, True, 0.0) for _ in ZONES]
        self.hosts = [GrantedRequests(0.0) for _ in range(hosts)]
        self.sent: list[float] = []
        self.refused = 0

    def request(self, host: int, now: float) -> bool:
        """Send one request through a host, asking zones in its order."""
        granted = self.hosts[host]
        granted.record_demand(now)
        if not granted.take(now):
            for offset in range(len(ZONES)):
                zone = (host + offset) % len(ZONES)
                if granted.denied_until.get(str(zone), 0.0) > now:
                    continue
                wanted = granted.wanted(1)
                grant = self.grantors[zone].grant(self.terms, wanted, now)
                granted.add(grant.count, now)
                if grant.wait_ms > 0.0:
                    granted.denied_until[str(zone)] = now + grant.wait_ms
                if grant.count:
                    break
            if not granted.take(now):
                self.refused += 1
                return False
        self.sent.append(now)
        return True

    def busiest_window(self) -> int:
        """Return the most requests that were sent in a window."""
        most = start = 0
        for end, at in enumerate(self.sent):
            while at - self.sent[start] > WINDOW_MS:
                start += 1
            most = max(most, end - start + 1)
        return most


def allowed(per_s: float, burst: float) -> float:
    quota_in_window = per_s * WINDOW_MS / 1_000.0 + burst
    return quota_in_window * (1.0 + OVER_SHARE) + OVER_SLACK


class QuotaTest(unittest.TestCase):
    def play(
        self,
        per_s: float,
        burst: float,
        demand_per_s: float,
        hosts: int,
        spread: int,
    ) -> tuple[Site, int]:
        """Play 15 s of demand on the first so many hosts."""
        rng = random.Random(int(per_s) * 7 + hosts)
        site = Site(rng, per_s, burst, hosts)
        asked = 0
        now = 0.0
        while now < 15_000.0:
            now += STEP_MS
            expected = demand_per_s * STEP_MS / 1_000.0
            count = int(expected) + (rng.random() < expected % 1.0)
            for _ in range(count):
                asked += 1
                site.request(rng.randrange(spread), now)
        return site, asked

    def test_far_beyond_the_quota_it_holds(self) -> None:
        """Load: accounts that send seven times their usual."""
        for per_s, burst in ((125.0, 125.0), (20.0, 20.0), (2.0, 2.0)):
            for hosts, spread in ((107, 107), (107, 3), (12, 12)):
                site, _ = self.play(per_s, burst, 7 * per_s, hosts, spread)
                with self.subTest(per_s=per_s, spread=spread):
                    most = site.busiest_window()
                    self.assertLessEqual(most, allowed(per_s, burst))

    def test_most_of_a_quota_can_be_used(self) -> None:
        """Load: twice the quota, on few hosts or on all."""
        for per_s in (125.0, 20.0):
            for spread in (107, 10, 1):
                site, _ = self.play(per_s, per_s, 2 * per_s, 107, spread)
                with self.subTest(per_s=per_s, spread=spread):
                    possible = per_s * 15.0 + per_s
                    self.assertGreater(len(site.sent), 0.9 * possible)

    def test_below_the_quota_nothing_is_refused(self) -> None:
        """Load: five eighths of the quota at any spread."""
        for per_s in (125.0, 20.0, 4.0):
            for spread in (107, 10, 1):
                site, asked = self.play(per_s, per_s, per_s / 1.6, 107, spread)
                with self.subTest(per_s=per_s, spread=spread):
                    self.assertLess(site.refused, 0.005 * asked + 1)

    def test_lower_limit_binds_at_once(self) -> None:
        grantor = QuotaGrantor(QuotaTerms(300.0, 300.0, 3), True, 0.0)
        lower = QuotaTerms(3.0, 3.0, 3)
        granted = grantor.grant(lower, 200, 1.0).count
        self.assertLessEqual(granted, 1 + lower.burst / lower.zones)

    def test_replaced_grantors_stay_within_the_allowance(self) -> None:
        """Load: one zone's old and new grantor are both asked for all."""
        per_s = burst = 125.0
        terms = QuotaTerms(per_s, burst, 3)
        stale = QuotaTerms(per_s, burst, 3, may_be_replaced=True)
        grantors = [(QuotaGrantor(terms, True, 0.0), terms) for _ in ZONES]
        grantors.append((QuotaGrantor(terms, False, 0.0), stale))
        granted = 0
        for step in range(int(WINDOW_MS / STEP_MS)):
            for grantor, of in grantors:
                granted += grantor.grant(of, 100, step * STEP_MS).count
        self.assertLessEqual(granted, allowed(per_s, burst))


class HandOverModelTest(unittest.TestCase):
    """Ten thousand random orders of messages, losses and pauses."""

    def run_model(self, seed: int, ttl_ms: float) -> int:
        """Return by how much sends exceed grants of the last moments."""
        rng = random.Random(seed)
        terms = QuotaTerms(30.0, 12.0, 3)
        grantor = QuotaGrantor(terms, True, 0.0)
        host = GrantedRequests(0.0)
        replies: list[tuple[float, int]] = []
        granted: list[tuple[float, int]] = []
        sent: list[float] = []
        now = 0.0
        for _ in range(MODEL_STEPS):
            now += rng.choice((1.0, 10.0, 50.0, 400.0))
            event = rng.random()
            if event < 0.4:
                grant = grantor.grant(terms, rng.randint(1, 8), now)
                granted.append((now, grant.count))
                if rng.random() < 0.8:
                    late_ms = rng.choice((0.0, 2.0, 25.0))
                    replies.append((now + late_ms, grant.count))
            for at, count in [r for r in replies if r[0] <= now]:
                replies.remove((at, count))
                if now - at <= 30.0:
                    host.add(count, at)
            while event > 0.3 and host.take(now):
                sent.append(now)
        return self.excess(sent, granted, ttl_ms)

    @staticmethod
    def excess(
        sent: list[float], granted: list[tuple[float, int]], ttl_ms: float
    ) -> int:
        """Return the most sends beyond what was granted for any span."""
        worst = 0
        for first in range(len(sent)):
            for last in range(first, len(sent)):
                begin, end = sent[first] - ttl_ms, sent[last]
                count = sum(n for at, n in granted if begin <= at <= end)
                worst = max(worst, last - first + 1 - count)
        return worst

    def test_no_order_of_messages_sends_more_than_was_granted(self) -> None:
        ttl_ms = quota.GRANT_TTL_MS + 55.0
        for seed in range(RUNS):
            self.assertLessEqual(self.run_model(seed, ttl_ms), 0, seed)

    def test_model_finds_grants_that_last_too_long(self) -> None:
        """The rule taken out: a grant that never ends is found."""
        ttl_ms = quota.GRANT_TTL_MS + 55.0
        original = quota.GRANT_TTL_MS
        try:
            quota.GRANT_TTL_MS = 1e9
            found = any(
                self.run_model(seed, ttl_ms) > 0 for seed in range(500)
            )
        finally:
            quota.GRANT_TTL_MS = original
        self.assertTrue(found)


class GrantorChoiceTest(unittest.TestCase):
    def test_one_grantor_a_zone_with_the_own_first(self) -> None:
        hosts = [
            Host(f"{zone}{n}", f"127.0.0.1:{n + 1}", zone)
            for zone in ZONES
            for n in range(9)
        ]
        found = quota.choose_grantors("acme", hosts, "b")
        self.assertEqual([name[0] for name in found], ["b", "a", "c"])
        again = quota.choose_grantors("acme", reversed(hosts), "b")
        self.assertEqual(found, again)

    def test_alone_hosts_together_grant_half_at_most(self) -> None:
        buckets = [quota.alone_bucket(60.0, 107, 0.0) for _ in range(107)]
        granted = sum(
            bucket.take(float(now))
            for now in range(0, 20_000, 100)
            for bucket in buckets
        )
        self.assertLessEqual(granted, 0.5 * 60.0 * 20.0)


class FairOrderTest(unittest.TestCase):
    def test_hot_account_waits_behind_itself(self) -> None:
        """Load: one account has a hundred requests, ten have one each."""
        turns = FairOrder()
        queue = [
            (round_number(turns.enter("hot")), n, "hot") for n in range(100)
        ]
        for number in range(10):
            start = turns.enter(f"small-{number}")
            queue.append((round_number(start), 100 + number, "small"))
        served = [who for _, _, who in sorted(queue)]
        self.assertLessEqual(
            max(i for i, w in enumerate(served) if w == "small"), 14
        )

    def test_order_is_by_arrival_with_one_account(self) -> None:
        turns = FairOrder()
        starts = [turns.enter("a") for _ in range(20)]
        self.assertEqual(starts, sorted(starts))

    def test_old_flows_are_forgotten(self) -> None:
        turns = FairOrder()
        for number in range(5_000):
            turns.serve(turns.enter(f"a-{number}") + 1.0)
        self.assertLessEqual(len(turns.finish), 1_001)


if __name__ == "__main__":
    unittest.main()
