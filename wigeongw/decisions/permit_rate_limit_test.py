"""Tests that permits keep the rate limits that upstreams name."""

import unittest

from standins.counting import max_in_window
from standins.permit_site import PermitSite
from standins.permit_site import POOL
from standins.permit_site import RULES
from standins.permit_site import SLOTS
from standins.permit_site import UPSTREAMS
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Verdict
from wigeongw.settings.schema import ColdStartSettings

WINDOW_MS = 4_000.0
LIMIT = LimitReport(1.0)


class PermitRateLimitTest(unittest.TestCase):
    def test_holders_keep_the_limit_and_use_it(self) -> None:
        for holders in (1, 12, 40):
            for per_s in (1.0, 4.0, 20.0):
                with self.subTest(holders=holders, per_s=per_s):
                    site = PermitSite(holders)
                    site.run(1_000.0, 2)
                    site.limits["u1"] = per_s
                    named_at = site.now + 500.0
                    site.run(9_000.0, 2)
                    most = max_in_window(
                        (t for t in site.sent["u1"] if t >= named_at),
                        WINDOW_MS,
                    )
                    self.assertLessEqual(most, 6.0 * per_s + 5.0)
                    used = [t for t in site.sent["u1"] if t >= named_at]
                    self.assertGreaterEqual(len(used), 0.8 * per_s * 8.5)

    def test_limit_that_ends_is_forgotten(self) -> None:
        site = PermitSite(4)
        site.limits["u1"] = 2.0
        site.run(3_000.0, 2)
        site.limits["u1"] = None
        site.run(3_000.0, 2)
        recent = [t for t in site.sent["u1"] if t > site.now - 1_000.0]
        self.assertGreater(len(recent), 20)

    def test_limit_that_comes_and_goes_gains_requests(self) -> None:
        site = PermitSite(1)
        grantor = site.grantor
        tracked = grantor.upstreams["u1"]
        granted = 0
        for step in range(40):
            site.now = step * 10.0
            named = Return(POOL, 0, "u1", Verdict.GOOD, 1.0, "", LIMIT)
            grantor.take_back("h0", named, site.now)
            limit = tracked.rate_limit
            assert limit is not None
            granted += limit.grant(limit.terms, site.now) <= 0.0
            ended = Return(
                POOL, 0, "u1", Verdict.GOOD, 1.0, "", LimitReport(None)
            )
            grantor.take_back("h0", ended, site.now)
        self.assertLessEqual(granted, 2)

    def test_long_response_ends_a_limit_that_was_named_meanwhile(
        self,
    ) -> None:
        ended = LimitReport(None)
        self.assertEqual(ended.after(50.0), ended)
        self.assertIsNone(ended.after(2_000.0))
        self.assertEqual(LIMIT.after(2_000.0), LIMIT)

    def test_hosts_without_a_grantor_keep_the_limit(self) -> None:
        for holders in (1, SLOTS):
            with self.subTest(holders=holders):
                site = PermitSite(holders)
                site.limits["u1"] = 3.0
                site.run(3_000.0, 2)
                site.set_grantor(None)
                isolated_at = site.now
                site.run(9_000.0, 2)
                most = max_in_window(
                    (t for t in site.sent["u1"] if t >= isolated_at), WINDOW_MS
                )
                self.assertLessEqual(most, 6.0 * 3.0 + 5.0)

    def test_new_grantor_takes_the_limit_over(self) -> None:
        site = PermitSite(2)
        site.limits["u1"] = 2.5
        site.run(2_000.0, 2)
        known = {view.upstream: view for view in site.grantor.views()}
        self.assertEqual(known["u1"].rate_limit_per_s, 2.5)
        successor = Grantor(
            POOL, RULES, ColdStartSettings(), Takeover(2, known), site.now
        )
        successor.set_upstreams(UPSTREAMS, SLOTS, site.now)
        limit = successor.upstreams["u1"].rate_limit
        assert limit is not None
        self.assertFalse(limit.has_grant(site.now))

    def test_permits_in_use_when_the_limit_is_named_are_used_once(
        self,
    ) -> None:
        site = PermitSite(3)
        site.run(500.0, 3)
        site.limits["u1"] = 1.0
        site.run(300.0, 3)
        named_at = site.now
        site.run(4_000.0, 3)
        recent = [t for t in site.sent["u1"] if t > named_at]
        self.assertLessEqual(len(recent), 6.0 * 1.0 + 5.0)

    def test_grantor_without_the_fence_grants_half(self) -> None:
        counts = []
        for fenced in (True, False):
            site = PermitSite(3, fenced)
            site.limits["u1"] = 10.0
            site.run(1_000.0, 2)
            start = site.now
            site.run(8_000.0, 2)
            counts.append(sum(1 for t in site.sent["u1"] if t > start))
        self.assertLess(counts[1], 0.6 * counts[0])


if __name__ == "__main__":
    unittest.main()
