"""Asks of a permit holder: how many are pending at which pool.

The load: a queue of requests that grows and shrinks in milliseconds, while
the nearest pool may have no free slot and farther ones have.
"""

from collections.abc import Collection
from collections.abc import Iterator
from itertools import islice

from wigeongw.decisions.holder_state import PendingAsk
from wigeongw.decisions.holder_state import PoolState
from wigeongw.decisions.holder_state import QueuedRequest
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import ToGrantor
from wigeongw.settings.schema import PermitSettings

# Per pool.
MAX_PENDING_ASKS = 32


class PermitAsks:
    """Sends, replaces and cancels the asks of one holder.

    Attributes:
        rules: permit settings.
        numbers: numbers of new asks.
    """

    def __init__(self, rules: PermitSettings, numbers: Iterator[int]) -> None:
        self.rules = rules
        self.numbers = numbers

    def balance(
        self,
        pools: Collection[PoolState],
        waiting: Collection[QueuedRequest],
        now: float,
    ) -> list[ToGrantor]:
        """Send or cancel asks until each pool has the needed number.

        Surplus asks are cancelled, the newest first.

        Args:
            pools: the pools of the service, nearest first.
            waiting: the queued requests, oldest first.
            now: monotonic milliseconds.
        """
        eligible = [pool for pool in pools if pool.can_ask]
        messages: list[ToGrantor] = []
        for pool in eligible:
            needed = self._needed(pool, eligible[0], waiting, now)
            while len(pool.asks) > needed:
                number, _ = pool.asks.popitem()
                cancel = Cancel(pool.view.pool, number)
                messages.append(pool.to_grantor(cancel))
            if len(pool.asks) < needed:
                without_ask = islice(waiting, len(pool.asks), needed)
                messages.extend(
                    [
                        self._new_ask(pool, queued, now)
                        for queued in without_ask
                    ]
                )
        return messages

    def replace_stale(
        self, pool: PoolState, waiting: Collection[QueuedRequest], now: float
    ) -> list[ToGrantor]:
        """Replace asks older than half a lifetime.

        A grant is valid for one lifetime from its ask, so a grant for a
        stale ask would be void, or nearly so. The new ask keeps the queue
        position of the stale one.
        """
        if pool.view.grantor is None:
            return []
        max_age_ms = self.rules.lifetime_ms / 2
        stale = [
            n for n, a in pool.asks.items() if now - a.sent_at >= max_age_ms
        ]
        for number in stale:
            del pool.asks[number]
        return [
            self._new_ask(pool, queued, now, replaces=number)
            for number, queued in zip(stale, waiting, strict=False)
        ]

    def _needed(
        self,
        pool: PoolState,
        nearest: PoolState,
        waiting: Collection[QueuedRequest],
        now: float,
    ) -> int:
        """Return how many asks should be pending at a pool.

        The nearest pool gets an ask for each queued request. A farther pool
        gets the same number if the nearest pool is under pressure and its
        grants take longer than the extra round trip; else it gets an ask for
        each request that has waited spill_ms longer than the extra round
        trip. The number is at most MAX_PENDING_ASKS.
        """
        limit = min(len(waiting), MAX_PENDING_ASKS)
        if pool is nearest:
            return limit
        extra_ms = pool.view.round_trip_ms - nearest.view.round_trip_ms
        if (
            nearest.is_under_pressure(now)
            and nearest.grant_wait_ms >= extra_ms
        ):
            return limit
        queued_before = now - self.rules.spill_ms - extra_ms
        oldest = islice(waiting, limit)
        return sum(1 for w in oldest if w.queued_at <= queued_before)

    def _new_ask(
        self,
        pool: PoolState,
        queued: QueuedRequest,
        now: float,
        replaces: int = 0,
    ) -> ToGrantor:
        number = next(self.numbers)
        wanted = queued.wanted
        pool.asks[number] = PendingAsk(now, wanted.ends_at)
        ask = Ask(
            pool.view.pool,
            number,
            wanted.ends_at - now,
            wanted.avoid,
            replaces,
        )
        return pool.to_grantor(ask)
