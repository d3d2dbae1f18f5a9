"""Reports that an upstream leaves: whose they are and when they end.

Hosts tell each other in heartbeats. The load is an upstream that leaves while
the host list is late, lacks it for a moment, or shows a later start of it.
"""

import unittest

from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream
from wigeongw.decisions import membership
from wigeongw.decisions.membership import LEAVING_TTL_MS
from wigeongw.decisions.membership import LeavingUpstreams

UPSTREAM = Upstream("u", "", "s", "z")
LISTED = HostListing((), (UPSTREAM,))
UNLISTED = HostListing()
HEARTBEAT_MS = 200.0


def is_leaving(leaving: LeavingUpstreams) -> bool:
    """Return whether the upstream is not used."""
    found = membership.with_leaving(LISTED.upstreams, leaving)
    return found[0].state is HostState.LEAVING


class LeavingTest(unittest.TestCase):
    def setUp(self) -> None:
        nothing = LeavingUpstreams()
        self.own = membership.note_own_leaving(nothing, "u", "start-1", 0.0)
        self.told = membership.note_leaving(nothing, ["u"], 0.0)

    def test_self_report_outlasts_a_host_list_without_the_upstream(
        self,
    ) -> None:
        """It was used again when the list showed it again."""
        self.assertTrue(is_leaving(self.own))
        gone = membership.forget_unlisted(self.own, UNLISTED)
        back = membership.forget_unlisted(gone, LISTED)
        self.assertTrue(is_leaving(back))

    def test_what_others_told_ends_with_the_entry(self) -> None:
        self.assertTrue(is_leaving(self.told))
        kept = membership.forget_unlisted(self.told, LISTED)
        self.assertTrue(is_leaving(kept))
        gone = membership.forget_unlisted(self.told, UNLISTED)
        self.assertFalse(is_leaving(gone))

    def test_later_start_is_used_again(self) -> None:
        for start, expected in (("start-1", True), ("start-2", False)):
            with self.subTest(start=start):
                after = membership.note_serving(self.own, "u", start)
                self.assertEqual(is_leaving(after), expected)
        self.assertTrue(
            is_leaving(membership.note_serving(self.told, "u", "start-2"))
        )

    def test_self_report_holds_as_long_as_it_is_repeated(self) -> None:
        leaving = self.own
        now = 0.0
        while now < 2.5 * LEAVING_TTL_MS:
            now += LEAVING_TTL_MS / 4.0
            leaving = membership.note_own_leaving(leaving, "u", "start-1", now)
            leaving = membership.note_leaving(leaving, [], now)
            self.assertTrue(is_leaving(leaving))

    def test_hosts_do_not_keep_each_others_reports_alive(self) -> None:
        """Two hosts repeated what each had from the other, without end."""
        hosts = [self.own, LeavingUpstreams()]
        now = 0.0
        while now < 3.0 * LEAVING_TTL_MS:
            now += HEARTBEAT_MS
            for at, other in ((0, 1), (1, 0)):
                names = hosts[other].own_reports()
                hosts[at] = membership.note_leaving(hosts[at], names, now)
            if now < LEAVING_TTL_MS:
                self.assertTrue(all(map(is_leaving, hosts)))
        self.assertFalse(any(map(is_leaving, hosts)))


if __name__ == "__main__":
    unittest.main()
