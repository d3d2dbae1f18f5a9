"""Drives the decisions about permits: one holder a service, one grantor a
pool that this entry host shares out.

Everything here runs in the event loop without waiting; only a request waits,
for its permit.
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.errors import WigeongwError
from wigeongw.core.identity import pool_service
from wigeongw.core.identity import pool_zone
from wigeongw.core.records import Upstream
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.record import PLACE
from wigeongw.daemon.record import Record
from wigeongw.decisions import site as sites
from wigeongw.decisions import trace
from wigeongw.decisions import ways
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Refuse
from wigeongw.decisions.sharing import Sharing
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted
from wigeongw.decisions.site import Site
from wigeongw.ports.peers import Peers
from wigeongw.settings.model import ServiceSettings
from wigeongw.settings.model import Settings

INCARNATION_BITS = 30
BUSY_TICK_MS = 2.0
IDLE_TICK_MS = 20.0


class NotAdmittedError(WigeongwError):
    """A request was not given an upstream; nothing of it was sent."""

    def __init__(self, reason: Refusal) -> None:
        super().__init__(reason.value)
        self.reason = reason


class PermitDesk:
    """Owns the holders and grantors of one entry host."""

    def __init__(
        self,
        site: Site,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        record: Record,
        metrics: Metrics,
        write_trace: trace.Write | None = None,
    ) -> None:
        self.trace = write_trace
        self.site = site
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.record = record
        self.metrics = metrics
        self.holders: dict[str, Sharing] = {}
        self.configs: dict[str, SharingConfig] = {}
        self.grantors: dict[str, Grantor] = {}
        self.futures: dict[str, asyncio.Future[Held]] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.owners: dict[str, Sharing] = {}
        self.moved: dict[str, list[Wanted]] = {}
        self.work: deque[Effect | ToHolder] = deque()
        self.working = False

    # Requests

    async def acquire(self, service: str, wanted: Wanted) -> Held:
        """Wait for the right to send a request.

        Raises:
            NotAdmittedError: when there is no upstream in time.
        """
        holder = self.holders.get(service)
        if holder is None:
            raise NotAdmittedError(Refusal.NO_UPSTREAM)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Held] = loop.create_future()
        self.futures[wanted.request] = future
        self._do(holder.want(wanted, self.clock.now()))
        try:
            return await future
        except asyncio.CancelledError:
            self._give_up(service, wanted.request, future)
            raise
        finally:
            self.futures.pop(wanted.request, None)

    def release(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float = 0.0,
        start: str = "",
    ) -> None:
        """Give the permit of a request back with what was seen."""
        holder = self.owners.pop(request, None)
        if holder is None:
            return
        now = self.clock.now()
        self._do(holder.done(request, verdict, served_ms, start, now))

    # News

    def set_site(self, site: Site) -> None:
        """Take in what the entry host knows now."""
        self.site = site
        if site.settings is None:
            return
        self.upstreams = {u.name: u for u in site.listing.upstreams}
        now = self.clock.now()
        out: list[Effect | ToHolder] = []
        chosen = sites.grantors(site, now)
        self._place_grantors(chosen, now, out)
        for service, rules in site.settings.services.items():
            holder = self._holder(service, rules)
            views = sites.service_views(site, service, chosen)
            out.extend(holder.set_view(views, now))
            for wanted in self.moved.pop(service, ()):
                out.extend(holder.want(wanted, now))
        for service in [
            s for s in self.holders if s not in site.settings.services
        ]:
            line = self.holders.pop(service).give_up_line()
            out.extend(Refuse(w.request, Refusal.NO_UPSTREAM) for w in line)
        self._do(out)

    def on_holder(self, host: str, messages: Sequence[HolderMessage]) -> None:
        """Hear a holder."""
        out: list[ToHolder] = []
        for message in messages:
            out.extend(self._answer(host, message))
        self._do(out)

    def on_grantor(
        self, host: str, messages: Sequence[GrantorMessage]
    ) -> None:
        """Hear a grantor."""
        now = self.clock.now()
        out: list[Effect] = []
        for message in messages:
            holder = self.holders.get(pool_service(message.pool))
            if holder is not None:
                out.extend(holder.heard(host, message, now))
        self._do(out)

    def on_holder_lost(self, host: str) -> None:
        """Hear that a holder's stream broke."""
        for grantor in self.grantors.values():
            grantor.lost(host)

    def measured(self, pool: str, upstream: str, start: str) -> None:
        """Take in an upstream's own report."""
        grantor = self.grantors.get(pool)
        if grantor is not None:
            now = self.clock.now()
            self._do(grantor.measured(upstream, start, now))

    def views(self) -> tuple[UpstreamView, ...]:
        """Return the upstreams that this entry host is the grantor of."""
        return tuple(
            view for g in self.grantors.values() for view in g.views()
        )

    # Time

    async def run(self) -> None:
        """Do what is due by time, for ever."""
        while True:
            self.tick()
            busy = any(h.waiting_count() for h in self.holders.values())
            queued = any(g.queue for g in self.grantors.values())
            pause = BUSY_TICK_MS if busy or queued else IDLE_TICK_MS
            await asyncio.sleep(seconds(pause))

    def tick(self) -> None:
        """Do what is due by now."""
        now = self.clock.now()
        out: list[Effect | ToHolder] = []
        holds = sites.lease_holds(self.site, now)
        for pool, grantor in self.grantors.items():
            grantor.set_fenced(sites.owns_fence(self.site, pool, holds), now)
            out.extend(grantor.tick(now))
        for holder in self.holders.values():
            out.extend(holder.tick(now))
        self._do(out)

    # Inside

    def _do(self, effects: Iterable[Effect | ToHolder]) -> None:
        """Carry out effects, and what follows from them, in order."""
        self.work.extend(effects)
        if self.working:
            return
        self.working = True
        try:
            while self.work:
                self._carry_out(self.work.popleft())
        finally:
            self.working = False

    def _carry_out(self, effect: Effect | ToHolder) -> None:
        if isinstance(effect, Start):
            self._start(effect)
        elif isinstance(effect, Refuse):
            self._refuse(effect)
        elif isinstance(effect, ToGrantor):
            if effect.host == self.site.me.name:
                self.work.extend(self._answer(effect.host, effect.message))
            else:
                self.peers.to_grantor(effect.host, effect.message)
        elif effect.host == self.site.me.name:
            self.on_grantor(effect.host, (effect.message,))
        else:
            self.peers.to_holder(effect.host, effect.message)

    def _start(self, start: Start) -> None:
        service = pool_service(start.held.pool)
        self.owners[start.request] = self.holders[service]
        future = self.futures.get(start.request)
        if future is None or future.done():
            self.release(start.request, Verdict.UNUSED)
            return
        future.set_result(start.held)

    def _refuse(self, refuse: Refuse) -> None:
        future = self.futures.get(refuse.request)
        if future is not None and not future.done():
            future.set_exception(NotAdmittedError(refuse.reason))

    def _give_up(
        self, service: str, request: str, future: asyncio.Future[Held]
    ) -> None:
        """Undo an acquire whose caller went away."""
        holder = self.holders.get(service)
        if holder is None:
            return
        granted = future.done() and not future.cancelled()
        if granted and future.exception() is None:
            self.release(request, Verdict.UNUSED)
            return
        self._do(holder.abandon(request, self.clock.now()))

    def _answer(self, host: str, message: HolderMessage) -> list[ToHolder]:
        """Let the pool's grantor answer a holder; ignored when not here."""
        grantor = self.grantors.get(message.pool)
        if grantor is None:
            return []
        now = self.clock.now()
        if isinstance(message, Ask):
            return grantor.ask(host, message, now)
        if isinstance(message, Return):
            return grantor.take_back(host, message, now)
        if isinstance(message, Renew):
            return grantor.renew(host, message, now)
        if isinstance(message, Cancel):
            return grantor.cancel(host, message)
        assert isinstance(message, Register)
        return grantor.register(host, message, now)

    def _holder(self, service: str, rules: ServiceSettings) -> Sharing:
        """Return the service's holder, built anew when its rules changed."""
        assert self.site.settings is not None
        config = SharingConfig(
            self.site.settings.permits,
            rules.slots,
            rules.queue_most,
            self.rng.getrandbits(INCARNATION_BITS),
            self.rng,
        )
        known = self.configs.get(service)
        if service not in self.holders or not _same(known, config):
            if service in self.holders:
                self.moved[service] = self.holders[service].give_up_line()
            self.configs[service] = config
            if self.trace is None:
                self.holders[service] = ways.build(config)
            else:
                self.holders[service] = trace.traced_holder(
                    service, config, self.trace
                )
        return self.holders[service]

    def _place_grantors(
        self,
        chosen: Mapping[str, str | None],
        now: float,
        out: list[Effect | ToHolder],
    ) -> None:
        """Take up and give up pools as the site's state says."""
        site = self.site
        assert site.settings is not None
        mine = {p for p, host in chosen.items() if host == site.me.name}
        holds = sites.lease_holds(site, now)
        for pool in [p for p in self.grantors if p not in mine]:
            del self.grantors[pool]
            self._log_place(pool, "given-up")
        for pool in sorted(mine):
            if pool not in self.grantors:
                self.grantors[pool] = self._new_grantor(
                    pool, site.settings, now
                )
                self._log_place(pool, "taken-up")
            grantor = self.grantors[pool]
            grantor.set_rules(site.settings.permits, site.settings.cold_start)
            grantor.set_fenced(sites.owns_fence(site, pool, holds), now)
            out.extend(grantor.set_open(sites.is_open(site, pool), now))
            slots = site.settings.services[pool_service(pool)].slots
            upstreams = sites.upstreams_of(site, pool)
            out.extend(grantor.set_upstreams(upstreams, slots, now))

    def _new_grantor(
        self, pool: str, settings: Settings, now: float
    ) -> Grantor:
        incarnation = self.rng.getrandbits(INCARNATION_BITS)
        start = sites.takeover(self.site, pool, incarnation, now)
        rules, cold = settings.permits, settings.cold_start
        if self.trace is None:
            return Grantor(pool, rules, cold, start, now)
        made: Grantor = trace.traced_grantor(
            pool, rules, cold, start, now, self.trace
        )
        return made

    def _log_place(self, pool: str, reason: str) -> None:
        self.record.add(
            PLACE,
            pool,
            pool_service(pool),
            self.site.me.name,
            pool_zone(pool),
            self.site.revision,
            reason,
        )


def _same(known: SharingConfig | None, config: SharingConfig) -> bool:
    """Whether a holder built from one config serves for another."""
    if known is None:
        return False
    return (
        known.rules == config.rules
        and known.slots == config.slots
        and known.queue_most == config.queue_most
    )
