"""Tests of bringing in versions, each with the load that it names."""

import random
import unittest

from wigeongw.decisions import rollout
from wigeongw.decisions.rollout import AnswerCounts
from wigeongw.decisions.rollout import CANARY_SHARE
from wigeongw.decisions.rollout import Phase
from wigeongw.decisions.rollout import RecentAnswers
from wigeongw.decisions.rollout import VersionComparison

DURATION_MS = 14_000.0
STEP_MS = 250.0
RUNS = 60
# What operators allow a bad version to get.
EXPOSED_SHARE = 0.1
EXPOSED_SLACK = 50
# From a verdict until no host sends to the version any more.
STOP_DELAY_MS = 250.0


def plays(
    rng: random.Random,
    per_s: float,
    bad_share: float,
    bad_from_ms: float,
    slow: bool = False,
) -> tuple[Phase, int, int, float]:
    """Play an order; return its end, requests, exposed ones and the time."""
    phase = Phase.WAITING
    old, new = AnswerCounts(), AnswerCounts()
    recent = RecentAnswers()
    total = exposed = 0
    elapsed_ms = 0.0
    while elapsed_ms < DURATION_MS:
        share = rollout.new_share(phase)
        for _ in range(round(per_s * STEP_MS / 1_000.0)):
            total += 1
            if rng.random() >= share:
                old += AnswerCounts(1, rng.random() < 0.01)
                continue
            exposed += 1
            bad = elapsed_ms >= bad_from_ms and rng.random() < bad_share
            new += AnswerCounts(1, bad and not slow, bad and slow)
        elapsed_ms += STEP_MS
        before = phase
        phase = rollout.next_phase(
            phase,
            elapsed_ms,
            DURATION_MS,
            recent.add({0: VersionComparison(old, new)}),
            1.0,
        )
        if phase.is_final:
            if phase is Phase.ROLLED_BACK:
                late = rollout.new_share(before) * per_s * STOP_DELAY_MS / 1e3
                exposed += round(late)
                total += round(per_s * (DURATION_MS - elapsed_ms) / 1e3)
            break
    return phase, total, exposed, elapsed_ms


class PhaseTest(unittest.TestCase):
    def test_good_versions_are_complete_in_time(self) -> None:
        """Load: from none at all to hundreds a second."""
        rng = random.Random(3)
        for per_s in (0.0, 1.0, 20.0, 151.0, 400.0):
            for _ in range(RUNS):
                phase, _, _, elapsed_ms = plays(rng, per_s, 0.0, 0.0)
                self.assertIs(phase, Phase.COMPLETE)
                self.assertLessEqual(elapsed_ms, DURATION_MS - 1_500.0)

    def test_good_version_is_kept_while_upstreams_fail_alike(self) -> None:
        old, new = AnswerCounts(600, 60, 60), AnswerCounts(40, 8, 8)
        self.assertFalse(VersionComparison(old, new).is_bad)

    def test_bad_versions_stay_within_their_exposure(self) -> None:
        """Load: 151 a second; bad from the start, early, late, slow."""
        rng = random.Random(4)
        for bad_from_ms in (0.0, 3_000.0, 6_000.0, 8_000.0):
            for slow in (False, True):
                for _ in range(RUNS):
                    phase, total, exposed, _ = plays(
                        rng, 151.0, 0.5, bad_from_ms, slow
                    )
                    with self.subTest(bad_from_ms=bad_from_ms, slow=slow):
                        self.assertIs(phase, Phase.ROLLED_BACK)
                        allowed = EXPOSED_SHARE * total + EXPOSED_SLACK
                        self.assertLessEqual(exposed, allowed)

    def test_one_bad_route_among_many_is_found(self) -> None:
        """Load: a route with a tenth of the requests fails always."""
        sound = VersionComparison(AnswerCounts(900, 9), AnswerCounts(45, 0))
        broken = VersionComparison(AnswerCounts(100, 1), AnswerCounts(5, 5))
        phase = rollout.next_phase(
            Phase.CANARY, 1_000.0, DURATION_MS, [sound, broken], 1.0
        )
        self.assertIs(phase, Phase.ROLLED_BACK)

    def test_phases_wait_for_the_new_upstreams(self) -> None:
        for share, expected in ((0.0, Phase.WAITING), (0.4, Phase.HALF)):
            phase = rollout.next_phase(
                Phase.WAITING, DURATION_MS - 1.0, DURATION_MS, [], share
            )
            self.assertIs(phase, expected)

    def test_old_upstreams_finish_before_the_end(self) -> None:
        """Even where a manager comes late, full comes before complete."""
        late_ms = DURATION_MS - 10.0
        phase = Phase.CANARY
        seen = []
        for _ in range(3):
            phase = rollout.next_phase(phase, late_ms, DURATION_MS, [], 1.0)
            seen.append(phase)
        self.assertEqual(seen, [Phase.FULL, Phase.COMPLETE, Phase.COMPLETE])

    def test_final_phases_stay(self) -> None:
        bad = [VersionComparison(AnswerCounts(), AnswerCounts(50, 50))]
        for phase in (Phase.COMPLETE, Phase.ROLLED_BACK):
            found = rollout.next_phase(phase, 0.0, DURATION_MS, bad, 1.0)
            self.assertIs(found, phase)

    def test_canaries_carry_their_usual_load(self) -> None:
        names = [f"u-{number}" for number in range(37)]
        canaries = rollout.choose_canaries("s", names)
        self.assertEqual(len(canaries), 2)
        load = CANARY_SHARE / (len(canaries) / len(names))
        self.assertTrue(0.5 <= load <= 1.5)


if __name__ == "__main__":
    unittest.main()
