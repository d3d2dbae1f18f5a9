"""The measuring budget holds in every window, whatever anybody believes."""

import unittest
from unittest import mock

from hypothesis import example
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from wigeongw.decisions import measuring
from wigeongw.decisions.measuring import Share
from wigeongw.decisions.measuring import Spender
from wigeongw.settings import check

SITE = """
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


def site(calls: int, size: int = 1 << 20) -> dict[str, Share]:
    text = SITE.format(calls=calls, size=size)
    return measuring.shares(check.from_text(text, "test"))


class SharesTest(unittest.TestCase):
    def test_shares_add_up_to_the_budget_at_most(self) -> None:
        for calls in (0, 1, 3, 4, 7, 40, 1_000):
            with self.subTest(calls=calls):
                total = sum(s.calls for s in site(calls).values())
                self.assertEqual(total, calls)

    def test_bytes_bound_calls(self) -> None:
        found = site(1_000, 10_240)
        total = sum(s.calls * s.call_bytes for s in found.values())
        self.assertLessEqual(total, 10_240)


# Each breaks one rule of the spender, whatever else is drawn: one more call
# than the share inside a window, and a new owner that spends at once.
ONE_TOO_MANY = [(1_000.0, "take", 0)] + [(1.0, "take", 0)] * 6
SPENT_AND_MOVED = ONE_TOO_MANY + [(1.0, "move", 0)] + ONE_TOO_MANY[1:]


@seed(20261204)
@example(ONE_TOO_MANY)
@example(SPENT_AND_MOVED)
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
def check_windows(steps: list[tuple[float, str, int]]) -> None:
    """A pool's fence moves about; two spenders never overlap."""
    now = 0.0
    spender = Spender(now)
    current = Share(3, 100)
    spender.set_share(current, now)
    sent: list[float] = []
    largest = 3
    for wait, action, number in steps:
        now += wait
        if action == "take" and spender.take(now):
            sent.append(now)
        elif action == "share":
            largest = max(largest, number)
            spender.set_share(Share(number, 100), now)
        elif action == "move":
            spender = Spender(now)
            spender.set_share(Share(largest, 100), now)
    for begin in sent:
        window = [t for t in sent if begin <= t <= begin + 1_000.0]
        assert len(window) <= largest, window


START = Spender.__init__


def without_first_window(spender: Spender, now: float) -> None:
    START(spender, now)
    spender.blocked_until = now


class SpenderTest(unittest.TestCase):
    def test_every_window_is_within_the_share(self) -> None:
        check_windows()

    def test_each_rule_is_needed(self) -> None:
        """Without the first window, or the count, a window goes over."""
        mutations = (
            ("used", lambda spender, now: 0),
            ("__init__", without_first_window),
        )
        for name, mutation in mutations:
            with (
                self.subTest(name),
                mock.patch.object(Spender, name, mutation),
                self.assertRaises(AssertionError),
            ):
                check_windows()

    def test_a_new_owner_spends_after_one_window(self) -> None:
        spender = Spender(0.0)
        spender.set_share(Share(2, 100), 0.0)
        self.assertEqual(spender.take(999.0), 0)
        self.assertEqual(spender.take(1_000.0), 100)

    def test_a_larger_share_waits_until_all_have_it(self) -> None:
        spender = Spender(0.0)
        spender.set_share(Share(2, 100), 0.0)
        spender.set_share(Share(9, 100), 20_000.0)
        self.assertEqual(spender.allowed(21_000.0).calls, 2)
        self.assertEqual(spender.allowed(31_000.0).calls, 9)


if __name__ == "__main__":
    unittest.main()
