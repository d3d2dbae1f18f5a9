"""Tests that a host's limits follow the number of hosts and the bounds."""

from dataclasses import replace
import os
import random
import unittest

from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import Target
from wigeongw.decisions import host_limits
from wigeongw.decisions import placement as placements
from wigeongw.decisions import site_view
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import ZoneEvacuated

TARGET = Target("i-1", "s", "127.0.0.1:1", "amman", 4)
NEVER = float("-inf")


def make_host(number: int) -> Host:
    zone = "amman" if number % 2 else "irbid"
    return Host(f"h{number}", f"127.0.0.1:{number}", zone, "")


def make_targets(count: int, *zones: str) -> list[Target]:
    """Return targets of one service, so many in each zone."""
    return [
        Target(f"{zone}-{number}", "s", "127.0.0.1:1", zone, 4)
        for zone in zones
        for number in range(count)
    ]


class GatewayStateTest(unittest.TestCase):
    def setUp(self) -> None:
        null_fd = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, null_fd)
        clock = Clock()
        host_config = HostConfig("h1", "amman", "127.0.0.1:1", "", "")
        log = DecisionLog(clock, "h1", null_fd)
        self.state = GatewayState(
            host_config, clock, random.Random(1), log, Metrics()
        )

    def apply_changes(self, *changes: Change) -> None:
        view = site_view.apply_changes(self.state.view, changes, 0.0, NEVER)
        self.state.apply_view(view)

    def test_invalid_peer_address_keeps_the_other_hosts(self) -> None:
        good = Host("h2", "127.0.0.1:2", "amman", "127.0.0.1:9")
        for peer in ("nonsense", "127.0.0.1:", ":"):
            with self.subTest(peer):
                bad = Host("h3", "127.0.0.1:3", "amman", peer)
                self.apply_changes(good, bad)
                self.assertEqual(
                    self.state.peer_addresses, {"h2": ("127.0.0.1", 9)}
                )
                self.assertIn("bad_peer_address", self.state.log.lines[-1])

    def cold_rate(self, hosts: int) -> float:
        """Return the expected rate of the cold limit with so many hosts."""
        service = self.state.service("s")
        assert service is not None
        return host_limits.cold_bucket(
            self.state.bounds, service, hosts, 0.0, random.Random(1)
        ).rate

    def preferred(self, zone: str) -> set[str]:
        """Return the preferred upstreams in a zone."""
        return {
            state.target.identity
            for state in self.state.targets.values()
            if state.in_subset and state.target.availability_zone == zone
        }

    def test_few_upstreams_are_preferred_in_each_zone(self) -> None:
        """A host of a large site keeps connections to a few upstreams."""
        self.apply_changes(
            configuration(), *make_targets(40, "amman", "irbid")
        )
        self.assertEqual(len(self.preferred("amman")), placements.SUBSET_SIZE)
        self.assertEqual(
            len(self.preferred("irbid")), placements.REMOTE_SUBSET_SIZE
        )

    def test_requests_consider_a_bounded_number_of_upstreams(self) -> None:
        for count in (3, 8, 40, 200):
            with self.subTest(count=count):
                self.apply_changes(
                    configuration(), *make_targets(count, "amman", "irbid")
                )
                considered = self.state.preferred_targets("s")
                self.assertLessEqual(
                    len(considered),
                    placements.SUBSET_SIZE + placements.REMOTE_SUBSET_SIZE,
                )
                self.assertGreaterEqual(len(considered), min(count, 8))
                others = self.state.other_targets("s")
                self.assertEqual(len(considered) + len(others), 2 * count)

    def test_preferred_upstreams_can_be_used(self) -> None:
        """Draining upstreams and evacuated zones are left out.

        Cold upstreams keep their place for the time when they are warm, and
        another one is added until then.
        """
        self.apply_changes(
            configuration(), *make_targets(40, "amman", "irbid")
        )
        draining, cold = sorted(self.preferred("amman"))[:2]
        kept = self.preferred("amman") - {draining, cold}
        self.apply_changes(
            replace(self.state.targets[draining].target, draining=True),
            replace(
                self.state.targets[cold].target,
                cold_left_ms=3_000.0,
                born_ms=5.0,
            ),
        )
        found = self.preferred("amman")
        self.assertEqual(len(found - {cold}), placements.SUBSET_SIZE)
        self.assertNotIn(draining, found)
        self.assertLessEqual(kept | {cold}, found)
        self.apply_changes(ZoneEvacuated("amman"))
        self.assertEqual(self.preferred("amman"), set())
        self.assertEqual(
            len(self.preferred("irbid")), placements.REMOTE_SUBSET_SIZE
        )

    def test_limits_follow_hosts_known_after_the_upstream(self) -> None:
        """At a start of the site all hosts register at about the same time."""
        self.apply_changes(TARGET)
        self.apply_changes(configuration())
        for number in range(12):
            self.apply_changes(make_host(number))
        rate = self.state.targets["i-1"].cold_bucket.rate
        self.assertAlmostEqual(rate, self.cold_rate(6))

    def test_limits_still_count_hosts_that_disappeared(self) -> None:
        self.apply_changes(configuration(), TARGET, *map(make_host, range(12)))
        self.apply_changes(*(HostGone(f"h{n}") for n in range(2, 8)))
        rate = self.state.targets["i-1"].cold_bucket.rate
        self.assertAlmostEqual(rate, self.cold_rate(6))

    def test_remote_hosts_get_no_share_of_cold_limit(self) -> None:
        remote = replace(TARGET, identity="i-2", availability_zone="irbid")
        without_local_hosts = replace(
            TARGET, identity="i-3", availability_zone="zarqa"
        )
        self.apply_changes(
            configuration(),
            remote,
            without_local_hosts,
            *map(make_host, range(12)),
        )
        self.assertEqual(self.state.targets["i-2"].cold_bucket.rate, 0.0)
        cold_hosts = host_limits.cold_hosts(
            "i-3", (f"h{n}" for n in range(12))
        )
        self.assertEqual(
            "h1" in cold_hosts,
            self.state.targets["i-3"].cold_bucket.rate > 0.0,
        )

    def test_changed_bounds_apply_to_known_upstreams(self) -> None:
        self.apply_changes(configuration(), TARGET, *map(make_host, range(12)))
        self.state.retry_budget("s")
        before = self.state.targets["i-1"].probe_bucket.rate
        bounds = self.state.bounds
        self.state.update_bounds(
            replace(bounds, probes_per_s=bounds.probes_per_s / 2)
        )
        self.assertLess(self.state.targets["i-1"].probe_bucket.rate, before)

    def test_recomputed_limits_do_not_refill_buckets(self) -> None:
        self.apply_changes(configuration(), TARGET)
        bucket = self.state.targets["i-1"].cold_bucket
        bucket.tokens = 0.0
        budget = self.state.retry_budget("s")
        while budget.spend(self.state.clock.now()):
            pass
        self.apply_changes(*map(make_host, range(3)))
        self.assertLess(self.state.targets["i-1"].cold_bucket.tokens, 0.1)
        self.assertLess(
            self.state.retry_budget("s").left(self.state.clock.now()), 1.0
        )


if __name__ == "__main__":
    unittest.main()
