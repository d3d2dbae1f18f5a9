"""Permits as their holder sees them, for one service.

Requests wait here, in one line, until a permit comes. Unused permits are kept
for the next request until the grantor says that others wait; then they go
back at once. What a grantor sent is valid from when this entry host *asked*,
so an answer that took too long is void on arrival.
"""

from collections.abc import Sequence
from dataclasses import replace
from itertools import islice

from wigeongw.decisions.held import AskSent
from wigeongw.decisions.held import Busy
from wigeongw.decisions.held import Idle
from wigeongw.decisions.held import Pool
from wigeongw.decisions.held import Waiting
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HeldPermit
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Registered
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Renewed
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Revoke
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Refuse
from wigeongw.decisions.sharing import sharing
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted

SERIAL_BITS = 32
IDLE_MOST_MS = 3_000.0
REPORT_EVERY_MS = 50.0
RENEWALS_PER_LIFETIME = 3.0
WAIT_WEIGHT = 0.1
LATENCY_WEIGHT = 0.1
ASKS_MOST = 32
LATE_EVERY_MS = 20.0
CLOSED_MS = 2_000.0
GAP_WEIGHT = 0.05


@sharing("permits")
class Holder:
    """Holds permits for one service; every method takes the time in ms."""

    def __init__(self, config: SharingConfig) -> None:
        self.config = config
        self.rules = config.rules
        self.pools: dict[str, Pool] = {}
        self.waiting: dict[str, Waiting] = {}
        self.busy: dict[str, Busy] = {}
        self.latency: dict[str, float] = {}
        self.reported: dict[str, float] = {}
        self.serial = config.incarnation << SERIAL_BITS
        self.closed: dict[str, float] = {}
        self.late_at = float("-inf")
        self.started_at = 0.0
        self.gap_ms = 0.0

    # What the daemon calls

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Take in the pools of the service, nearest first."""
        before = self.pools
        self.pools = {}
        out: list[Effect] = []
        for view in pools:
            pool = before.get(view.pool) or Pool(replace(view, grantor=None))
            old, pool.view = pool.view, view
            self.pools[view.pool] = pool
            if view.grantor != old.grantor:
                out.extend(self._new_grantor(pool, now))
            pool.idle = [i for i in pool.idle if self._usable(i.held, now)]
        out.extend(self._serve(now))
        return out

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Find an upstream for a request, now or later."""
        if not any(
            self._has_upstream(p, wanted.avoid) for p in self.pools.values()
        ):
            return [Refuse(wanted.request, Refusal.NO_UPSTREAM)]
        if len(self.waiting) >= self.config.queue_most:
            return [Refuse(wanted.request, Refusal.QUEUE_FULL)]
        if now >= wanted.ends_at:
            return [Refuse(wanted.request, Refusal.DEADLINE)]
        if not self.waiting:
            held = self._take_idle(wanted, now)
            if held is not None:
                return [self._start(wanted, held)]
            self.started_at = now
        elif now + self._expected_wait() > wanted.ends_at:
            return [Refuse(wanted.request, Refusal.OVERLOAD)]
        self.waiting[wanted.request] = Waiting(wanted, now)
        out = self._serve_floor(now)
        out.extend(self._balance_asks(now))
        return out

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Forget a request that waits."""
        if self.waiting.pop(request, None) is None:
            return []
        return self._balance_asks(now)

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
    ) -> list[Effect]:
        """Take in that a started request is over."""
        busy = self.busy.pop(request, None)
        if busy is None:
            return []
        held = busy.held
        if verdict is Verdict.GOOD:
            self._note_latency(held.upstream, served_ms)
            self.closed.pop(held.upstream, None)
        pool = self.pools.get(held.pool)
        if pool is None:
            return []
        back = Return(
            held.pool, held.number, held.upstream, verdict, served_ms, start
        )
        out = self._after_use(pool, busy, back, now)
        if verdict is Verdict.UNREACHABLE:
            out.extend(self._close(pool, held.upstream, now))
        if self.waiting:
            out.extend(self._serve_floor(now))
        return out

    def heard(
        self, host: str, message: GrantorMessage, now: float
    ) -> list[Effect]:
        """Take in a grantor's message, if it is still the grantor."""
        pool = self.pools.get(message.pool)
        if pool is None or pool.view.grantor != host:
            return []
        if isinstance(message, Grant):
            return self._granted(pool, message, now)
        if isinstance(message, Pressure):
            pool.press(message.queued_ms, now)
            return self._return_idle(pool)
        if isinstance(message, Revoke):
            return self._revoked(pool, message)
        if isinstance(message, Renewed):
            self._renewed(pool, message)
        if isinstance(message, Registered):
            pool.registered = True
        return []

    def tick(self, now: float) -> list[Effect]:
        """Refuse what is too late, spill over, renew and drop."""
        out: list[Effect] = self._refuse_late(now)
        for pool in self.pools.values():
            out.extend(self._upkeep(pool, now))
        out.extend(self._serve(now))
        return out

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return len(self.waiting)

    def give_up_line(self) -> list[Wanted]:
        """Let go of the requests that wait, oldest first."""
        line = [w.wanted for w in self.waiting.values()]
        self.waiting.clear()
        return line

    # Asking

    def _balance_asks(self, now: float) -> list[Effect]:
        """Have as many asks out as there are requests for them.

        All waiting requests ask the nearest pool; those that waited longer
        than the way is worth ask the farther ones too.
        """
        able = [p for p in self.pools.values() if self._can_ask(p)]
        if not able:
            return []
        nearest = able[0]
        out: list[Effect] = []
        for pool in able:
            wanted = self._asks_wanted(pool, nearest, now)
            while len(pool.asks) > wanted:
                number, _ = pool.asks.popitem()
                cancel = Cancel(pool.view.pool, number)
                out.append(self._to_grantor(pool, cancel))
            if len(pool.asks) < wanted:
                unasked = islice(self.waiting.values(), len(pool.asks), wanted)
                out.extend([self._ask(pool, w, now) for w in unasked])
        return out

    def _asks_wanted(self, pool: Pool, nearest: Pool, now: float) -> int:
        """Return how many asks a pool should have, bounded."""
        most = min(len(self.waiting), ASKS_MOST)
        if pool is nearest:
            return most
        farther = pool.view.round_trip_ms - nearest.view.round_trip_ms
        if nearest.pressed(now) and nearest.wait_ms >= farther:
            return most
        before = now - self.rules.spill_ms - farther
        first = islice(self.waiting.values(), most)
        return sum(1 for w in first if w.since <= before)

    def _ask(
        self, pool: Pool, waiting: Waiting, now: float, replaces: int = 0
    ) -> Effect:
        self.serial += 1
        wanted = waiting.wanted
        pool.asks[self.serial] = AskSent(now, wanted.ends_at)
        ask = Ask(
            pool.view.pool,
            self.serial,
            wanted.ends_at - now,
            wanted.avoid,
            replaces,
        )
        return self._to_grantor(pool, ask)

    def _new_grantor(self, pool: Pool, now: float) -> list[Effect]:
        """Start over with another grantor: old idle permits are void."""
        pool.idle.clear()
        pool.asks.clear()
        pool.renewals.clear()
        pool.registered = False
        if pool.view.grantor is None:
            return []
        return [self._register(pool, now)]

    def _register(self, pool: Pool, now: float) -> Effect:
        """Tell the grantor all that is in flight; repeated until heard.

        The other host may not know yet that it is the grantor.
        """
        held = tuple(
            HeldPermit(b.held.number, b.held.upstream, b.ends_at - now)
            for b in self.busy.values()
            if b.held.pool == pool.view.pool
        )
        return self._to_grantor(pool, Register(pool.view.pool, held))

    # Receiving

    def _granted(self, pool: Pool, grant: Grant, now: float) -> list[Effect]:
        sent = pool.asks.pop(grant.number, None)
        valid_until = float("-inf")
        ends_by = float("-inf")
        if sent is not None:
            valid_until = sent.asked_at + self.rules.lifetime_ms
            ends_by = sent.ends_at
            pool.wait_ms += WAIT_WEIGHT * (now - sent.asked_at - pool.wait_ms)
        held = Held(
            grant.permit,
            pool.view.pool,
            grant.upstream,
            grant.cold,
            valid_until,
            ends_by,
        )
        if grant.pressed:
            pool.press(grant.queued_ms, now)
        if not self._usable(held, now):
            back = Return(held.pool, held.number, held.upstream)
            return [
                self._to_grantor(pool, back),
                *self._balance_asks(now),
            ]
        return self._use_or_keep(pool, held, now)

    def _close(self, pool: Pool, upstream: str, now: float) -> list[Effect]:
        """Keep away from an upstream that refuses connections.

        The grantor hears of it too; this is for idle permits, and for the
        floor while there is no grantor.
        """
        self.closed[upstream] = now + CLOSED_MS
        kept = [i for i in pool.idle if i.held.upstream != upstream]
        gone = [i for i in pool.idle if i.held.upstream == upstream]
        pool.idle = kept
        return [self._give_back(pool, i.held) for i in gone]

    def _revoked(self, pool: Pool, revoke: Revoke) -> list[Effect]:
        kept: list[Idle] = []
        out: list[Effect] = []
        for idle in pool.idle:
            if idle.held.upstream != revoke.upstream:
                kept.append(idle)
                continue
            out.append(self._give_back(pool, idle.held))
        pool.idle = kept
        for request, busy in self.busy.items():
            if busy.held.upstream == revoke.upstream:
                void = replace(busy.held, valid_until=float("-inf"))
                self.busy[request] = replace(busy, held=void)
        return out

    def _renewed(self, pool: Pool, renewed: Renewed) -> None:
        sent_at = pool.renewals.pop(renewed.serial, None)
        if sent_at is None:
            return
        until = sent_at + self.rules.lifetime_ms
        numbers = set(renewed.permits)
        pool.idle = [
            replace(i, held=self._longer(i.held, numbers, until))
            for i in pool.idle
        ]
        for request, busy in self.busy.items():
            if busy.held.number in numbers:
                longer = self._longer(busy.held, numbers, until)
                self.busy[request] = replace(busy, held=longer)

    @staticmethod
    def _longer(held: Held, numbers: set[int], until: float) -> Held:
        if held.number not in numbers or held.cold:
            return held
        if held.valid_until == float("-inf"):
            return held
        return replace(held, valid_until=max(held.valid_until, until))

    # Using

    def _use_or_keep(self, pool: Pool, held: Held, now: float) -> list[Effect]:
        """Give a permit to the oldest request it fits, keep it, or return."""
        waiting = self._oldest_fit(held)
        if waiting is not None:
            del self.waiting[waiting.wanted.request]
            self._note_start(now)
            start = self._start(waiting.wanted, held)
            return [start, *self._balance_asks(now)]
        if held.cold or pool.pressed(now):
            return [self._give_back(pool, held)]
        pool.idle.append(Idle(held, now))
        return []

    def _oldest_fit(self, held: Held) -> Waiting | None:
        for waiting in self.waiting.values():
            wanted = waiting.wanted
            if held.upstream in wanted.avoid:
                continue
            if held.cold and wanted.ends_at > held.ends_by:
                continue
            return waiting
        return None

    def _after_use(
        self, pool: Pool, busy: Busy, back: Return, now: float
    ) -> list[Effect]:
        held = busy.held
        reusable = (
            back.verdict is Verdict.GOOD
            and not busy.is_floor
            and not held.cold
            and self._usable(held, now)
        )
        if not reusable:
            if pool.view.grantor is None:
                return []
            return [self._to_grantor(pool, back)]
        if pool.pressed(now) and not self._is_our_turn(pool, held):
            return [self._to_grantor(pool, back)]
        out = self._use_or_keep(pool, held, now)
        returned = any(
            isinstance(e, ToGrantor) and isinstance(e.message, Return)
            for e in out
        )
        if returned:
            return [self._to_grantor(pool, back)]
        return out + self._report(pool, back, now)

    def _is_our_turn(self, pool: Pool, held: Held) -> bool:
        """Whether our oldest request waits longer than anybody's there."""
        waiting = self._oldest_fit(held)
        return waiting is not None and waiting.since <= pool.queue_since

    def _report(self, pool: Pool, back: Return, now: float) -> list[Effect]:
        """Tell the grantor now and then how a kept permit does."""
        last = self.reported.get(back.upstream, float("-inf"))
        if now - last < REPORT_EVERY_MS:
            return []
        self.reported[back.upstream] = now
        return [self._to_grantor(pool, replace(back, permit=0))]

    def _take_idle(self, wanted: Wanted, now: float) -> Held | None:
        """Take the idle permit with the least expected time, if any."""
        best: tuple[float, Pool, Idle] | None = None
        nearest = next(iter(self.pools.values()))
        for pool in self.pools.values():
            farther = pool.view.round_trip_ms - nearest.view.round_trip_ms
            if farther > nearest.wait_ms and self._can_ask(nearest):
                continue
            for idle in pool.idle:
                if idle.held.upstream in wanted.avoid:
                    continue
                if not self._usable(idle.held, now):
                    continue
                cost = self._expected(pool, idle.held.upstream)
                if best is None or cost < best[0]:
                    best = (cost, pool, idle)
        if best is None:
            return None
        best[1].idle.remove(best[2])
        return best[2].held

    def _expected(self, pool: Pool, upstream: str) -> float:
        mine = sum(b.held.upstream == upstream for b in self.busy.values())
        share = 1.0 + mine / self.config.slots
        latency = self.latency.get(upstream, 0.0)
        return pool.view.round_trip_ms + latency * share

    def _serve(self, now: float) -> list[Effect]:
        """Start what idle permits and floors allow, and ask for the rest."""
        out: list[Effect] = []
        for waiting in list(self.waiting.values()):
            held = self._take_idle(waiting.wanted, now)
            if held is None:
                break
            del self.waiting[waiting.wanted.request]
            self._note_start(now)
            out.append(self._start(waiting.wanted, held))
        out.extend(self._serve_floor(now))
        return out + self._balance_asks(now)

    def _serve_floor(self, now: float) -> list[Effect]:
        """While cut off from a grantor, use the share kept for that."""
        if not self.waiting:
            return []
        out: list[Effect] = []
        for pool in self.pools.values():
            if pool.view.grantor is not None or not pool.view.is_open:
                continue
            for upstream in pool.view.floor:
                if now < self.closed.get(upstream, now):
                    continue
                out.extend(self._start_on_floor(pool, upstream))
        return out

    def _start_on_floor(self, pool: Pool, upstream: str) -> list[Effect]:
        if any(b.held.upstream == upstream for b in self.busy.values()):
            return []
        self.serial += 1
        forever = float("inf")
        held = Held(
            self.serial, pool.view.pool, upstream, False, forever, forever
        )
        waiting = self._oldest_fit(held)
        if waiting is None:
            return []
        del self.waiting[waiting.wanted.request]
        return [self._start(waiting.wanted, held, is_floor=True)]

    def _start(
        self, wanted: Wanted, held: Held, is_floor: bool = False
    ) -> Start:
        self.busy[wanted.request] = Busy(held, wanted.ends_at, is_floor)
        return Start(wanted.request, held)

    # Keeping

    def _upkeep(self, pool: Pool, now: float) -> list[Effect]:
        """Return what lies unused and renew the rest, when it is due."""
        lifetime = self.rules.lifetime_ms
        if now - pool.renewed_at < lifetime / RENEWALS_PER_LIFETIME:
            return []
        pool.renewed_at = now
        out = self._ask_anew(pool, now)
        pool.renewals = {
            s: t for s, t in pool.renewals.items() if now - t < lifetime
        }
        if pool.view.grantor is None:
            pool.idle.clear()
            return []
        if not pool.registered:
            out.append(self._register(pool, now))
        kept: list[Idle] = []
        for idle in pool.idle:
            if not self._usable(idle.held, now):
                continue
            if now - idle.since > IDLE_MOST_MS:
                out.append(self._give_back(pool, idle.held))
                continue
            kept.append(idle)
        pool.idle = kept
        numbers = [i.held.number for i in kept]
        numbers += [
            b.held.number
            for b in self.busy.values()
            if b.held.pool == pool.view.pool
        ]
        if numbers:
            self.serial += 1
            pool.renewals[self.serial] = now
            renew = Renew(pool.view.pool, self.serial, tuple(numbers))
            out.append(self._to_grantor(pool, renew))
        return out

    def _ask_anew(self, pool: Pool, now: float) -> list[Effect]:
        """Replace asks whose grant would be void, keeping their turn."""
        if pool.view.grantor is None:
            return []
        half = self.rules.lifetime_ms / 2
        old = [n for n, a in pool.asks.items() if now - a.asked_at >= half]
        out: list[Effect] = []
        for number in old:
            del pool.asks[number]
        for number, waiting in zip(old, self.waiting.values(), strict=False):
            out.append(self._ask(pool, waiting, now, replaces=number))
        return out

    def _return_idle(self, pool: Pool) -> list[Effect]:
        out = [self._give_back(pool, i.held) for i in pool.idle]
        pool.idle.clear()
        return out

    def _give_back(self, pool: Pool, held: Held) -> Effect:
        back = Return(held.pool, held.number, held.upstream)
        return self._to_grantor(pool, back)

    def _to_grantor(
        self, pool: Pool, message: Ask | Cancel | Return | Renew | Register
    ) -> ToGrantor:
        return ToGrantor(pool.view.grantor or "", message)

    def _usable(self, held: Held, now: float) -> bool:
        pool = self.pools.get(held.pool)
        if pool is None or not pool.view.is_open:
            return False
        return now < held.valid_until and (
            held.upstream in pool.view.upstreams
        )

    def _can_ask(self, pool: Pool) -> bool:
        return pool.view.grantor is not None and self._has_upstream(pool)

    @staticmethod
    def _has_upstream(pool: Pool, avoid: tuple[str, ...] = ()) -> bool:
        names = pool.view.upstreams
        return pool.view.is_open and any(n not in avoid for n in names)

    def _refuse_late(self, now: float) -> list[Effect]:
        """Refuse requests whose deadline has passed in line."""
        if now - self.late_at < LATE_EVERY_MS:
            return []
        self.late_at = now
        late = [r for r, w in self.waiting.items() if now >= w.wanted.ends_at]
        for request in late:
            del self.waiting[request]
        return [Refuse(request, Refusal.DEADLINE) for request in late]

    def _expected_wait(self) -> float:
        """Return how long the line would take at its recent pace."""
        return self.gap_ms * len(self.waiting)

    def _note_start(self, now: float) -> None:
        """Follow the pace at which the line moves."""
        gap = now - self.started_at
        self.started_at = now
        self.gap_ms += GAP_WEIGHT * (gap - self.gap_ms)

    def _note_latency(self, upstream: str, served_ms: float) -> None:
        before = self.latency.get(upstream, served_ms)
        self.latency[upstream] = before + LATENCY_WEIGHT * (served_ms - before)
