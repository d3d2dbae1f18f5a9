"""Tests of a grantor whose process was paused beyond its lease."""

from dataclasses import replace
import random
import unittest

from wigeongw.core.clock import ManualClock
from wigeongw.core.identifiers import pool_name
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import Upstream
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.permit_manager import PermitManager
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import PeerStatus
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import Register
from wigeongw.decisions.site_state import SiteState
from wigeongw.settings import validation

POOL = pool_name("dial-watch", "amman")
SETTINGS = """
site = "qadri"
[availability_zones.amman]
[services.dial-watch]
paths = ["/dial-watch"]
"""
ME = EntryHost("h1", "127.0.0.1:1", "127.0.0.1:11", "amman")
OTHER = EntryHost("h2", "127.0.0.1:2", "127.0.0.1:12", "amman")
UPSTREAM = Upstream("u", "127.0.0.1:3", "dial-watch", "amman")
LEASE_MS = 3_000.0
# Permits of an earlier grantor have expired by then.
SETTLED_MS = 20_000.0
PAUSE_MS = 6_000.0


class RecordingPeers:
    """Records what is sent to holders."""

    def __init__(self) -> None:
        self.sent: list[GrantorMessage] = []

    def send_to_holder(self, host: str, message: GrantorMessage) -> None:
        """Record a message."""
        self.sent.append(message)


class LapsedLeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.peers = RecordingPeers()
        self.manager = PermitManager(
            SiteState(ME),
            self.peers,  # type: ignore[arg-type]
            self.clock,
            random.Random(1),
            DecisionLog(self.clock, Metrics(), 100),
            Metrics(),
        )
        listing = HostListing((ME, OTHER), (UPSTREAM,))
        site = replace(
            SiteState(ME),
            settings=validation.validate_text(SETTINGS, "test"),
            fences={POOL: Fence(POOL, ME.name, 5)},
        )
        self.site = sites.with_listing(site, listing, 0.0)
        self.renew()
        self.manager.on_holder_messages(OTHER.name, [Register(POOL, ())])
        self.clock.advance(SETTLED_MS)
        self.renew()
        self.manager.tick()

    def renew(self) -> None:
        """Renew the lease and hear from the other host."""
        now = self.clock.now()
        self.site = replace(
            self.site,
            lease=LeaseState(now + LEASE_MS, LEASE_MS),
            peer_statuses={OTHER.name: PeerStatus(now, 0.0)},
            connected_hosts=frozenset({OTHER.name}),
        )
        self.manager.set_site(self.site)

    def grants(self) -> int:
        """Return how many permits an ask of the other host got."""
        self.peers.sent.clear()
        self.manager.on_holder_messages(OTHER.name, [Ask(POOL, 1, 1_000.0)])
        return sum(isinstance(m, Grant) for m in self.peers.sent)

    async def test_cold_upstream_is_granted_under_the_lease(self) -> None:
        self.assertEqual(self.grants(), 1)

    async def test_ask_that_waited_in_the_pause_is_granted_after_the_lease(
        self,
    ) -> None:
        """It is read before the timers run; another host grants by now."""
        self.clock.advance(PAUSE_MS)
        self.assertEqual(self.grants(), 0)

    async def test_load_report_of_the_pause_counts_after_the_lease(
        self,
    ) -> None:
        self.clock.advance(PAUSE_MS)
        self.manager.on_load_report(POOL, UPSTREAM.name, "start")
        self.assertFalse(self.manager.grantors.by_pool[POOL].fenced)


if __name__ == "__main__":
    unittest.main()
