"""Sharing strategies that use only the local state of one entry host.

They serve as baselines for benchmarks and as a fallback in the settings. None
of them limits the load on an upstream during its cold start, or keeps the
rate limit that an upstream names.
"""

from collections.abc import Sequence

from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Refuse
from wigeongw.decisions.sharing import register_strategy
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted

NO_EXPIRY = float("inf")


class LocalStrategy:
    """Base class: starts every request at once on a chosen upstream.

    Attributes:
        pools_by_upstream: the pool of each upstream that takes requests.
        names: these upstreams, sorted.
        busy: upstream of each request in flight.
        in_flight: requests of this entry host in flight, by upstream.
    """

    def __init__(self, config: SharingConfig) -> None:
        self.config = config
        self.pools_by_upstream: dict[str, str] = {}
        self.names: list[str] = []
        self.busy: dict[str, str] = {}
        self.in_flight: dict[str, int] = {}

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Update the pools of the service, nearest first."""
        self.pools_by_upstream = {
            upstream: view.pool
            for view in pools
            if view.is_open
            for upstream in view.upstreams
        }
        self.names = sorted(self.pools_by_upstream)
        return []

    def choose(self, names: list[str]) -> str:
        """Choose one of the given upstreams, of which there is at least one.

        Raises:
            NotImplementedError: always, in this base class.
        """
        raise NotImplementedError

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Start the request at once, or refuse it if no upstream is left."""
        eligible = [n for n in self.names if n not in wanted.avoid]
        if not eligible:
            return [Refuse(wanted.request, Refusal.NO_UPSTREAM)]
        return [self.start(wanted, self.choose(eligible))]

    def start(self, wanted: Wanted, upstream: str) -> Start:
        """Count the request and return the effect that starts it."""
        self.busy[wanted.request] = upstream
        self.in_flight[upstream] = self.in_flight.get(upstream, 0) + 1
        pool = self.pools_by_upstream[upstream]
        held = Held(0, pool, upstream, False, NO_EXPIRY, NO_EXPIRY)
        return Start(wanted.request, held)

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Do nothing: no request is queued."""
        return []

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
        limit: LimitReport | None = None,
    ) -> list[Effect]:
        """Count down the upstream's requests in flight."""
        upstream = self.busy.pop(request, None)
        if upstream is not None:
            self.in_flight[upstream] -= 1
        return []

    def heard(
        self, host: str, message: GrantorMessage, now: float
    ) -> list[Effect]:
        """Ignore the message: no permits are used."""
        return []

    def tick(self, now: float) -> list[Effect]:
        """Do nothing: there is no periodic work."""
        return []

    def waiting_count(self) -> int:
        """Return 0: no request is queued."""
        return 0

    def give_up_line(self) -> list[Wanted]:
        """Return an empty list: no request is queued."""
        return []

    def own_in_flight(self, upstream: str) -> int:
        """Return how many requests of this entry host are in flight."""
        return self.in_flight.get(upstream, 0)


@register_strategy("round_robin")
class RoundRobin(LocalStrategy):
    """Chooses upstreams in round-robin order."""

    choices_made = 0

    def choose(self, names: list[str]) -> str:
        """Choose the next upstream in order."""
        self.choices_made += 1
        return names[self.choices_made % len(names)]


@register_strategy("least_in_flight")
class LeastInFlight(LocalStrategy):
    """Chooses the upstream with the fewest requests of this entry host."""

    def choose(self, names: list[str]) -> str:
        """Choose an upstream with the fewest requests; random on a tie."""
        return min(
            names,
            key=lambda n: (self.own_in_flight(n), self.config.rng.random()),
        )


@register_strategy("two_random")
class PowerOfTwoChoices(LocalStrategy):
    """Chooses the less loaded of two random upstreams."""

    def choose(self, names: list[str]) -> str:
        """Draw two upstreams and choose the one with fewer requests."""
        pair = self.config.rng.sample(names, min(2, len(names)))
        return min(pair, key=self.own_in_flight)


@register_strategy("fixed")
class FixedPartition(LocalStrategy):
    """Gives each entry host a fixed part of the slots and queues for it.

    Attributes:
        waiting: queued requests, oldest first.
        owned: upstreams that this entry host may use, one request each.
    """

    def __init__(self, config: SharingConfig) -> None:
        super().__init__(config)
        self.waiting: dict[str, Wanted] = {}
        self.owned: list[str] = []

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Update the pools and the upstreams that this host owns.

        Without a floor in any open pool, this host owns one upstream that is
        chosen by rendezvous hashing.
        """
        super().set_view(pools, now)
        own_floor = [u for v in pools if v.is_open for u in v.floor]
        fallback = rank_by_rendezvous(str(self.config.incarnation), self.names)
        self.owned = own_floor or fallback
        return []

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Start the request on an owned free slot, queue it or refuse it."""
        free = [n for n in self.owned if self.own_in_flight(n) < 1]
        if free:
            return [self.start(wanted, free[0])]
        if len(self.waiting) >= self.config.queue_most:
            return [Refuse(wanted.request, Refusal.QUEUE_FULL)]
        self.waiting[wanted.request] = wanted
        return []

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Remove a request from the queue, if it is queued."""
        self.waiting.pop(request, None)
        return []

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
        limit: LimitReport | None = None,
    ) -> list[Effect]:
        """Give the free slot to the oldest queued request."""
        super().done(request, verdict, served_ms, start, now)
        if not self.waiting:
            return []
        oldest = next(iter(self.waiting))
        return self.want(self.waiting.pop(oldest), now)

    def tick(self, now: float) -> list[Effect]:
        """Refuse queued requests whose deadline has passed."""
        expired = [r for r, w in self.waiting.items() if now >= w.ends_at]
        for request in expired:
            del self.waiting[request]
        return [Refuse(r, Refusal.DEADLINE) for r in expired]

    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return len(self.waiting)

    def give_up_line(self) -> list[Wanted]:
        """Empty the queue and return its requests, oldest first."""
        removed = list(self.waiting.values())
        self.waiting.clear()
        return removed
