"""Tests that measuring calls stay within the budget in every window."""

from collections import deque
import dataclasses
import unittest
from unittest import mock

from hypothesis import example
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from wigeongw.decisions import load_report_budget
from wigeongw.decisions.load_report_budget import CallLimiter
from wigeongw.decisions.load_report_budget import PoolBudget
from wigeongw.settings import validation

SETTINGS_TEMPLATE = """
site = "test"
[availability_zones.amman]
[availability_zones.irbid]
[services.dial-watch]
paths = ["/dial-watch"]
[services.regulator]
paths = ["/regulator"]
[measuring]
calls_per_s = {calls}
bytes_per_s = {size}
"""


def site_budgets(calls: int, size: int = 1 << 20) -> dict[str, PoolBudget]:
    text = SETTINGS_TEMPLATE.format(calls=calls, size=size)
    return load_report_budget.pool_budgets(
        validation.validate_text(text, "test")
    )


class PoolBudgetsTest(unittest.TestCase):
    def test_pool_budgets_add_up_to_the_site_budget(self) -> None:
        for calls in (0, 1, 3, 4, 7, 40, 1_000):
            with self.subTest(calls=calls):
                total = sum(s.calls for s in site_budgets(calls).values())
                self.assertEqual(total, calls)

    def test_byte_limit_bounds_the_calls(self) -> None:
        found = site_budgets(1_000, 10_240)
        total = sum(s.calls * s.call_bytes for s in found.values())
        self.assertLessEqual(total, 10_240)


