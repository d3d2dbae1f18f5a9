"""Tests that a steady load warms up every upstream of a pool."""

import unittest

from standins.permit_site import PermitSite
from standins.permit_site import POOL
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Verdict

# One request every 20 ms that takes 50 ms: fewer than one upstream can run.
STEP_MS = 20.0
LOAD_MS = 10_000.0
# Too slow to count towards the warm-up.
SLOW_MS = 400.0


class ColdUpstreamTest(unittest.TestCase):
    def test_upstream_that_restarts_beside_a_warm_one_stays_cold(self) -> None:
        """Holders reused the permits of the warm upstream and asked for no
        others, so the grantor could offer the cold one to nobody.
        """
        for holders in (1, 3, 12):
            with self.subTest(holders=holders):
                site = self.restarted_site(holders)
                site.run(LOAD_MS, 1, STEP_MS)
                self.assertTrue(site.grantor.upstreams["u2"].ramp.warm)

    def test_slow_upstream_is_offered_few_requests(self) -> None:
        """Each of them is slow for its client."""
        site = self.restarted_site(1)
        site.served_ms["u2"] = SLOW_MS
        before = len(site.sent["u2"])
        site.run(LOAD_MS, 1, STEP_MS)
        self.assertFalse(site.grantor.upstreams["u2"].ramp.warm)
        offered = len(site.sent["u2"]) - before
        self.assertGreaterEqual(offered, 5)
        self.assertLessEqual(offered, 15)

    def restarted_site(self, holders: int) -> PermitSite:
        """Return a site under load one of whose upstreams restarts."""
        site = PermitSite(holders)
        site.run(1_000.0, 1, STEP_MS)
        restarted = Return(POOL, 0, "u2", Verdict.RESTARTED)
        site.deliver(site.grantor.take_back("h0", restarted, site.now))
        self.assertFalse(site.grantor.upstreams["u2"].ramp.warm)
        return site


if __name__ == "__main__":
    unittest.main()
