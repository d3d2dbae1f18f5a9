import unittest

from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import RETURN_GRACE_MS
from wigeongw.decisions.site_view import SiteView
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

LONG_AGO = float("-inf")


def configuration(revision: int) -> Configuration:
    return Configuration(revision, (), {}, ClientLimits())


def target(identity: str, born: float = 1.0) -> Target:
    return Target(identity, "s", "127.0.0.1:1", "amman", 4, born_ms=born)


def host(name: str) -> Host:
    return Host(name, "127.0.0.1:2", "amman")


class ApplyTest(unittest.TestCase):
    def test_configuration_never_goes_back(self) -> None:
        view = SiteView()
        for revision, expected in ((3, 3), (9, 9), (4, 9), (9, 9), (10, 10)):
            change = configuration(revision)
            view = site_view.apply(view, [change], 0.0, LONG_AGO)
            assert view.configuration is not None
            self.assertEqual(view.configuration.revision, expected)

    def test_entry_of_an_earlier_start_is_passed_over(self) -> None:
        changes = [target("a", 20.0), target("a", 10.0)]
        view = site_view.apply(SiteView(), changes, 0.0, LONG_AGO)
        self.assertEqual(view.targets["a"].born_ms, 20.0)

    def test_zone_out_and_back(self) -> None:
        changes = [ZoneEvacuated("irbid"), ZoneEvacuated("zarqa")]
        view = site_view.apply(SiteView(), changes, 0.0, LONG_AGO)
        view = site_view.apply(view, [ZoneRestored("irbid")], 0.0, LONG_AGO)
        self.assertEqual(view.evacuated, frozenset({"zarqa"}))


class GraceTest(unittest.TestCase):
    def view(self) -> SiteView:
        changes: list[Change] = [target("a"), host("h")]
        return site_view.apply(SiteView(), changes, 0.0, LONG_AGO)

    def test_removal_counts_at_once_while_the_store_is_steady(self) -> None:
        gone: list[Change] = [TargetGone("a"), HostGone("h")]
        view = site_view.apply(self.view(), gone, 10_000.0, LONG_AGO)
        self.assertEqual((view.targets, view.hosts), ({}, {}))

    def test_what_lapsed_with_the_store_may_come_back(self) -> None:
        back = 10_000.0
        gone: list[Change] = [TargetGone("a"), HostGone("h")]
        view = site_view.apply(self.view(), gone, back, back)
        self.assertIn("a", view.targets)
        self.assertIn("h", view.hosts)
        view = site_view.apply(view, [target("a")], back + 500.0, back)
        view = site_view.settle(view, back + RETURN_GRACE_MS)
        self.assertIn("a", view.targets)
        self.assertNotIn("h", view.hosts)
        self.assertEqual(view.pending, {})

    def test_reading_everything_drops_what_it_does_not_hold(self) -> None:
        view = site_view.apply(
            self.view(), [ZoneEvacuated("amman")], 0.0, LONG_AGO
        )
        view = site_view.reread(view, [target("b")], 9_000.0, LONG_AGO)
        self.assertEqual(set(view.targets), {"b"})
        self.assertEqual(view.hosts, {})
        self.assertEqual(view.evacuated, frozenset())


if __name__ == "__main__":
    unittest.main()
