"""Tests what a host believes after its store came back from a copy."""

from dataclasses import replace
import math
import unittest

from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.decisions import site_view
from wigeongw.decisions import store_return
from wigeongw.decisions.site_view import REMOVAL_GRACE_MS
from wigeongw.decisions.site_view import SiteView
from wigeongw.decisions.store_return import CONFIRMED_HOLD_MS
from wigeongw.decisions.store_return import LeaseState
from wigeongw.decisions.store_return import RelayAnswer
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import UNKNOWN_ERA
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

ALWAYS_AVAILABLE = float("-inf")
RETURNED_AT = 100_000.0
BEFORE = RETURNED_AT - 5_000.0
GRACE_ENDED = RETURNED_AT + REMOVAL_GRACE_MS
HOLD_ENDED = RETURNED_AT + CONFIRMED_HOLD_MS


def at(revision: int, era: int = 1) -> StorePosition:
    return StorePosition(era, revision)


def configuration(revision: int) -> Configuration:
    return Configuration(revision, (), {}, ClientLimits())


def target(
    identity: str, draining: bool = False, born_ms: float = 1.0
) -> Target:
    return Target(
        identity, "s", "127.0.0.1:1", "amman", 4, draining, born_ms=born_ms
    )


def host(name: str, lease: int = 7) -> Host:
    return Host(name, "127.0.0.1:2", "amman", lease=lease)


def view_of(*changes: Change) -> SiteView:
    view = site_view.apply_changes(
        SiteView(), changes, BEFORE, ALWAYS_AVAILABLE
    )
    return replace(view, position=at(48))


def copy_of(*changes: Change, era: int = 2) -> ChangeBatch:
    return ChangeBatch(changes, at(20, era), is_full=True)


def merge(
    view: SiteView, batch: ChangeBatch, now: float = RETURNED_AT
) -> SiteView:
    view = store_return.merge_full_batch(view, batch, now, ALWAYS_AVAILABLE)
    return replace(view, position=batch.position)


def write(view: SiteView, *changes: Change) -> SiteView:
    """Apply what is written half a second after the return."""
    return site_view.apply_changes(
        view, changes, RETURNED_AT + 500.0, ALWAYS_AVAILABLE
    )


def settle(view: SiteView, now: float) -> SiteView:
    return site_view.apply_due_changes(view, now)


class EraTest(unittest.TestCase):
    def test_era_of_an_answer(self) -> None:
        cases: tuple[tuple[int, int, int | None], ...] = (
            (UNKNOWN_ERA, UNKNOWN_ERA, UNKNOWN_ERA),
            (UNKNOWN_ERA, 3, 3),
            (3, UNKNOWN_ERA, 3),
            (3, 3, 3),
            (3, 5, 5),
            (3, 2, None),
            (3, 0, None),
        )
        for known, answered, expected in cases:
            with self.subTest(known=known, answered=answered):
                if expected is None:
                    with self.assertRaises(ValueError):
                        store_return.newest_era(known, answered)
                    continue
                self.assertEqual(
                    store_return.newest_era(known, answered), expected
                )

    def test_answers_of_relays(self) -> None:
        change = (ZoneEvacuated("irbid"),)
        fresh, old = 100.0, 5_000.0
        own = at(48, era=2)
        use, too_old = RelayAnswer.USE, RelayAnswer.TOO_OLD
        earlier = RelayAnswer.EARLIER_ERA
        cases = (
            (at(48, era=2), (), False, fresh, use),
            (at(48, era=2), (), False, old, too_old),
            (at(49, era=2), change, False, old, use),
            (at(90, era=1), change, False, fresh, earlier),
            (at(90, era=1), change, True, fresh, earlier),
            (at(10, era=3), change, True, fresh, use),
            (at(10, era=3), change, False, fresh, earlier),
        )
        for position, changes, is_full, age_ms, expected in cases:
            with self.subTest(position=position, full=is_full, age=age_ms):
                batch = ChangeBatch(changes, position, True, age_ms, is_full)
                verdict = store_return.judge_relay_answer(own, batch, 1_000.0)
                self.assertIs(verdict, expected)

    def test_lease_counts_only_where_the_copy_has_the_entry(self) -> None:
        lease = Lease(7, era=1)
        lost, valid = LeaseState.LOST, LeaseState.VALID
        copied = merge(view_of(host("h")), copy_of(host("h")))
        missing = merge(view_of(host("h")), copy_of())
        other = merge(view_of(host("h")), copy_of(host("h", lease=4)))
        taken = merge(view_of(host("h")), copy_of(host("other", lease=7)))
        withdrawn = merge(
            view_of(host("h"), HostGone("h")), copy_of(host("h"))
        )
        again = write(missing, host("h", lease=9))
        cases = (
            ("same era", view_of(host("h")), 1, valid),
            ("not read yet", view_of(host("h")), 2, LeaseState.UNPROVEN),
            ("in the copy", copied, 2, valid),
            ("not in the copy", missing, 2, lost),
            ("under another lease", other, 2, lost),
            ("number of another host", taken, 2, lost),
            ("in the copy, but withdrawn", withdrawn, 2, valid),
            ("written again", again, 2, lost),
        )
        for case, view, era, expected in cases:
            with self.subTest(case=case):
                verdict = store_return.judge_lease(lease, view, "h", era)
                self.assertIs(verdict, expected)


