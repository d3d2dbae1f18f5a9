"""Tests that the rate limits of all hosts add up to the site limits."""

from collections.abc import Callable
import functools
import random
import unittest

from standins.counting import max_in_window
from wigeongw.core.site import Service
from wigeongw.core.site import SiteLimits
from wigeongw.decisions import host_limits
from wigeongw.decisions.host_limits import HostRetryBudget
from wigeongw.decisions.host_limits import TokenBucket

TICK_MS = 5.0
BOUNDS = SiteLimits()
SERVICE = Service("dial-watch", "/health", 260, 3_000.0, 9.3)


def take_greedily(
    build: Callable[[], TokenBucket], hosts: int, ms: float
) -> list[float]:
    """Return the times at which all hosts take tokens as early as possible."""
    buckets = [build() for _ in range(hosts)]
    taken: list[float] = []
    now_ms = 0.0
    while now_ms < ms:
        taken.extend(now_ms for bucket in buckets if bucket.take(now_ms))
        now_ms += TICK_MS
    return taken


class ProbeBucketTest(unittest.TestCase):
    def test_all_hosts_stay_within_the_probe_limit_in_any_second(self) -> None:
        for hosts in (1, 4, 12, 17, 128):
            for joining in (0, int(hosts * host_limits.SPARE_HOSTS_RATIO)):
                with self.subTest(hosts=hosts, joining=joining):
                    taken = self.spend_probes(hosts, joining)
                    limit = max(BOUNDS.probes_per_s, hosts + joining)
                    maximum = max_in_window(taken, 1_000.0)
                    self.assertLessEqual(maximum, limit)

    def test_saved_cold_tokens_of_all_hosts_stay_within_the_limit(
        self,
    ) -> None:
        limit = (
            SERVICE.cold_per_s * BOUNDS.cold_rate_factor
            + BOUNDS.cold_rate_slack
        )
        rng = random.Random(1)
        for hosts in range(1, host_limits.MAX_COLD_HOSTS + 1):
            with self.subTest(hosts=hosts):
                bucket = host_limits.cold_bucket(
                    BOUNDS, SERVICE, hosts, 0.0, rng
                )
                saved_up = hosts * (bucket.capacity + bucket.rate)
                self.assertLessEqual(saved_up, limit)

    def test_few_hosts_send_to_a_cold_upstream(self) -> None:
        names = [f"h{n}" for n in range(43)]
        for count in (1, 6, 7, 43):
            found = host_limits.cold_hosts("u1", names[:count])
            self.assertEqual(
                len(found), min(count, host_limits.MAX_COLD_HOSTS)
            )

    def spend_probes(self, hosts: int, joining: int) -> list[float]:
        """Return the probe times of hosts in three zones at full rate."""
        same_zone_hosts = hosts // 3
        taken = []
        for same_zone, count in (
            (True, same_zone_hosts),
            (False, hosts - same_zone_hosts),
        ):
            build = functools.partial(
                host_limits.probe_bucket,
                BOUNDS,
                same_zone_hosts,
                hosts - same_zone_hosts,
                same_zone,
                0.0,
            )
            count_joining = (
                joining // 3 if same_zone else joining - joining // 3
            )
            taken += take_greedily(
                build, count + count_joining if count else 0, 5_000.0
            )
        return taken


class ColdBucketTest(unittest.TestCase):
    def test_all_hosts_stay_within_the_cold_rate_limit_in_any_second(
        self,
    ) -> None:
        limit = (
            SERVICE.cold_per_s * BOUNDS.cold_rate_factor
            + BOUNDS.cold_rate_slack
        )
        for seed in range(40):
            rng = random.Random(seed)
            for hosts in range(1, host_limits.MAX_COLD_HOSTS + 1):
                with self.subTest(seed=seed, hosts=hosts):
                    build = functools.partial(
                        host_limits.cold_bucket,
                        BOUNDS,
                        SERVICE,
                        hosts,
                        0.0,
                        rng,
                    )
                    taken = take_greedily(build, hosts, 6_000.0)
                    maximum = max_in_window(taken, 1_000.0)
                    self.assertLessEqual(maximum, limit)


class HostRetryBudgetTest(unittest.TestCase):
    def test_all_hosts_stay_within_the_retry_limit(self) -> None:
        """Every request fails on every host for 30 seconds."""
        for hosts, per_s in ((17, 140.0), (12, 50.0), (17, 0.0), (1, 30.0)):
            with self.subTest(hosts=hosts, per_s=per_s):
                retries = self.simulate_failures(hosts, per_s)
                window = BOUNDS.retry_window_ms
                requests = per_s * window / 1_000.0
                limit = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
                self.assertLessEqual(max_in_window(retries, window), limit)

    def test_saved_tokens_stay_within_the_retry_limit(self) -> None:
        """No request fails for a while, then every request fails."""
        for hosts, per_s in ((17, 140.0), (12, 50.0), (17, 600.0)):
            for idle_ms in (4_000.0, 10_000.0, 20_000.0):
                with self.subTest(hosts=hosts, per_s=per_s, idle_ms=idle_ms):
                    retries = self.simulate_failures(hosts, per_s, idle_ms)
                    window = BOUNDS.retry_window_ms
                    requests = per_s * window / 1_000.0
                    limit = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
                    self.assertLessEqual(max_in_window(retries, window), limit)

    def test_several_retries_are_allowed_at_once_after_an_idle_time(
        self,
    ) -> None:
        """All requests in flight at an upstream fail when it crashes."""
        budget = HostRetryBudget(BOUNDS, 12, 0.0)
        for number in range(60):
            budget.earn(number * 100.0)
        retries = sum(budget.spend(6_000.0) for _ in range(4))
        self.assertGreaterEqual(retries, 4)

    def test_hedged_requests_leave_a_reserve_for_failed_requests(self) -> None:
        budget = HostRetryBudget(BOUNDS, 12, 0.0)
        for number in range(30):
            budget.earn(number * 100.0)
        while budget.spend(3_000.0, host_limits.FAILED_RETRY_RESERVE):
            pass
        self.assertTrue(budget.spend(3_000.0))

    def simulate_failures(
        self, hosts: int, per_s: float, idle_ms: float = 0.0
    ) -> list[float]:
        budgets = [HostRetryBudget(BOUNDS, hosts, 0.0) for _ in range(hosts)]
        retries: list[float] = []
        due_requests = 0.0
        now_ms = 0.0
        requests_sent = 0
        while now_ms < 30_000.0:
            due_requests += per_s * TICK_MS / 1_000.0
            while due_requests >= 1.0:
                due_requests -= 1.0
                requests_sent += 1
                budgets[requests_sent % hosts].earn(now_ms)
            if now_ms >= idle_ms:
                retries.extend(
                    now_ms for budget in budgets if budget.spend(now_ms)
                )
            now_ms += TICK_MS
        return retries


if __name__ == "__main__":
    unittest.main()
