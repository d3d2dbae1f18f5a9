"""Tests that a steady load warms up every upstream of a pool."""

import unittest

from standins.permit_site import PermitSite
from standins.permit_site import POOL
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Verdict

# One request every 20 ms that takes 50 ms: fewer than one upstream can run.
STEP_MS = 20.0
LOAD_MS = 10_000.0


class ColdUpstreamTest(unittest.TestCase):
    def test_upstream_that_restarts_beside_a_warm_one_stays_cold(self) -> None:
        """Holders reused the permits of the warm upstream and asked for no
        others, so the grantor could offer the cold one to nobody.
        """
        for holders in (1, 3, 12):
            with self.subTest(holders=holders):
                site = PermitSite(holders)
                site.run(1_000.0, 1, STEP_MS)
                restarted = Return(POOL, 0, "u2", Verdict.RESTARTED)
                site.deliver(site.grantor.take_back("h0", restarted, site.now))
                self.assertFalse(site.grantor.upstreams["u2"].ramp.warm)
                site.run(LOAD_MS, 1, STEP_MS)
                self.assertTrue(site.grantor.upstreams["u2"].ramp.warm)


if __name__ == "__main__":
    unittest.main()
