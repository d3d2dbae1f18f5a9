"""What a holder does by itself, without a grantor to ask."""

import random
import unittest

from wigeongw.decisions.holder import Holder
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Refuse
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted
from wigeongw.settings.model import PermitSettings

POOL = "s@near"
FAR = "s@far"


def holder(queue_most: int = 10) -> Holder:
    rules = PermitSettings()
    return Holder(SharingConfig(rules, 4, queue_most, 1, random.Random(1)))


def view(
    pool: str = POOL,
    grantor: str | None = "g",
    trip: float = 0.0,
    is_open: bool = True,
    floor: tuple[str, ...] = (),
) -> PoolView:
    return PoolView(pool, grantor, trip, is_open, ("u1", "u2"), floor)


def asks(effects: list[Effect]) -> list[Ask]:
    return [
        e.message
        for e in effects
        if isinstance(e, ToGrantor) and isinstance(e.message, Ask)
    ]


def returns(effects: list[Effect]) -> list[int]:
    return [
        e.message.permit
        for e in effects
        if isinstance(e, ToGrantor) and isinstance(e.message, Return)
    ]


class HolderTest(unittest.TestCase):
    def granted(self, made: Holder, now: float = 0.0) -> None:
        """Let a request get permit 7 for u1 and keep it when done."""
        ask = asks(made.want(Wanted("r", now + 1e4), now))[0]
        grant = Grant(POOL, ask.number, 7, "u1")
        self.assertIsInstance(made.heard("g", grant, now)[0], Start)
        made.done("r", Verdict.GOOD, 5.0, "", now)

    def test_idle_permit_is_used_without_asking(self) -> None:
        made = holder()
        made.set_view([view()], 0.0)
        self.granted(made)
        found = made.want(Wanted("r2", 1e4), 1.0)
        self.assertIsInstance(found[0], Start)
        self.assertEqual(asks(found), [])

    def test_idle_permit_expires(self) -> None:
        made = holder()
        made.set_view([view()], 0.0)
        self.granted(made)
        found = made.want(Wanted("r2", 1e5), 1_001.0)
        self.assertEqual(len(asks(found)), 1)

    def test_pressure_returns_idle_permits(self) -> None:
        made = holder()
        made.set_view([view()], 0.0)
        self.granted(made)
        self.assertEqual(returns(made.heard("g", Pressure(POOL), 1.0)), [7])

    def test_grant_of_another_host_is_not_used(self) -> None:
        made = holder()
        made.set_view([view()], 0.0)
        ask = asks(made.want(Wanted("r", 1e4), 0.0))[0]
        grant = Grant(POOL, ask.number, 7, "u1")
        self.assertEqual(made.heard("impostor", grant, 0.0), [])

    def test_zone_out_voids_idle_permits(self) -> None:
        made = holder()
        made.set_view([view(), view(FAR, trip=2.0)], 0.0)
        self.granted(made)
        made.set_view([view(is_open=False), view(FAR, trip=2.0)], 1.0)
        found = asks(made.want(Wanted("r2", 1e4), 2.0))
        self.assertEqual([a.pool for a in found], [FAR])

    def test_far_pool_is_asked_after_the_way_is_worth_it(self) -> None:
        made = holder()
        made.set_view([view(), view(FAR, trip=2.0)], 0.0)
        first = asks(made.want(Wanted("r", 1e4), 0.0))
        self.assertEqual([a.pool for a in first], [POOL])
        self.assertEqual(asks(made.tick(3.0)), [])
        later = asks(made.tick(4.0))
        self.assertEqual([a.pool for a in later], [FAR])

    def test_floor_while_cut_off(self) -> None:
        made = holder()
        made.set_view([view(grantor=None, floor=("u1",))], 0.0)
        first = made.want(Wanted("r1", 1e4), 0.0)
        second = made.want(Wanted("r2", 1e4), 0.0)
        self.assertIsInstance(first[0], Start)
        self.assertEqual(second, [])
        after = made.done("r1", Verdict.GOOD, 5.0, "", 1.0)
        self.assertIsInstance(after[-1], Start)

    def test_floor_keeps_away_from_a_dead_upstream(self) -> None:
        """Failed first: 356 requests were refused in the power cut."""
        made = holder()
        made.set_view([view(grantor=None, floor=("u1",))], 0.0)
        made.want(Wanted("r1", 1e4), 0.0)
        made.done("r1", Verdict.UNREACHABLE, 0.0, "", 1.0)
        self.assertEqual(made.want(Wanted("r2", 1e4), 2.0), [])
        later = made.tick(2_500.0)
        self.assertTrue(any(isinstance(e, Start) for e in later))

    def test_refusals(self) -> None:
        made = holder(queue_most=1)
        made.set_view([view()], 0.0)
        tried = Wanted("r0", 1e4, ("u1", "u2"))
        self.assertEqual(
            made.want(tried, 0.0), [Refuse("r0", Refusal.NO_UPSTREAM)]
        )
        made.want(Wanted("r1", 100.0), 0.0)
        full = made.want(Wanted("r2", 1e4), 0.0)
        self.assertEqual(full, [Refuse("r2", Refusal.QUEUE_FULL)])
        self.assertIn(Refuse("r1", Refusal.DEADLINE), made.tick(100.0))


if __name__ == "__main__":
    unittest.main()
