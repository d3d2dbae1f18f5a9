"""Permit holder of one service: matches requests with permits.

Requests wait in one queue until a permit arrives. Unused permits are kept for
later requests until the grantor reports that other holders wait; then they
are returned at once. The lifetime of a permit starts when its ask or renewal
was sent, not when the answer arrives, so an answer that took too long is void
on arrival.
"""

from collections.abc import Sequence
from dataclasses import replace
from itertools import count

from wigeongw.decisions.floor_use import FloorUse
from wigeongw.decisions.holder_state import BusyPermit
from wigeongw.decisions.holder_state import IdlePermit
from wigeongw.decisions.holder_state import PoolState
from wigeongw.decisions.holder_state import QueuedRequest
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HeldPermit
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Registered
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Renewed
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Revoke
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.permit_asks import PermitAsks
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Refuse
from wigeongw.decisions.sharing import register_strategy
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted

# Low bits of serial numbers; the high bits hold the holder's incarnation.
SERIAL_BITS = 32
# A permit that was idle for longer is returned.
MAX_IDLE_MS = 3_000.0
REPORT_INTERVAL_MS = 50.0
RENEWALS_PER_LIFETIME = 3.0
GRANT_WAIT_EWMA_WEIGHT = 0.1
LATENCY_EWMA_WEIGHT = 0.1
DEADLINE_CHECK_INTERVAL_MS = 20.0
START_INTERVAL_EWMA_WEIGHT = 0.05


