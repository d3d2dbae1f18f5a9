"""Tests of a permit holder with scripted messages from its grantors."""

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
from wigeongw.settings.schema import PermitSettings

NEAR_POOL = "s@near"
FAR_POOL = "s@far"


def new_holder(queue_most: int = 10) -> Holder:
    rules = PermitSettings()
    return Holder(SharingConfig(rules, 4, queue_most, 1, random.Random(1)))


def new_view(
    pool: str = NEAR_POOL,
    grantor: str | None = "g",
    round_trip_ms: float = 0.0,
    is_open: bool = True,
    floor: tuple[str, ...] = (),
) -> PoolView:
    return PoolView(pool, grantor, round_trip_ms, is_open, ("u1", "u2"), floor)


def asks_in(effects: list[Effect]) -> list[Ask]:
    return [
        e.message
        for e in effects
        if isinstance(e, ToGrantor) and isinstance(e.message, Ask)
    ]


def returned_permits(effects: list[Effect]) -> list[int]:
    return [
        e.message.permit
        for e in effects
        if isinstance(e, ToGrantor) and isinstance(e.message, Return)
    ]


class HolderTest(unittest.TestCase):
    def keep_idle_permit(self, holder: Holder, now: float = 0.0) -> None:
        """Give the holder permit 7 for u1, idle after one request."""
        ask = asks_in(holder.want(Wanted("r", now + 1e4), now))[0]
        grant = Grant(NEAR_POOL, ask.number, 7, "u1")
        self.assertIsInstance(holder.heard("g", grant, now)[0], Start)
        holder.done("r", Verdict.GOOD, 5.0, "", now)

    def test_idle_permit_is_used_without_an_ask(self) -> None:
        holder = new_holder()
        holder.set_view([new_view()], 0.0)
        self.keep_idle_permit(holder)
        effects = holder.want(Wanted("r2", 1e4), 1.0)
        self.assertIsInstance(effects[0], Start)
        self.assertEqual(asks_in(effects), [])

    def test_idle_permit_expires(self) -> None:
        holder = new_holder()
        holder.set_view([new_view()], 0.0)
        self.keep_idle_permit(holder)
        effects = holder.want(Wanted("r2", 1e5), 1_001.0)
        self.assertEqual(len(asks_in(effects)), 1)

    def test_pressure_returns_idle_permits(self) -> None:
        holder = new_holder()
        holder.set_view([new_view()], 0.0)
        self.keep_idle_permit(holder)
        self.assertEqual(
            returned_permits(holder.heard("g", Pressure(NEAR_POOL), 1.0)), [7]
        )

    def test_grant_from_other_host_is_ignored(self) -> None:
        holder = new_holder()
        holder.set_view([new_view()], 0.0)
        ask = asks_in(holder.want(Wanted("r", 1e4), 0.0))[0]
        grant = Grant(NEAR_POOL, ask.number, 7, "u1")
        self.assertEqual(holder.heard("other", grant, 0.0), [])

    def test_closed_zone_voids_idle_permits(self) -> None:
        holder = new_holder()
        holder.set_view(
            [new_view(), new_view(FAR_POOL, round_trip_ms=2.0)], 0.0
        )
        self.keep_idle_permit(holder)
        holder.set_view(
            [new_view(is_open=False), new_view(FAR_POOL, round_trip_ms=2.0)],
            1.0,
        )
        asks = asks_in(holder.want(Wanted("r2", 1e4), 2.0))
        self.assertEqual([a.pool for a in asks], [FAR_POOL])

    def test_farther_pool_is_asked_after_spill_delay(self) -> None:
        holder = new_holder()
        holder.set_view(
            [new_view(), new_view(FAR_POOL, round_trip_ms=2.0)], 0.0
        )
        first = asks_in(holder.want(Wanted("r", 1e4), 0.0))
        self.assertEqual([a.pool for a in first], [NEAR_POOL])
        self.assertEqual(asks_in(holder.tick(3.0)), [])
        later = asks_in(holder.tick(4.0))
        self.assertEqual([a.pool for a in later], [FAR_POOL])

    def test_floor_upstream_runs_one_request_at_a_time(self) -> None:
        holder = new_holder()
        holder.set_view([new_view(grantor=None, floor=("u1",))], 0.0)
        first = holder.want(Wanted("r1", 1e4), 0.0)
        second = holder.want(Wanted("r2", 1e4), 0.0)
        self.assertIsInstance(first[0], Start)
        self.assertEqual(second, [])
        after = holder.done("r1", Verdict.GOOD, 5.0, "", 1.0)
        self.assertIsInstance(after[-1], Start)

    def test_floor_backs_off_from_unreachable_upstream(self) -> None:
        """Without the backoff, 356 requests were refused in a power cut.

        While the grantor was gone, the holder kept using a floor upstream
        that refused connections.
        """
        holder = new_holder()
        holder.set_view([new_view(grantor=None, floor=("u1",))], 0.0)
        holder.want(Wanted("r1", 1e4), 0.0)
        holder.done("r1", Verdict.UNREACHABLE, 0.0, "", 1.0)
        self.assertEqual(holder.want(Wanted("r2", 1e4), 2.0), [])
        later = holder.tick(2_500.0)
        self.assertTrue(any(isinstance(e, Start) for e in later))

    def test_refusal_reasons(self) -> None:
        holder = new_holder(queue_most=1)
        holder.set_view([new_view()], 0.0)
        tried = Wanted("r0", 1e4, ("u1", "u2"))
        self.assertEqual(
            holder.want(tried, 0.0), [Refuse("r0", Refusal.NO_UPSTREAM)]
        )
        holder.want(Wanted("r1", 100.0), 0.0)
        full = holder.want(Wanted("r2", 1e4), 0.0)
        self.assertEqual(full, [Refuse("r2", Refusal.QUEUE_FULL)])
        self.assertIn(Refuse("r1", Refusal.DEADLINE), holder.tick(100.0))


if __name__ == "__main__":
    unittest.main()