class ConfirmedStateTest(unittest.TestCase):
    """What was confirmed and lost stays in force until it is written again."""

    def test_older_configuration_of_a_copy_replaces_none(self) -> None:
        view = merge(view_of(configuration(11)), copy_of(configuration(6)))
        for now in (RETURNED_AT, GRACE_ENDED, HOLD_ENDED):
            view = settle(view, now)
            assert view.configuration is not None
            self.assertEqual(view.configuration.revision, 11)
        view = write(view, configuration(13))
        assert view.configuration is not None
        self.assertEqual(view.configuration.revision, 13)

    def test_entries_that_the_copy_lacks_are_removed_after_the_grace(
        self,
    ) -> None:
        view = merge(view_of(target("a"), host("h")), copy_of())
        self.assertEqual((len(view.targets), len(view.hosts)), (1, 1))
        again = settle(write(view, target("a"), host("h")), HOLD_ENDED)
        self.assertEqual((len(again.targets), len(again.hosts)), (1, 1))
        view = settle(view, GRACE_ENDED - 1.0)
        self.assertEqual((len(view.targets), len(view.hosts)), (1, 1))
        view = settle(view, GRACE_ENDED)
        self.assertEqual((len(view.targets), len(view.hosts)), (0, 0))

    def test_entries_that_had_left_come_back_only_when_written(self) -> None:
        before = view_of(
            target("a"), host("h"), TargetGone("a"), HostGone("h")
        )
        copy = copy_of(target("a"), host("h"))
        view = merge(before, copy)
        self.assertEqual((view.targets, view.hosts), ({}, {}))
        written = write(view, target("a"), host("h"))
        self.assertEqual((len(written.targets), len(written.hosts)), (1, 1))
        expired = settle(
            site_view.apply_changes(
                view,
                [TargetGone("a"), HostGone("h")],
                GRACE_ENDED,
                ALWAYS_AVAILABLE,
            ),
            HOLD_ENDED,
        )
        self.assertEqual((expired.targets, expired.hosts), ({}, {}))
        self.assertEqual(settle(view, HOLD_ENDED - 1.0).targets, {})
        self.assertEqual(set(settle(view, HOLD_ENDED).targets), {"a"})

    def test_later_start_of_an_entry_that_had_left_is_used(self) -> None:
        before = view_of(
            target("a"), host("h"), TargetGone("a"), HostGone("h")
        )
        copy = copy_of(target("a", born_ms=2.0), host("h", lease=8))
        view = merge(before, copy)
        self.assertEqual((len(view.targets), len(view.hosts)), (1, 1))

    def test_draining_upstream_gets_nothing_although_the_copy_has_it_ready(
        self,
    ) -> None:
        view = merge(view_of(target("a", draining=True)), copy_of(target("a")))
        self.assertTrue(view.targets["a"].draining)
        self.assertFalse(write(view, target("a")).targets["a"].draining)
        self.assertTrue(settle(view, HOLD_ENDED - 1).targets["a"].draining)
        self.assertFalse(settle(view, HOLD_ENDED).targets["a"].draining)

    def test_draining_of_the_copy_holds_at_once(self) -> None:
        view = merge(view_of(target("a")), copy_of(target("a", draining=True)))
        self.assertTrue(view.targets["a"].draining)

    def test_evacuation_that_the_copy_lacks_stays(self) -> None:
        view = merge(view_of(ZoneEvacuated("irbid")), copy_of())
        self.assertIn("irbid", view.evacuated)
        self.assertIn("irbid", settle(view, HOLD_ENDED - 1.0).evacuated)
        self.assertNotIn("irbid", write(view, ZoneRestored("irbid")).evacuated)
        again = settle(write(view, ZoneEvacuated("irbid")), HOLD_ENDED)
        self.assertIn("irbid", again.evacuated)
        self.assertNotIn("irbid", settle(view, HOLD_ENDED).evacuated)

    def test_evacuation_that_had_ended_is_not_taken_from_the_copy(
        self,
    ) -> None:
        before = view_of(ZoneEvacuated("irbid"), ZoneRestored("irbid"))
        view = merge(before, copy_of(ZoneEvacuated("irbid")))
        self.assertNotIn("irbid", view.evacuated)
        ended = settle(write(view, ZoneRestored("irbid")), HOLD_ENDED)
        self.assertNotIn("irbid", ended.evacuated)
        self.assertIn("irbid", settle(view, GRACE_ENDED).evacuated)

    def test_times_begin_again_with_another_return(self) -> None:
        """The store comes back once more before it has recovered."""
        view = view_of(target("a"), ZoneEvacuated("irbid"))
        view = merge(view, copy_of())
        second_at = RETURNED_AT + 2_000.0
        view = merge(view, copy_of(era=3), second_at)
        view = settle(view, second_at + REMOVAL_GRACE_MS - 1.0)
        self.assertIn("a", view.targets)
        view = settle(view, second_at + REMOVAL_GRACE_MS)
        self.assertNotIn("a", view.targets)
        view = settle(view, second_at + CONFIRMED_HOLD_MS - 1.0)
        self.assertIn("irbid", view.evacuated)

    def test_removal_in_its_grace_time_ends_when_the_next_copy_has_it(
        self,
    ) -> None:
        view = merge(view_of(target("a")), copy_of())
        view = merge(view, copy_of(target("a"), era=3), RETURNED_AT + 1_000)
        self.assertIn("a", settle(view, HOLD_ENDED * 2).targets)

    def test_full_read_soon_after_the_return_ends_no_hold(self) -> None:
        """The store compacts its history while it recovers."""
        view = view_of(ZoneEvacuated("irbid"), target("a", draining=True))
        view = merge(view, copy_of(target("a")))
        view = merge(view, copy_of(target("a")), RETURNED_AT + 1_000.0)
        self.assertIn("irbid", view.evacuated)
        self.assertTrue(view.targets["a"].draining)

    def test_first_reading_is_taken_as_it_is(self) -> None:
        batch = copy_of(target("a"), ZoneEvacuated("irbid"))
        view = merge(SiteView(), batch)
        self.assertEqual(set(view.targets), {"a"})
        self.assertEqual(view.evacuated, frozenset({"irbid"}))
        self.assertEqual(view.returned_at, float("-inf"))


