"""Ways of sharing that use only what one entry host sees by itself.

They are baselines for the measurements and a way back in the settings; none
of them protects an upstream in its cold start.
"""

from collections.abc import Sequence

from wigeongw.core.identity import rendezvous
from wigeongw.decisions.messages import GrantorMessage
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

FOREVER = float("inf")


class LocalSharing:
    """Starts every request at once on an upstream it chooses by itself."""

    def __init__(self, config: SharingConfig) -> None:
        self.config = config
        self.pool_of: dict[str, str] = {}
        self.names: list[str] = []
        self.busy: dict[str, str] = {}
        self.in_flight: dict[str, int] = {}

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Take in the pools of the service, nearest first."""
        self.pool_of = {
            upstream: view.pool
            for view in pools
            if view.is_open
            for upstream in view.upstreams
        }
        self.names = sorted(self.pool_of)
        return []

    def choose(self, names: list[str]) -> str:
        """Choose one of some upstreams; never called with none."""
        raise NotImplementedError

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Start the request at once."""
        able = [n for n in self.names if n not in wanted.avoid]
        if not able:
            return [Refuse(wanted.request, Refusal.NO_UPSTREAM)]
        return [self.start(wanted, self.choose(able))]

    def start(self, wanted: Wanted, upstream: str) -> Start:
        """Count the request and send it to an upstream."""
        self.busy[wanted.request] = upstream
        self.in_flight[upstream] = self.in_flight.get(upstream, 0) + 1
        pool = self.pool_of[upstream]
        held = Held(0, pool, upstream, False, FOREVER, FOREVER)
        return Start(wanted.request, held)

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Do nothing: no request waits."""
        return []

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
    ) -> list[Effect]:
        """Take in that a started request is over."""
        upstream = self.busy.pop(request, None)
        if upstream is not None:
            self.in_flight[upstream] -= 1
        return []

    def heard(
        self, host: str, message: GrantorMessage, now: float
    ) -> list[Effect]:
        """Ignore grantors."""
        return []

    def tick(self, now: float) -> list[Effect]:
        """Do nothing by time."""
        return []

    def waiting_count(self) -> int:
        """Return that none wait."""
        return 0

    def give_up_line(self) -> list[Wanted]:
        """Return that none wait."""
        return []

    def count(self, upstream: str) -> int:
        """Return this entry host's own requests in flight."""
        return self.in_flight.get(upstream, 0)


@sharing("round_robin")
class RoundRobin(LocalSharing):
    """Takes the upstreams in turn."""

    turn = 0

    def choose(self, names: list[str]) -> str:
        """Choose the next in turn."""
        self.turn += 1
        return names[self.turn % len(names)]


@sharing("least_in_flight")
class LeastInFlight(LocalSharing):
    """Takes the upstream with the fewest requests of this entry host."""

    def choose(self, names: list[str]) -> str:
        """Choose the one with the fewest, any of equals."""
        return min(
            names, key=lambda n: (self.count(n), self.config.rng.random())
        )


@sharing("two_random")
class TwoRandom(LocalSharing):
    """Takes the better of two at random."""

    def choose(self, names: list[str]) -> str:
        """Choose two at random, then the one with fewer requests."""
        pair = self.config.rng.sample(names, min(2, len(names)))
        return min(pair, key=self.count)


@sharing("fixed")
class FixedShares(LocalSharing):
    """Each entry host owns a fixed part of all slots and queues for it."""

    def __init__(self, config: SharingConfig) -> None:
        super().__init__(config)
        self.waiting: dict[str, Wanted] = {}
        self.mine: list[str] = []

    def set_view(self, pools: Sequence[PoolView], now: float) -> list[Effect]:
        """Take in the pools and work out the upstreams that are ours."""
        super().set_view(pools, now)
        own = [u for v in pools if v.is_open for u in v.floor]
        first = rendezvous(str(self.config.incarnation), self.names)
        self.mine = own or first
        return []

    def want(self, wanted: Wanted, now: float) -> list[Effect]:
        """Start on an own free slot, or wait for one."""
        free = [n for n in self.mine if self.count(n) < 1]
        if free:
            return [self.start(wanted, free[0])]
        if len(self.waiting) >= self.config.queue_most:
            return [Refuse(wanted.request, Refusal.QUEUE_FULL)]
        self.waiting[wanted.request] = wanted
        return []

    def abandon(self, request: str, now: float) -> list[Effect]:
        """Forget a request that waits."""
        self.waiting.pop(request, None)
        return []

    def done(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float,
        start: str,
        now: float,
    ) -> list[Effect]:
        """Give the slot to the request that waited longest."""
        super().done(request, verdict, served_ms, start, now)
        if not self.waiting:
            return []
        first = next(iter(self.waiting))
        return self.want(self.waiting.pop(first), now)

    def tick(self, now: float) -> list[Effect]:
        """Refuse what is too late."""
        late = [r for r, w in self.waiting.items() if now >= w.ends_at]
        for request in late:
            del self.waiting[request]
        return [Refuse(r, Refusal.DEADLINE) for r in late]

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return len(self.waiting)

    def give_up_line(self) -> list[Wanted]:
        """Let go of the requests that wait, oldest first."""
        line = list(self.waiting.values())
        self.waiting.clear()
        return line