# The longest duration of a call.
MAX_CALL_MS = 200.0
FIRST_CALL_AT_MS = 1_000.0 + MAX_CALL_MS


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of a scenario.

    Attributes:
        wait_ms: time since the previous step.
        action: "take" starts a call, "share" changes the budget, "move" gives
            the fence to another owner.
        calls: the new budget, for "share".
        call_ms: duration of the call, for "take".
        arrives_late: whether the call reaches the upstream at its end, not at
            its start.
    """

    wait_ms: float
    action: str
    calls: int = 0
    call_ms: float = 0.0
    arrives_late: bool = False


@dataclasses.dataclass(frozen=True)
class Call:
    """A call in progress, and the limiter that allowed it."""

    ends_at: float
    limiter: CallLimiter


# Explicit examples, each of which violates the budget if one rule is missing:
# more calls within a window than the budget allows, calls by a new owner
# immediately after those of the previous one, and calls that were delayed on
# their way followed by calls that were not.
CALL = Step(1.0, "take")
SLOW_CALL = Step(1.0, "take", call_ms=MAX_CALL_MS, arrives_late=True)
WAIT_FOR_FIRST_CALL = Step(FIRST_CALL_AT_MS, "none")
SEVEN_CALLS = [WAIT_FOR_FIRST_CALL] + [CALL] * 7
CALLS_BEFORE_AND_AFTER_MOVE = SEVEN_CALLS + [Step(1.0, "move")] + [CALL] * 7
DELAYED_CALLS = [
    WAIT_FOR_FIRST_CALL,
    *[SLOW_CALL] * 3,
    Step(1_000.0, "none"),
    *[CALL] * 3,
]
DELAYED_CALLS_BEFORE_MOVE = [
    WAIT_FOR_FIRST_CALL,
    *[SLOW_CALL] * 3,
    Step(1.0, "move"),
    Step(1_000.0, "none"),
    *[CALL] * 3,
]
STEPS = st.builds(
    Step,
    wait_ms=st.floats(0.0, 400.0),
    action=st.sampled_from(["take", "share", "move"]),
    calls=st.integers(0, 6),
    call_ms=st.floats(0.0, MAX_CALL_MS),
    arrives_late=st.booleans(),
)


@seed(20261204)
@example(SEVEN_CALLS)
@example(CALLS_BEFORE_AND_AFTER_MOVE)
@example(DELAYED_CALLS)
@example(DELAYED_CALLS_BEFORE_MOVE)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(STEPS, max_size=200))
def check_limit_in_every_window(steps: list[Step]) -> None:
    """Move the fence of a pool between owners and check every window.

    The fence has one owner at a time. A window holds the calls that reach the
    upstreams within it.
    """
    now = 0.0
    limiter = CallLimiter(now, MAX_CALL_MS)
    limiter.set_budget(PoolBudget(3, 100), now)
    arrivals: list[float] = []
    in_progress: list[Call] = []
    largest = 3
    for step in steps:
        now += step.wait_ms
        for call in [c for c in in_progress if c.ends_at <= now]:
            call.limiter.end(call.ends_at)
            in_progress.remove(call)
        if step.action == "take" and limiter.take(now):
            ends_at = now + step.call_ms
            arrivals.append(ends_at if step.arrives_late else now)
            in_progress.append(Call(ends_at, limiter))
        elif step.action == "share":
            largest = max(largest, step.calls)
            limiter.set_budget(PoolBudget(step.calls, 100), now)
        elif step.action == "move":
            limiter = CallLimiter(now, MAX_CALL_MS)
            limiter.set_budget(PoolBudget(largest, 100), now)
    for begin in arrivals:
        window = [t for t in arrivals if begin <= t <= begin + 1_000.0]
        assert len(window) <= largest, window


ORIGINAL_INIT = CallLimiter.__init__


def init_without_wait(
    limiter: CallLimiter, now: float, max_call_ms: float
) -> None:
    ORIGINAL_INIT(limiter, now, max_call_ms)
    limiter.blocked_until = now


def init_without_wait_for_calls(
    limiter: CallLimiter, now: float, max_call_ms: float
) -> None:
    ORIGINAL_INIT(limiter, now, 0.0)


def used_since_start(limiter: CallLimiter, now: float) -> int:
    """Count a call for one window from its start, not from its end."""
    limiter.ended_at = deque(
        t for t in limiter.ended_at if now - t <= 1_000.0 - MAX_CALL_MS
    )
    return limiter.in_progress + len(limiter.ended_at)


class CallLimiterTest(unittest.TestCase):
    def test_every_window_is_within_the_budget(self) -> None:
        check_limit_in_every_window()

    def test_each_rule_is_needed(self) -> None:
        """Without any one of the rules, a window is over budget."""
        mutations = (
            ("used", lambda limiter, now: 0),
            ("used", used_since_start),
            ("__init__", init_without_wait),
            ("__init__", init_without_wait_for_calls),
        )
        for name, mutation in mutations:
            with (
                self.subTest(name),
                mock.patch.object(CallLimiter, name, mutation),
                self.assertRaises(AssertionError),
            ):
                check_limit_in_every_window()

    def test_new_owner_waits_for_earlier_calls_and_one_window(self) -> None:
        limiter = CallLimiter(0.0, MAX_CALL_MS)
        limiter.set_budget(PoolBudget(2, 100), 0.0)
        self.assertEqual(limiter.take(FIRST_CALL_AT_MS - 1.0), 0)
        self.assertEqual(limiter.take(FIRST_CALL_AT_MS), 100)

    def test_call_counts_until_one_window_after_its_end(self) -> None:
        limiter = CallLimiter(-FIRST_CALL_AT_MS, MAX_CALL_MS)
        limiter.set_budget(PoolBudget(1, 100), 0.0)
        self.assertEqual(limiter.take(0.0), 100)
        self.assertEqual(limiter.take(5_000.0), 0)
        limiter.end(5_000.0)
        self.assertEqual(limiter.take(6_000.0), 0)
        self.assertEqual(limiter.take(6_001.0), 100)

    def test_larger_budget_applies_after_the_settling_time(self) -> None:
        limiter = CallLimiter(0.0, MAX_CALL_MS)
        limiter.set_budget(PoolBudget(2, 100), 0.0)
        limiter.set_budget(PoolBudget(9, 100), 20_000.0)
        self.assertEqual(limiter.allowed(21_000.0).calls, 2)
        self.assertEqual(limiter.allowed(31_000.0).calls, 9)


if __name__ == "__main__":
    unittest.main()