class OtherHostsTest(unittest.TestCase):
    """Hosts pass on what they hold, with what is pending."""

    def relayed(self, view: SiteView, now: float) -> ChangeBatch:
        batch = store_return.full_batch(view, 10.0, now)
        return replace(batch, relayed=True)

    def test_host_behind_a_relay_believes_the_same(self) -> None:
        before = view_of(
            configuration(11),
            target("a"),
            target("b"),
            ZoneEvacuated("irbid"),
            TargetGone("b"),
        )
        relay = merge(before, copy_of(configuration(6), target("b")))
        now = RETURNED_AT + 300.0
        view = merge(before, self.relayed(relay, now), now)
        self.assertEqual(site_view.entries(view), site_view.entries(relay))
        self.assertEqual(view.pending, relay.pending)
        self.assertEqual(view.returned_at, relay.returned_at)

    def test_host_that_starts_after_the_return_learns_what_was_lost(
        self,
    ) -> None:
        before = view_of(
            configuration(11), target("a"), ZoneEvacuated("irbid")
        )
        copy = copy_of(configuration(6), target("b"))
        other = merge(before, copy)
        now = RETURNED_AT + 1_000.0
        view = merge(SiteView(), self.relayed(other, now), now)
        view = merge(view, copy, now)
        assert view.configuration is not None
        self.assertEqual(view.configuration.revision, 11)
        self.assertIn("a", view.targets)
        self.assertIn("irbid", view.evacuated)
        view = settle(view, GRACE_ENDED)
        self.assertEqual(set(view.targets), {"b"})

    def test_host_that_was_frozen_over_the_return_takes_what_is_now(
        self,
    ) -> None:
        frozen = view_of(
            configuration(11), target("a"), ZoneEvacuated("irbid")
        )
        now = RETURNED_AT + 60_000.0
        relay = merge(view_of(), copy_of())
        relay = write(relay, configuration(13), target("b"))
        view = merge(frozen, self.relayed(relay, now), now)
        self.assertEqual(set(view.targets), {"b"})
        self.assertEqual(view.evacuated, frozenset())
        assert view.configuration is not None
        self.assertEqual(view.configuration.revision, 13)

    def test_relay_that_started_in_the_new_era_knows_no_return(self) -> None:
        relay = merge(SiteView(), copy_of(configuration(6), target("b")))
        batch = self.relayed(relay, RETURNED_AT)
        self.assertEqual(batch.era_age_ms, math.inf)
        before = view_of(configuration(11), target("a"))
        view = merge(before, batch)
        self.assertEqual(set(view.targets), {"a", "b"})
        assert view.configuration is not None
        self.assertEqual(view.configuration.revision, 11)

    def test_differences_are_counted_for_the_log(self) -> None:
        before = view_of(
            configuration(11),
            target("a"),
            target("b"),
            TargetGone("b"),
            ZoneEvacuated("irbid"),
        )
        found = store_return.compare(
            before, copy_of(configuration(6), target("b"))
        )
        self.assertEqual((found.missing, found.revived), (2, 1))
        self.assertTrue(found.is_older_configuration)


if __name__ == "__main__":
    unittest.main()
