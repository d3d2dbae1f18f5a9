"""Tests that measuring calls stay within the budget in every window."""

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


# Explicit examples, each of which violates the budget if one rule is missing:
# more calls within a window than the budget allows, and calls by a new owner
# immediately after those of the previous one.
SEVEN_CALLS = [(1_000.0, "take", 0)] + [(1.0, "take", 0)] * 6
CALLS_BEFORE_AND_AFTER_MOVE = (
    SEVEN_CALLS + [(1.0, "move", 0)] + SEVEN_CALLS[1:]
)


@seed(20261204)
@example(SEVEN_CALLS)
@example(CALLS_BEFORE_AND_AFTER_MOVE)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 400.0),
            st.sampled_from(["take", "share", "move"]),
            st.integers(0, 6),
        ),
        max_size=200,
    )
)
def check_limit_in_every_window(steps: list[tuple[float, str, int]]) -> None:
    """Move the fence of a pool between owners and check every window.

    The fence has one owner at a time.
    """
    now = 0.0
    limiter = CallLimiter(now)
    budget = PoolBudget(3, 100)
    limiter.set_budget(budget, now)
    call_times: list[float] = []
    largest = 3
    for wait, action, number in steps:
        now += wait
        if action == "take" and limiter.take(now):
            call_times.append(now)
        elif action == "share":
            largest = max(largest, number)
            limiter.set_budget(PoolBudget(number, 100), now)
        elif action == "move":
            limiter = CallLimiter(now)
            limiter.set_budget(PoolBudget(largest, 100), now)
    for begin in call_times:
        window = [t for t in call_times if begin <= t <= begin + 1_000.0]
        assert len(window) <= largest, window


ORIGINAL_INIT = CallLimiter.__init__


def init_without_wait(limiter: CallLimiter, now: float) -> None:
    ORIGINAL_INIT(limiter, now)
    limiter.blocked_until = now


class CallLimiterTest(unittest.TestCase):
    def test_every_window_is_within_the_budget(self) -> None:
        check_limit_in_every_window()

    def test_each_rule_is_needed(self) -> None:
        """Without the initial wait or the count, a window is over budget."""
        mutations = (
            ("used", lambda limiter, now: 0),
            ("__init__", init_without_wait),
        )
        for name, mutation in mutations:
            with (
                self.subTest(name),
                mock.patch.object(CallLimiter, name, mutation),
                self.assertRaises(AssertionError),
            ):
                check_limit_in_every_window()

    def test_new_owner_waits_for_one_window(self) -> None:
        limiter = CallLimiter(0.0)
        limiter.set_budget(PoolBudget(2, 100), 0.0)
        self.assertEqual(limiter.take(999.0), 0)
        self.assertEqual(limiter.take(1_000.0), 100)

    def test_larger_budget_applies_after_the_settling_time(self) -> None:
        limiter = CallLimiter(0.0)
        limiter.set_budget(PoolBudget(2, 100), 0.0)
        limiter.set_budget(PoolBudget(9, 100), 20_000.0)
        self.assertEqual(limiter.allowed(21_000.0).calls, 2)
        self.assertEqual(limiter.allowed(31_000.0).calls, 9)


if __name__ == "__main__":
    unittest.main()
