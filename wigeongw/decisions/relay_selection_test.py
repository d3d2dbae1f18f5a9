"""Tests which hosts watch the store, and how many ask each of them."""

from collections import Counter
import unittest

from wigeongw.decisions import relay_selection
from wigeongw.decisions.relay_selection import HOSTS_PER_RELAY
from wigeongw.decisions.relay_selection import RelayPlan

SITE_SIZES = (1, 2, 12, 17, 60, 130, 313, 1_000)


def make_plan(count: int) -> tuple[list[str], RelayPlan]:
    names = [f"host-{number}" for number in range(count)]
    return names, relay_selection.make_plan(names)


class RelayPlanTest(unittest.TestCase):
    def test_number_of_relays(self) -> None:
        for hosts, expected in ((0, 0), (1, 1), (12, 1), (29, 1), (130, 5)):
            with self.subTest(hosts=hosts):
                self.assertEqual(len(make_plan(hosts)[1].relays), expected)

    def test_one_host_watches_the_store_at_any_size(self) -> None:
        for size in SITE_SIZES:
            with self.subTest(size=size):
                names, plan = make_plan(size)
                watching = [n for n in names if not plan.sources(n)]
                self.assertEqual(watching, [plan.root])

    def test_no_host_serves_many_others(self) -> None:
        """Nobody is asked by more than twice the hosts for one relay."""
        for size in SITE_SIZES:
            with self.subTest(size=size):
                names, plan = make_plan(size)
                asked = Counter(
                    plan.sources(name)[0]
                    for name in names
                    if plan.sources(name)
                )
                self.assertLessEqual(
                    max(asked.values(), default=0), 2 * HOSTS_PER_RELAY
                )

    def test_changes_reach_each_host_over_two_relays_at_most(self) -> None:
        for size in SITE_SIZES:
            names, plan = make_plan(size)
            for name in names:
                for source in plan.sources(name):
                    with self.subTest(size=size, name=name):
                        self.assertIn(source, plan.relays)
                        self.assertIn(plan.sources(source), ([], [plan.root]))

    def test_other_relays_stay_when_a_relay_leaves(self) -> None:
        names, plan = make_plan(138)
        assert plan.root is not None
        names.remove(plan.root)
        after = relay_selection.make_plan(names)
        self.assertEqual(after.relays[:4], plan.relays[1:])

    def test_few_hosts_change_their_source_when_a_host_leaves(self) -> None:
        names, plan = make_plan(313)
        for gone in (plan.relays[0], plan.relays[3], "host-1"):
            with self.subTest(gone=gone):
                rest = [name for name in names if name != gone]
                after = relay_selection.make_plan(rest)
                moved = sum(
                    plan.sources(name)[:1] != after.sources(name)[:1]
                    for name in rest
                )
                self.assertLessEqual(moved, 3 * HOSTS_PER_RELAY)

    def test_last_sources_exclude_the_host_that_asks(self) -> None:
        for size in SITE_SIZES:
            names, plan = make_plan(size)
            for name in names[:40]:
                self.assertNotIn(name, plan.last_sources(name))

    def test_age_limit_covers_one_more_poll_behind_the_root(self) -> None:
        _, plan = make_plan(130)
        root, relay = plan.relays[:2]
        cases = (
            (root, relay_selection.MAX_ROOT_AGE_MS),
            (relay, relay_selection.MAX_RELAY_AGE_MS),
            (plan.substitutes[0], relay_selection.MAX_ROOT_AGE_MS),
        )
        for source, expected in cases:
            with self.subTest(source=source):
                self.assertEqual(plan.max_age_ms(source), expected)


if __name__ == "__main__":
    unittest.main()
