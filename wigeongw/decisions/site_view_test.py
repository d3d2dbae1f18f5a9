"""Tests how changes, removals and snapshots are applied to a site view."""

import unittest

from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import REMOVAL_GRACE_MS
from wigeongw.decisions.site_view import SiteView
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

STORE_ALWAYS_AVAILABLE = float("-inf")


def configuration(revision: int) -> Configuration:
    return Configuration(revision, (), {}, ClientLimits())


def target(identity: str, born_ms: float = 1.0) -> Target:
    return Target(identity, "s", "127.0.0.1:1", "amman", 4, born_ms=born_ms)


def host(name: str) -> Host:
    return Host(name, "127.0.0.1:2", "amman")


class ApplyTest(unittest.TestCase):
    def test_configuration_revision_never_decreases(self) -> None:
        view = SiteView()
        for revision, expected in ((3, 3), (9, 9), (4, 9), (9, 9), (10, 10)):
            change = configuration(revision)
            view = site_view.apply_changes(
                view, [change], 0.0, STORE_ALWAYS_AVAILABLE
            )
            assert view.configuration is not None
            self.assertEqual(view.configuration.revision, expected)

    def test_entry_of_an_earlier_start_is_ignored(self) -> None:
        changes = [target("a", 20.0), target("a", 10.0)]
        view = site_view.apply_changes(
            SiteView(), changes, 0.0, STORE_ALWAYS_AVAILABLE
        )
        self.assertEqual(view.targets["a"].born_ms, 20.0)

    def test_zone_is_evacuated_and_restored(self) -> None:
        changes = [ZoneEvacuated("irbid"), ZoneEvacuated("zarqa")]
        view = site_view.apply_changes(
            SiteView(), changes, 0.0, STORE_ALWAYS_AVAILABLE
        )
        view = site_view.apply_changes(
            view, [ZoneRestored("irbid")], 0.0, STORE_ALWAYS_AVAILABLE
        )
        self.assertEqual(view.evacuated, frozenset({"zarqa"}))


class RemovalTest(unittest.TestCase):
    def view(self) -> SiteView:
        changes: list[Change] = [target("a"), host("h")]
        return site_view.apply_changes(
            SiteView(), changes, 0.0, STORE_ALWAYS_AVAILABLE
        )

    def test_removal_applies_immediately_while_the_store_is_available(
        self,
    ) -> None:
        removals: list[Change] = [TargetGone("a"), HostGone("h")]
        view = site_view.apply_changes(
            self.view(), removals, 10_000.0, STORE_ALWAYS_AVAILABLE
        )
        self.assertEqual((view.targets, view.hosts), ({}, {}))

    def test_expired_entry_may_return_within_the_grace_time(self) -> None:
        returned_at = 10_000.0
        removals: list[Change] = [TargetGone("a"), HostGone("h")]
        view = site_view.apply_changes(
            self.view(), removals, returned_at, returned_at
        )
        self.assertIn("a", view.targets)
        self.assertIn("h", view.hosts)
        view = site_view.apply_changes(
            view, [target("a")], returned_at + 500.0, returned_at
        )
        view = site_view.apply_due_changes(
            view, returned_at + REMOVAL_GRACE_MS
        )
        self.assertIn("a", view.targets)
        self.assertNotIn("h", view.hosts)
        self.assertEqual(view.pending, {})

    def test_snapshot_removes_entries_that_it_lacks(self) -> None:
        view = site_view.apply_changes(
            self.view(), [ZoneEvacuated("amman")], 0.0, STORE_ALWAYS_AVAILABLE
        )
        view = site_view.apply_snapshot(
            view, [target("b")], 9_000.0, STORE_ALWAYS_AVAILABLE
        )
        self.assertEqual(set(view.targets), {"b"})
        self.assertEqual(view.hosts, {})
        self.assertEqual(view.evacuated, frozenset())


if __name__ == "__main__":
    unittest.main()
