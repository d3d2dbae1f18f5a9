"""Parts of bounds over all hosts, added up over every window."""

from collections.abc import Callable
import functools
import random
import unittest

from wigeongw.core.site import Bounds
from wigeongw.core.site import Service
from wigeongw.decisions import shares
from wigeongw.decisions.shares import Bucket
from wigeongw.decisions.shares import RetryShare

STEP_MS = 5.0
BOUNDS = Bounds()
SERVICE = Service("dial-watch", "/health", 260, 3_000.0, 9.3)


def most_in_window(times: list[float], window_ms: float) -> int:
    times.sort()
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def greedy(build: Callable[[], Bucket], hosts: int, ms: float) -> list[float]:
    """Let every host take each token the moment that it is there."""
    buckets = [build() for _ in range(hosts)]
    taken: list[float] = []
    at = 0.0
    while at < ms:
        taken.extend(at for bucket in buckets if bucket.take(at))
        at += STEP_MS
    return taken


class ProbeBucketTest(unittest.TestCase):
    def test_all_hosts_together_keep_the_budget_in_any_second(self) -> None:
        for hosts in (1, 4, 12, 17, 128):
            for added in (0, int(hosts * shares.SPARE_HOSTS_RATIO)):
                with self.subTest(hosts=hosts, added=added):
                    taken = self.spend(hosts, added)
                    bound = max(BOUNDS.probes_per_s, hosts + added)
                    most = most_in_window(taken, 1_000.0)
                    self.assertLessEqual(most, bound)

    def test_requests_saved_up_by_all_hosts_stay_within_the_bound(
        self,
    ) -> None:
        bound = SERVICE.cold_per_s * BOUNDS.cold_over + BOUNDS.cold_slack
        rng = random.Random(1)
        for hosts in range(1, shares.COLD_HOSTS + 1):
            with self.subTest(hosts=hosts):
                each = shares.cold_bucket(BOUNDS, SERVICE, hosts, 0.0, rng)
                saved_up = hosts * (each.most + each.rate)
                self.assertLessEqual(saved_up, bound)

    def test_few_hosts_share_a_cold_upstream(self) -> None:
        names = [f"h{n}" for n in range(43)]
        for count in (1, 6, 7, 43):
            found = shares.cold_hosts("u1", names[:count])
            self.assertEqual(len(found), min(count, shares.COLD_HOSTS))

    def spend(self, hosts: int, added: int) -> list[float]:
        """Let the hosts of three zones spend all that they may."""
        near = hosts // 3
        taken = []
        for is_near, count in ((True, near), (False, hosts - near)):
            build = functools.partial(
                shares.probe_bucket, BOUNDS, near, hosts - near, is_near, 0.0
            )
            more = added // 3 if is_near else added - added // 3
            taken += greedy(build, count + more if count else 0, 5_000.0)
        return taken


class ColdBucketTest(unittest.TestCase):
    def test_all_hosts_together_spare_a_cold_upstream(self) -> None:
        bound = SERVICE.cold_per_s * BOUNDS.cold_over + BOUNDS.cold_slack
        for seed in range(40):
            rng = random.Random(seed)
            for hosts in range(1, shares.COLD_HOSTS + 1):
                with self.subTest(seed=seed, hosts=hosts):
                    build = functools.partial(
                        shares.cold_bucket, BOUNDS, SERVICE, hosts, 0.0, rng
                    )
                    taken = greedy(build, hosts, 6_000.0)
                    most = most_in_window(taken, 1_000.0)
                    self.assertLessEqual(most, bound)


class RetryShareTest(unittest.TestCase):
    def test_all_hosts_together_keep_the_bound(self) -> None:
        """Every request fails, on every host, for half a minute."""
        for hosts, per_s in ((17, 140.0), (12, 50.0), (17, 0.0), (1, 30.0)):
            with self.subTest(hosts=hosts, per_s=per_s):
                sent = self.play(hosts, per_s)
                window = BOUNDS.retry_window_ms
                requests = per_s * window / 1_000.0
                bound = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
                self.assertLessEqual(most_in_window(sent, window), bound)

    def test_saved_up_further_sends_keep_the_bound(self) -> None:
        """Nothing fails for a while, then everything does."""
        for hosts, per_s in ((17, 140.0), (12, 50.0), (17, 600.0)):
            for calm_ms in (4_000.0, 10_000.0, 20_000.0):
                with self.subTest(hosts=hosts, per_s=per_s, calm=calm_ms):
                    sent = self.play(hosts, per_s, calm_ms)
                    window = BOUNDS.retry_window_ms
                    requests = per_s * window / 1_000.0
                    bound = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
                    self.assertLessEqual(most_in_window(sent, window), bound)

    def test_after_a_calm_several_can_be_sent_again_at_once(self) -> None:
        """What an upstream had in its slots fails when it dies."""
        share = RetryShare(BOUNDS, 12, 0.0)
        for number in range(60):
            share.earn(number * 100.0)
        sent = sum(share.spend(6_000.0) for _ in range(4))
        self.assertGreaterEqual(sent, 4)

    def test_late_requests_leave_something_for_failed_ones(self) -> None:
        share = RetryShare(BOUNDS, 12, 0.0)
        for number in range(30):
            share.earn(number * 100.0)
        while share.spend(3_000.0, shares.KEPT_FOR_FAILED):
            pass
        self.assertTrue(share.spend(3_000.0))

    def play(
        self, hosts: int, per_s: float, calm_ms: float = 0.0
    ) -> list[float]:
        parts = [RetryShare(BOUNDS, hosts, 0.0) for _ in range(hosts)]
        sent: list[float] = []
        due = 0.0
        at = 0.0
        turn = 0
        while at < 30_000.0:
            due += per_s * STEP_MS / 1_000.0
            while due >= 1.0:
                due -= 1.0
                turn += 1
                parts[turn % hosts].earn(at)
            if at >= calm_ms:
                sent.extend(at for part in parts if part.spend(at))
            at += STEP_MS
        return sent


if __name__ == "__main__":
    unittest.main()
