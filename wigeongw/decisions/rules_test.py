"""Tests of retries, fences, warm-up, idempotency claims and membership."""

from dataclasses import replace
import random
import unittest

from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostState
from wigeongw.core.records import Outcome
from wigeongw.decisions import fence as fences
from wigeongw.decisions import host_order
from wigeongw.decisions import idempotency
from wigeongw.decisions import membership
from wigeongw.decisions import retry
from wigeongw.decisions import warm_up
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import PeerStatus
from wigeongw.decisions.idempotency import Claim
from wigeongw.decisions.idempotency import ClaimAction
from wigeongw.decisions.idempotency import ClaimState
from wigeongw.settings.schema import ColdStartSettings

NOT_RUN, RAN, UNKNOWN = Outcome.NOT_RUN, Outcome.RAN, Outcome.UNKNOWN
RULES = ColdStartSettings(work_per_step=2)


class RetryTest(unittest.TestCase):
    def test_may_send_again_by_method_and_outcome(self) -> None:
        cases = (
            ("GET", NOT_RUN, 1, False, True),
            ("GET", UNKNOWN, 1, False, True),
            ("POST", NOT_RUN, 1, False, True),
            ("POST", UNKNOWN, 1, False, False),
            ("PATCH", UNKNOWN, 1, False, False),
            ("PUT", UNKNOWN, 1, False, True),
            ("GET", RAN, 1, False, False),
            ("GET", NOT_RUN, 3, False, False),
            ("PUT", NOT_RUN, 1, True, False),
        )
        for method, outcome, attempts, gone, expected in cases:
            with self.subTest(method=method, outcome=outcome):
                found = retry.may_send_again(
                    method, outcome, attempts, 3, gone
                )
                self.assertEqual(found, expected)

    def test_budget_limits_retries_if_all_requests_fail(self) -> None:
        budget = retry.RetryBudget(10.0, 0.05, 10.0)
        retries = 0
        for _ in range(10_000):
            budget = retry.earn(budget)
            left = retry.spend(budget)
            if left is not None:
                budget = left
                retries += 1
        self.assertLessEqual(retries, 10 + 0.05 * 10_000)


class FenceTest(unittest.TestCase):
    def test_fence_is_exclusive_by_lease_and_peers(self) -> None:
        lease = LeaseState(10_000.0, 3_000.0)
        away = PeerStatus(11_900.0, 9_000.0)
        near = PeerStatus(11_900.0, 50.0)
        silent = PeerStatus(5_000.0, 9_000.0)
        cases: tuple[tuple[str, float, dict[str, PeerStatus], bool], ...] = (
            ("lease is valid", 9_000.0, {}, True),
            ("lease is about to expire", 9_800.0, {"p": near}, False),
            ("no host reaches the store", 12_000.0, {"p": away}, True),
            (
                "a peer reaches the store",
                12_000.0,
                {"p": away, "q": near},
                False,
            ),
            ("a peer is silent", 12_000.0, {"p": away, "q": silent}, False),
        )
        for name, now, peers, expected in cases:
            with self.subTest(name):
                found = fences.are_exclusive(lease, peers, 1_000.0, now)
                self.assertEqual(found, expected)

    def test_fence_is_not_exclusive_without_a_lease(self) -> None:
        never = LeaseState(float("-inf"), 0.0)
        self.assertFalse(fences.are_exclusive(never, {}, 1_000.0, 5.0))

    def test_lower_epoch_never_wins(self) -> None:
        known = {"p": Fence("p", "", 9)}
        heard = [Fence("p", "old", 7)]
        self.assertEqual(fences.newest_by_pool(known, heard), known)

    def test_stale_read_frees_no_fence(self) -> None:
        known = {"p": Fence("p", "me", 9)}
        self.assertEqual(fences.released_fences(known, [], 8), [])
        freed = [Fence("p", "", 10)]
        self.assertEqual(fences.released_fences(known, [], 10), freed)


class RampTest(unittest.TestCase):
    def test_limit_rises_with_completed_requests(self) -> None:
        ramp = warm_up.cold(4, RULES)
        limits = []
        for _ in range(6):
            ramp = warm_up.after_success(ramp, RULES, 10.0, 10.0)
            limits.append(ramp.limit)
        self.assertEqual(limits, [1, 2, 2, 3, 3, 4])
        self.assertTrue(ramp.warm)

    def test_slow_requests_do_not_raise_the_limit(self) -> None:
        ramp = warm_up.cold(4, RULES)
        for _ in range(20):
            ramp = warm_up.after_success(ramp, RULES, 100.0, 10.0)
        self.assertEqual(ramp.limit, 1)

    def test_failures_turn_upstream_cold(self) -> None:
        warm = warm_up.warm(4)
        cases = (
            ("shed", warm_up.after_shed(warm, RULES, 0.0, 2)),
            ("unreachable", warm_up.after_unreachable(warm, RULES, 0.0)),
        )
        for name, after in cases:
            with self.subTest(name):
                self.assertEqual(after.limit, 1)
                self.assertGreater(after.closed_until, 0.0)

    def test_far_slower_than_usual_turns_upstream_cold(self) -> None:
        ramp = warm_up.warm(4)
        for _ in range(40):
            ramp = warm_up.after_success(ramp, RULES, 500.0, 10.0)
        self.assertFalse(ramp.warm)

    def test_three_times_slower_keeps_upstream_warm(self) -> None:
        ramp = warm_up.warm(4)
        for _ in range(40):
            ramp = warm_up.after_success(ramp, RULES, 30.0, 10.0)
        self.assertTrue(ramp.warm)

    def test_pauses_double_up_to_the_maximum(self) -> None:
        ramp = warm_up.warm(4)
        now = 0.0
        pauses = []
        for _ in range(6):
            ramp = warm_up.after_unreachable(ramp, RULES, now)
            pauses.append(ramp.closed_until - now)
            now = ramp.closed_until
        self.assertEqual(pauses, [250, 500, 1000, 2000, 4000, 4000])