@register_strategy("permits")
class Holder:
    """State machine that holds the permits of one service.

    The caller passes the current time as `now`, in monotonic milliseconds,
    and carries out the returned effects.

    Attributes:
        pools: pools of the service, nearest first.
        waiting: queued requests, oldest first.
        busy: permits in use, by request.
        latency_ms: moving average of the time to the end of a response, by
            upstream.
        reported_at: when the last result of a kept permit was reported, by
            upstream.
        numbers: numbers of asks, renewals and floor permits.
        asks: sends the asks of the queued requests.
        floor_use: limits the use of floor upstreams.
        start_interval_ms: moving average of the time between two requests
            that leave the queue.
    """

    def __init__(self, config: SharingConfig) -> None:
        self.config = config
        self.rules = config.rules
        self.pools: dict[str, PoolState] = {}
        self.waiting: dict[str, QueuedRequest] = {}
        self.busy: dict[str, BusyPermit] = {}
        self.latency_ms: dict[str, float] = {}
        self.reported_at: dict[str, float] = {}
        self.numbers = count((config.incarnation << SERIAL_BITS) + 1)
        self.asks = PermitAsks(config.rules, self.numbers)
        self.floor_use = FloorUse(config.slots)
        self.deadlines_checked_at = float("-inf")
        self.last_start_at = 0.0
        self.start_interval_ms = 0.0

    # Calls of the daemon

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Update the pools of the service, nearest first."""
        previous = self.pools
        self.pools = {}
        effects: list[Effect] = []
        for view in pools:
            pool = previous.get(view.pool) or PoolState(
                replace(view, grantor=None)
            )
            old_view, pool.view = pool.view, view
            self.pools[view.pool] = pool
            if view.grantor != old_view.grantor:
                effects.extend(self._reset_pool(pool, now))
            pool.idle = [i for i in pool.idle if self._is_usable(i.held, now)]
        effects.extend(self._start_queued(now))
        return effects

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Start a request, queue it or refuse it.

        A request is refused if no upstream is left to try, the queue is
        full, its deadline has passed, or the queue is not expected to reach
        it before its deadline.
        """
        if not any(p.has_upstream(wanted.avoid) for p in self.pools.values()):
            return [Refuse(wanted.request, Refusal.NO_UPSTREAM)]
        if len(self.waiting) >= self.config.queue_most:
            return [Refuse(wanted.request, Refusal.QUEUE_FULL)]
        if now >= wanted.ends_at:
            return [Refuse(wanted.request, Refusal.DEADLINE)]
        if not self.waiting:
            held = self._take_idle(wanted, now)
            if held is not None:
                return [self._start(wanted, held)]
            self.last_start_at = now
        elif now + self._expected_wait_ms() > wanted.ends_at:
            return [Refuse(wanted.request, Refusal.OVERLOAD)]
        self.waiting[wanted.request] = QueuedRequest(wanted, now)
        effects = self._start_on_floors(now)
        effects.extend(self._balance_asks(now))
        return effects

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Remove a request from the queue, if it is queued."""
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
        limit: LimitReport | None = None,
    ) -> list[Effect]:
        """Process the end of a started request.

        Args:
            request: the request's name, as given to want.
            verdict: its result.
            served_ms: time to the end of the response; 0 without one.
            start: the upstream's start identity; empty if unknown.
            now: current time.
            limit: what the response said about a rate limit; None without a
                response.
        """
        busy = self.busy.pop(request, None)
        if busy is None:
            return []
        held = busy.held
        if verdict is Verdict.GOOD:
            self._record_latency(held.upstream, served_ms)
            self.floor_use.record_success(held.upstream)
        pool = self.pools.get(held.pool)
        if pool is None:
            return []
        returned = Return(
            held.pool,
            held.number,
            held.upstream,
            verdict,
            served_ms,
            start,
            limit,
        )
        self.floor_use.learn_limit(held.upstream, limit, now)
        effects = self._reuse_or_return(pool, busy, returned, now)
        if verdict is Verdict.UNREACHABLE:
            effects.extend(self._back_off(pool, held.upstream, now))
        if self.waiting:
            effects.extend(self._start_on_floors(now))
        return effects

    def heard(
        self, host: str, message: GrantorMessage, now: float
    ) -> list[Effect]:
        """Process a message from a pool's grantor.

        A message from a host that is not the pool's grantor is ignored.
        """
        pool = self.pools.get(message.pool)
        if pool is None or pool.view.grantor != host:
            return []
        if isinstance(message, Grant):
            return self._on_grant(pool, message, now)
        if isinstance(message, Pressure):
            pool.note_pressure(message.queued_ms, now)
            return [*pool.return_idle()]
        if isinstance(message, Revoke):
            return self._on_revoke(pool, message)
        if isinstance(message, Renewed):
            self._on_renewed(pool, message)
        if isinstance(message, Registered):
            pool.registered = True
        return []

    def tick(self, now: float) -> list[Effect]:
        """Refuse expired requests, maintain permits and start requests."""
        effects: list[Effect] = self._refuse_expired(now)
        for pool in self.pools.values():
            effects.extend(self._maintain(pool, now))
        effects.extend(self._start_queued(now))
        return effects

    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return len(self.waiting)

    def give_up_line(self) -> list[Wanted]:
        """Empty the queue and return its requests, oldest first."""
        removed = [w.wanted for w in self.waiting.values()]
        self.waiting.clear()
        return removed

    # Registration

    def _reset_pool(self, pool: PoolState, now: float) -> list[Effect]:
        """Drop idle permits and asks after a change of the grantor."""
        pool.forget_grantor()
        if pool.view.grantor is None:
            return []
        return [self._registration(pool, now)]

    def _registration(self, pool: PoolState, now: float) -> Effect:
        """Return a message that registers the requests in flight.

        The message is repeated until the grantor confirms it, because the
        other host may not know yet that it is the grantor.
        """
        held = tuple(
            HeldPermit(b.held.number, b.held.upstream, b.ends_at - now)
            for b in self.busy.values()
            if b.held.pool == pool.view.pool
        )
        return pool.to_grantor(Register(pool.view.pool, held))

    # Messages from grantors

    def _on_grant(
        self, pool: PoolState, grant: Grant, now: float
    ) -> list[Effect]:
        """Use, keep or return a granted permit.

        A grant for an unknown ask, or one that came too late, is returned.
        """
        pending = pool.asks.pop(grant.number, None)
        valid_until = float("-inf")
        ends_by = float("-inf")
        if pending is not None:
            valid_until = pending.sent_at + self.rules.lifetime_ms
            ends_by = pending.ends_at
            pool.grant_wait_ms += GRANT_WAIT_EWMA_WEIGHT * (
                now - pending.sent_at - pool.grant_wait_ms
            )
        held = Held(
            grant.permit,
            pool.view.pool,
            grant.upstream,
            grant.cold,
            valid_until,
            ends_by,
            grant.single_use,
        )
        if grant.pressed:
            pool.note_pressure(grant.queued_ms, now)
        if not self._is_usable(held, now):
            returned = Return(held.pool, held.number, held.upstream)
            return [
                pool.to_grantor(returned),
                *self._balance_asks(now),
            ]
        return self._use_or_keep(pool, held, now)

    def _back_off(
        self, pool: PoolState, upstream: str, now: float
    ) -> list[Effect]:
        """Return the idle permits of an upstream that cannot be reached.

        The grantor also learns of the failure and pauses its grants. The
        backoff here is for floor permits, which are used while there is no
        grantor.
        """
        self.floor_use.record_unreachable(upstream, now)
        return [*pool.return_idle(upstream)]

    def _on_revoke(self, pool: PoolState, revoke: Revoke) -> list[Effect]:
        """Return an upstream's idle permits and void those in use."""
        for request, busy in self.busy.items():
            if busy.held.upstream == revoke.upstream:
                voided = replace(busy.held, valid_until=float("-inf"))
                self.busy[request] = replace(busy, held=voided)
        return [*pool.return_idle(revoke.upstream)]

    def _on_renewed(self, pool: PoolState, renewed: Renewed) -> None:
        """Extend the renewed permits from the time the renewal was sent."""
        sent_at = pool.renewals.pop(renewed.serial, None)
        if sent_at is None:
            return
        until = sent_at + self.rules.lifetime_ms
        permit_numbers = set(renewed.permits)
        pool.idle = [
            replace(i, held=self._extended(i.held, permit_numbers, until))
            for i in pool.idle
        ]
        for request, busy in self.busy.items():
            if busy.held.number in permit_numbers:
                extended = self._extended(busy.held, permit_numbers, until)
                self.busy[request] = replace(busy, held=extended)

    @staticmethod
    def _extended(held: Held, permit_numbers: set[int], until: float) -> Held:
        """Return a permit with its new end of validity.

        Permits that cannot be reused, and revoked ones, are not extended.
        """
        if held.number not in permit_numbers or not held.reusable:
            return held
        if held.valid_until == float("-inf"):
            return held
        return replace(held, valid_until=max(held.valid_until, until))

    # Use of permits

    def _use_or_keep(
        self, pool: PoolState, held: Held, now: float
    ) -> list[Effect]:
        """Start the oldest matching request, or keep or return the permit.

        A permit without a matching request is returned if it cannot be
        reused or the pool is under pressure; else it is kept as idle.
        """
        queued = self._oldest_match(held)
        if queued is not None:
            del self.waiting[queued.wanted.request]
            self._record_start(now)
            start = self._start(queued.wanted, held)
            return [start, *self._balance_asks(now)]
        if not held.reusable or pool.is_under_pressure(now):
            return [pool.return_unused(held)]
        pool.idle.append(IdlePermit(held, now))
        return []

    def _oldest_match(self, held: Held) -> QueuedRequest | None:
        """Return the oldest request that may use a permit.

        A permit for a cold upstream only fits a request that ends by the
        deadline the permit was asked for.
        """
        for queued in self.waiting.values():
            wanted = queued.wanted
            if held.upstream in wanted.avoid:
                continue
            if held.cold and wanted.ends_at > held.ends_by:
                continue
            return queued
        return None

    def _reuse_or_return(
        self, pool: PoolState, busy: BusyPermit, returned: Return, now: float
    ) -> list[Effect]:
        """Reuse, keep or return the permit of a finished request.

        A permit is returned if its request was not completed, its upstream
        is cold or limits its request rate, the permit is void, or older asks
        are queued at the grantor.
        """
        held = busy.held
        names_limit = (
            returned.limit is not None and returned.limit.per_s is not None
        )
        reusable = (
            returned.verdict is Verdict.GOOD
            and not busy.is_floor
            and held.reusable
            and not names_limit
            and self._is_usable(held, now)
        )
        if not reusable:
            if pool.view.grantor is None:
                return []
            return [pool.to_grantor(returned)]
        if pool.is_under_pressure(now) and not self._has_oldest_request(
            pool, held
        ):
            return [pool.to_grantor(returned)]
        effects = self._use_or_keep(pool, held, now)
        was_returned = any(
            isinstance(e, ToGrantor) and isinstance(e.message, Return)
            for e in effects
        )
        if was_returned:
            return [pool.to_grantor(returned)]
        return effects + self._report_result(pool, returned, now)

    def _has_oldest_request(self, pool: PoolState, held: Held) -> bool:
        """Return whether a request here is older than all queued asks."""
        queued = self._oldest_match(held)
        return (
            queued is not None
            and queued.queued_at <= pool.oldest_ask_queued_at
        )

    def _report_result(
        self, pool: PoolState, returned: Return, now: float
    ) -> list[Effect]:
        """Report a result to the grantor without returning the permit.

        Reports on an upstream are REPORT_INTERVAL_MS or more apart; permit
        number 0 tells the grantor that no slot becomes free.
        """
        last = self.reported_at.get(returned.upstream, float("-inf"))
        if now - last < REPORT_INTERVAL_MS:
            return []
        self.reported_at[returned.upstream] = now
        return [pool.to_grantor(replace(returned, permit=0))]

    def _take_idle(self, wanted: Wanted, now: float) -> Held | None:
        """Remove and return the idle permit with the least expected time.

        A farther pool is skipped while its extra round trip exceeds the wait
        for a grant of the nearest pool.

        Returns:
            None if no idle permit is usable for the request.
        """
        chosen: tuple[float, PoolState, IdlePermit] | None = None
        nearest = next(iter(self.pools.values()))
        for pool in self.pools.values():
            extra_ms = pool.view.round_trip_ms - nearest.view.round_trip_ms
            if extra_ms > nearest.grant_wait_ms and nearest.can_ask:
                continue
            for idle in pool.idle:
                if idle.held.upstream in wanted.avoid:
                    continue
                if not self._is_usable(idle.held, now):
                    continue
                expected_ms = self._expected_ms(pool, idle.held.upstream)
                if chosen is None or expected_ms < chosen[0]:
                    chosen = (expected_ms, pool, idle)
        if chosen is None:
            return None
        chosen[1].idle.remove(chosen[2])
        return chosen[2].held

    def _expected_ms(self, pool: PoolState, upstream: str) -> float:
        """Estimate the time of a request from round trip and latency."""
        own_in_flight = sum(
            b.held.upstream == upstream for b in self.busy.values()
        )
        load_factor = 1.0 + own_in_flight / self.config.slots
        latency_ms = self.latency_ms.get(upstream, 0.0)
        return pool.view.round_trip_ms + latency_ms * load_factor

    def _start_queued(self, now: float) -> list[Effect]:
        """Start queued requests on idle and floor permits; ask for more."""
        effects: list[Effect] = []
        for queued in list(self.waiting.values()):
            held = self._take_idle(queued.wanted, now)
            if held is None:
                break
            del self.waiting[queued.wanted.request]
            self._record_start(now)
            effects.append(self._start(queued.wanted, held))
        effects.extend(self._start_on_floors(now))
        return effects + self._balance_asks(now)

    def _start_on_floors(self, now: float) -> list[Effect]:
        """Start requests on floor upstreams of pools without a grantor."""
        if not self.waiting:
            return []
        effects: list[Effect] = []
        for pool in self.pools.values():
            if pool.view.grantor is not None or not pool.view.is_open:
                continue
            for upstream in pool.view.floor:
                if self.floor_use.is_paused(upstream, now):
                    continue
                effects.extend(self._start_on_floor(pool, upstream, now))
        return effects

    def _start_on_floor(
        self, pool: PoolState, upstream: str, now: float
    ) -> list[Effect]:
        """Start the oldest matching request; one at a time per upstream."""
        if any(b.held.upstream == upstream for b in self.busy.values()):
            return []
        number = next(self.numbers)
        forever = float("inf")
        held = Held(number, pool.view.pool, upstream, False, forever, forever)
        queued = self._oldest_match(held)
        if queued is None or not self.floor_use.take(upstream, now):
            return []
        del self.waiting[queued.wanted.request]
        return [self._start(queued.wanted, held, is_floor=True)]

    def _start(
        self, wanted: Wanted, held: Held, is_floor: bool = False
    ) -> Start:
        self.busy[wanted.request] = BusyPermit(held, wanted.ends_at, is_floor)
        return Start(wanted.request, held)

    # Maintenance of permits

    def _maintain(self, pool: PoolState, now: float) -> list[Effect]:
        """Return permits that were idle too long and renew the others.

        Runs RENEWALS_PER_LIFETIME times per permit lifetime.
        """
        lifetime = self.rules.lifetime_ms
        if now - pool.last_maintenance_at < lifetime / RENEWALS_PER_LIFETIME:
            return []
        pool.last_maintenance_at = now
        effects: list[Effect] = [
            *self.asks.replace_stale(pool, self.waiting.values(), now)
        ]
        pool.renewals = {
            s: t for s, t in pool.renewals.items() if now - t < lifetime
        }
        if pool.view.grantor is None:
            pool.idle.clear()
            return []
        if not pool.registered:
            effects.append(self._registration(pool, now))
        kept: list[IdlePermit] = []
        for idle in pool.idle:
            if not self._is_usable(idle.held, now):
                continue
            if now - idle.idle_since > MAX_IDLE_MS:
                effects.append(pool.return_unused(idle.held))
                continue
            kept.append(idle)
        pool.idle = kept
        permit_numbers = [i.held.number for i in kept]
        permit_numbers += [
            b.held.number
            for b in self.busy.values()
            if b.held.pool == pool.view.pool
        ]
        if permit_numbers:
            number = next(self.numbers)
            pool.renewals[number] = now
            renew = Renew(pool.view.pool, number, tuple(permit_numbers))
            effects.append(pool.to_grantor(renew))
        return effects

    def _is_usable(self, held: Held, now: float) -> bool:
        """Return whether a request may start with a permit now."""
        pool = self.pools.get(held.pool)
        if pool is None or not pool.view.is_open:
            return False
        return now < held.valid_until and (
            held.upstream in pool.view.upstreams
        )

    def _balance_asks(self, now: float) -> list[Effect]:
        """Send or cancel asks until each pool has the needed number."""
        return [
            *self.asks.balance(self.pools.values(), self.waiting.values(), now)
        ]

    def _refuse_expired(self, now: float) -> list[Effect]:
        """Refuse queued requests whose deadline has passed."""
        if now - self.deadlines_checked_at < DEADLINE_CHECK_INTERVAL_MS:
            return []
        self.deadlines_checked_at = now
        expired = [
            r for r, w in self.waiting.items() if now >= w.wanted.ends_at
        ]
        for request in expired:
            del self.waiting[request]
        return [Refuse(request, Refusal.DEADLINE) for request in expired]

    def _expected_wait_ms(self) -> float:
        """Estimate how long the queue takes to empty at its recent rate."""
        return self.start_interval_ms * len(self.waiting)

    def _record_start(self, now: float) -> None:
        """Update the mean interval between starts of queued requests."""
        interval_ms = now - self.last_start_at
        self.last_start_at = now
        self.start_interval_ms += START_INTERVAL_EWMA_WEIGHT * (
            interval_ms - self.start_interval_ms
        )

    def _record_latency(self, upstream: str, served_ms: float) -> None:
        previous = self.latency_ms.get(upstream, served_ms)
        self.latency_ms[upstream] = previous + LATENCY_EWMA_WEIGHT * (
            served_ms - previous
        )
