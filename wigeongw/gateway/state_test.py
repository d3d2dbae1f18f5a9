"""This host's parts follow how many hosts there are, and the bounds."""

from dataclasses import replace
import os
import random
import unittest

from wigeongw.core.clock import Clock
from wigeongw.core.site import Host
from wigeongw.core.site import HostIdentity
from wigeongw.core.site import Target
from wigeongw.daemon.metrics import Metrics
from wigeongw.decisions import shares
from wigeongw.decisions import site_view
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.state import HostState
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone

TARGET = Target("i-1", "s", "127.0.0.1:1", "amman", 4)
LONG_AGO = float("-inf")


def host(number: int) -> Host:
    zone = "amman" if number % 2 else "irbid"
    return Host(f"h{number}", f"127.0.0.1:{number}", zone, "")


class SharesTest(unittest.TestCase):
    def setUp(self) -> None:
        quiet = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, quiet)
        clock = Clock()
        me = HostIdentity("h1", "amman", "127.0.0.1:1", "", "")
        log = DecisionLog(clock, "h1", quiet)
        self.state = HostState(me, clock, random.Random(1), log, Metrics())

    def learn(self, *changes: Change) -> None:
        view = site_view.apply(self.state.view, changes, 0.0, LONG_AGO)
        self.state.take_view(view)

    def expected(self, hosts: int) -> float:
        """Return the rate of the cold bound for one of so many hosts."""
        service = self.state.service("s")
        assert service is not None
        return shares.cold_bucket(
            self.state.bounds, service, hosts, 0.0, random.Random(1)
        ).rate

    def test_upstreams_known_before_the_hosts(self) -> None:
        """At a start all hosts register at about the same time."""
        self.learn(TARGET)
        self.learn(configuration())
        for number in range(12):
            self.learn(host(number))
        rate = self.state.targets["i-1"].cold.rate
        self.assertAlmostEqual(rate, self.expected(6))

    def test_hosts_that_are_away_may_be_back(self) -> None:
        self.learn(configuration(), TARGET, *map(host, range(12)))
        self.learn(*(HostGone(f"h{n}") for n in range(2, 8)))
        rate = self.state.targets["i-1"].cold.rate
        self.assertAlmostEqual(rate, self.expected(6))

    def test_hosts_far_away_wait_until_an_upstream_is_warm(self) -> None:
        far = replace(TARGET, identity="i-2", availability_zone="irbid")
        lonely = replace(TARGET, identity="i-3", availability_zone="zarqa")
        self.learn(configuration(), far, lonely, *map(host, range(12)))
        self.assertEqual(self.state.targets["i-2"].cold.rate, 0.0)
        sharing = shares.cold_hosts("i-3", (f"h{n}" for n in range(12)))
        self.assertEqual(
            "h1" in sharing, self.state.targets["i-3"].cold.rate > 0.0
        )

    def test_changed_bounds_hold_for_known_upstreams(self) -> None:
        self.learn(configuration(), TARGET, *map(host, range(12)))
        self.state.retry_share("s")
        before = self.state.targets["i-1"].probes.rate
        bounds = self.state.bounds
        self.state.take_bounds(
            replace(bounds, probes_per_s=bounds.probes_per_s / 2)
        )
        self.assertLess(self.state.targets["i-1"].probes.rate, before)

    def test_dealing_anew_gives_nothing_away(self) -> None:
        self.learn(configuration(), TARGET)
        cold = self.state.targets["i-1"].cold
        cold.tokens = 0.0
        share = self.state.retry_share("s")
        while share.spend(self.state.clock.now()):
            pass
        self.learn(*map(host, range(3)))
        self.assertLess(self.state.targets["i-1"].cold.tokens, 0.1)
        self.assertLess(
            self.state.retry_share("s").left(self.state.clock.now()), 1.0
        )


if __name__ == "__main__":
    unittest.main()