class OnceTest(unittest.TestCase):
    def test_judge_existing_claim(self) -> None:
        claim = Claim("mine", "h", "body", ClaimState.CLAIMED, 1_000.0)
        ran = replace(claim, state=ClaimState.RAN)
        cases = (
            ("own claim", claim, "mine", "body", 0.0, ClaimAction.DISPATCH),
            (
                "other claim in progress",
                claim,
                "other",
                "body",
                0.0,
                ClaimAction.IN_PROGRESS,
            ),
            (
                "other claim expired",
                claim,
                "other",
                "body",
                2e3,
                ClaimAction.UNKNOWN,
            ),
            (
                "different body",
                claim,
                "mine",
                "else",
                0.0,
                ClaimAction.OTHER_BODY,
            ),
            (
                "not run",
                replace(claim, state=ClaimState.NOT_RUN),
                "other",
                "body",
                0.0,
                ClaimAction.RECLAIM,
            ),
            (
                "unknown outcome",
                replace(claim, state=ClaimState.UNKNOWN),
                "mine",
                "body",
                0.0,
                ClaimAction.UNKNOWN,
            ),
            (
                "answer not stored",
                ran,
                "other",
                "body",
                0.0,
                ClaimAction.ANSWER_GONE,
            ),
            (
                "answer stored",
                replace(ran, status=200),
                "other",
                "body",
                0.0,
                ClaimAction.REPLAY,
            ),
        )
        for name, found, token, digest, wall, expected in cases:
            with self.subTest(name):
                action = idempotency.decide_claim_action(
                    found, token, digest, wall
                )
                self.assertEqual(action, expected)

    def test_claimant_may_not_dispatch_after_a_pause(self) -> None:
        self.assertTrue(idempotency.may_dispatch(0.0, 2_000.0, 1_999.0))
        self.assertFalse(idempotency.may_dispatch(0.0, 2_000.0, 2_000.0))


def host(name: str, zone: str, state: HostState = HostState.LIVE) -> EntryHost:
    return EntryHost(name, f"{name}:1", f"{name}:2", zone, state)


class MembershipTest(unittest.TestCase):
    def test_candidate_prefers_the_zone_of_the_pool(self) -> None:
        hosts = [host("a", "amman"), host("b", "irbid"), host("c", "irbid")]
        found = membership.choose_grantor("p@irbid", "irbid", hosts)
        self.assertIn(found, ("b", "c"))
        leaving = [host("a", "amman"), host("b", "irbid", HostState.LEAVING)]
        found = membership.choose_grantor("p@irbid", "irbid", leaving)
        self.assertEqual(found, "a")

    def test_floors_of_all_hosts_stay_within_the_slots(self) -> None:
        hosts = [f"h{n}" for n in range(17)]
        upstreams = [f"u{n}" for n in range(7)]
        host_counts: dict[str, int] = dict.fromkeys(upstreams, 0)
        for name in hosts:
            assigned = [
                u
                for u in upstreams
                if u
                in membership.upstreams_when_isolated(
                    name, upstreams, hosts, 4
                )
            ]
            self.assertTrue(assigned)
            for upstream in assigned:
                host_counts[upstream] += 1
        # A host without a share still takes one upstream, so a few upstreams
        # serve more hosts than they have slots.
        self.assertLessEqual(sum(host_counts.values()), 7 * 4 + 3)

    def test_addresses_by_zone(self) -> None:
        hosts = [
            host("a", "amman"),
            host("b", "irbid"),
            host("c", "irbid", HostState.LEAVING),
        ]
        cases: tuple[tuple[str, frozenset[str], str, list[str]], ...] = (
            ("nearest zone first", frozenset(), "irbid", ["b", "a"]),
            ("one zone out", frozenset({"irbid"}), "irbid", ["a"]),
            (
                "all zones out",
                frozenset({"irbid", "amman"}),
                "amman",
                ["a", "b"],
            ),
        )
        for name, out, near, expected in cases:
            with self.subTest(name):
                found = host_order.answer(hosts, out, near, random.Random(1))
                self.assertEqual([h.name for h in found], expected)


if __name__ == "__main__":
    unittest.main()
