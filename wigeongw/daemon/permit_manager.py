"""Runs the holders and grantors of permits on one entry host.

There is one holder for each service, and one grantor for each pool whose
permits this entry host grants. All methods run in the event loop without
blocking; only ``acquire`` waits, for a permit.
"""

import asyncio
from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence
import random

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.errors import WigeongwError
from wigeongw.core.identifiers import pool_service
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import Upstream
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.pool_grantors import INCARNATION_BITS
from wigeongw.daemon.pool_grantors import PoolGrantors
from wigeongw.decisions import site_state as sites
from wigeongw.decisions import strategies
from wigeongw.decisions import trace
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Refuse
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import SharingStrategy
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted
from wigeongw.decisions.site_state import SiteState
from wigeongw.ports.peers import Peers
from wigeongw.settings.schema import ServiceSettings

BUSY_TICK_INTERVAL_MS = 2.0
IDLE_TICK_INTERVAL_MS = 20.0


class NotAdmittedError(WigeongwError):
    """A request was not admitted; no part of it was sent to an upstream.

    Attributes:
        reason: why the request was not admitted.
    """

    def __init__(self, reason: Refusal) -> None:
        super().__init__(reason.value)
        self.reason = reason


class PermitManager:
    """Owns the holders and grantors of one entry host.

    Attributes:
        write_trace: called with each line of the decision trace; None when no
            trace is written.
        holders: holder of each service.
        configs: configuration that each holder was built with.
        grantors: grantors of the pools that this entry host grants.
        pending: future of each request that waits for a permit.
        upstreams: listed upstreams by name.
        holders_by_request: holder that each started request got its permit
            from.
        requeued: requests of holders that were rebuilt, by service, to be
            passed to the new holder.
        effect_queue: effects that have not been applied yet.
        is_applying: whether effects are being applied; effects that follow
            from them are appended to the queue.
    """

    def __init__(
        self,
        site: SiteState,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        decision_log: DecisionLog,
        metrics: Metrics,
        write_trace: trace.WriteLine | None = None,
    ) -> None:
        self.write_trace = write_trace
        self.site = site
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.decision_log = decision_log
        self.metrics = metrics
        self.holders: dict[str, SharingStrategy] = {}
        self.configs: dict[str, SharingConfig] = {}
        self.grantors = PoolGrantors(rng, decision_log, write_trace)
        self.pending: dict[str, asyncio.Future[Held]] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.holders_by_request: dict[str, SharingStrategy] = {}
        self.requeued: dict[str, list[Wanted]] = {}
        self.effect_queue: deque[Effect | ToHolder] = deque()
        self.is_applying = False

    async def acquire(self, service: str, wanted: Wanted) -> Held:
        """Wait for a permit to send a request.

        Returns:
            The permit; ``release`` must be called with the same request.

        Raises:
            NotAdmittedError: when no permit was available in time.
        """
        holder = self.holders.get(service)
        if holder is None:
            raise NotAdmittedError(Refusal.NO_UPSTREAM)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Held] = loop.create_future()
        self.pending[wanted.request] = future
        self._apply(holder.want(wanted, self.clock.now()))
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(service, wanted.request, future)
            raise
        finally:
            self.pending.pop(wanted.request, None)

    def release(
        self,
        request: str,
        verdict: Verdict,
        served_ms: float = 0.0,
        start: str = "",
        limit: LimitReport | None = None,
    ) -> None:
        """Release the permit of a request and report the result.

        Args:
            request: request that the permit was acquired for.
            verdict: result of the exchange with the upstream.
            served_ms: time to the response head; 0 when none arrived.
            start: start identity that the upstream reported; empty when
                unknown.
            limit: what the response said about a rate limit; None without a
                response.
        """
        holder = self.holders_by_request.pop(request, None)
        if holder is None:
            return
        now = self.clock.now()
        self._apply(
            holder.done(request, verdict, served_ms, start, now, limit)
        )

    def set_site(self, site: SiteState) -> None:
        """Update holders and grantors to a new state of the site.

        Holders whose configuration changed are rebuilt and keep the requests
        that wait. Holders of services that no longer exist refuse theirs.
        """
        self.site = site
        if site.settings is None:
            return
        self.upstreams = {
            upstream.name: upstream for upstream in site.listing.upstreams
        }
        now = self.clock.now()
        effects: list[Effect | ToHolder] = []
        grantors_by_pool = sites.grantors(site, now)
        effects.extend(
            self.grantors.update(site, site.settings, grantors_by_pool, now)
        )
        for service, settings in site.settings.services.items():
            holder = self._current_holder(service, settings)
            pool_views = sites.service_views(site, service, grantors_by_pool)
            effects.extend(holder.set_view(pool_views, now))
            for wanted in self.requeued.pop(service, ()):
                effects.extend(holder.want(wanted, now))
        for service in [
            service
            for service in self.holders
            if service not in site.settings.services
        ]:
            waiting = self.holders.pop(service).give_up_line()
            effects.extend(
                Refuse(wanted.request, Refusal.NO_UPSTREAM)
                for wanted in waiting
            )
        self._apply(effects)

    def on_holder_messages(
        self, host: str, messages: Sequence[HolderMessage]
    ) -> None:
        """Pass messages of a holder on another entry host to the grantors."""
        now = self.clock.now()
        effects: list[ToHolder] = []
        for message in messages:
            effects.extend(
                self.grantors.deliver(self.site, host, message, now)
            )
        self._apply(effects)

    def on_grantor_messages(
        self, host: str, messages: Sequence[GrantorMessage]
    ) -> None:
        """Pass messages of a grantor to the holders."""
        now = self.clock.now()
        effects: list[Effect] = []
        for message in messages:
            holder = self.holders.get(pool_service(message.pool))
            if holder is not None:
                effects.extend(holder.heard(host, message, now))
        self._apply(effects)

    def on_holder_disconnected(self, host: str) -> None:
        """Tell all grantors that the stream to a holder was closed."""
        self.grantors.lost(host)

    def on_load_report(self, pool: str, upstream: str, start: str) -> None:
        """Pass the start identity from a load report to the grantor."""
        now = self.clock.now()
        self._apply(
            self.grantors.measured(self.site, pool, upstream, start, now)
        )

    def upstream_views(self) -> tuple[UpstreamView, ...]:
        """Return the state of all upstreams whose permits are granted here."""
        return self.grantors.views()

    async def run(self) -> None:
        """Process timers until cancelled.

        The interval is shorter while any request or ask is queued.
        """
        while True:
            self.tick()
            has_waiting = any(
                holder.waiting_count() for holder in self.holders.values()
            )
            interval_ms = (
                BUSY_TICK_INTERVAL_MS
                if has_waiting or self.grantors.has_queued()
                else IDLE_TICK_INTERVAL_MS
            )
            await asyncio.sleep(seconds(interval_ms))

    def tick(self) -> None:
        """Process the timers of all holders and grantors once."""
        now = self.clock.now()
        effects: list[Effect | ToHolder] = [
            *self.grantors.tick(self.site, now)
        ]
        for holder in self.holders.values():
            effects.extend(holder.tick(now))
        self._apply(effects)

    def _apply(self, effects: Iterable[Effect | ToHolder]) -> None:
        """Apply effects, and the effects that follow from them, in order."""
        self.effect_queue.extend(effects)
        if self.is_applying:
            return
        self.is_applying = True
        try:
            while self.effect_queue:
                self._apply_effect(self.effect_queue.popleft())
        finally:
            self.is_applying = False

    def _apply_effect(self, effect: Effect | ToHolder) -> None:
        if isinstance(effect, Start):
            self._start(effect)
        elif isinstance(effect, Refuse):
            self._refuse(effect)
        elif isinstance(effect, ToGrantor):
            if effect.host == self.site.me.name:
                now = self.clock.now()
                self.effect_queue.extend(
                    self.grantors.deliver(
                        self.site, effect.host, effect.message, now
                    )
                )
            else:
                self.peers.send_to_grantor(effect.host, effect.message)
        elif effect.host == self.site.me.name:
            self.on_grantor_messages(effect.host, (effect.message,))
        else:
            self.peers.send_to_holder(effect.host, effect.message)

    def _start(self, start: Start) -> None:
        service = pool_service(start.held.pool)
        self.holders_by_request[start.request] = self.holders[service]
        future = self.pending.get(start.request)
        if future is None or future.done():
            self.release(start.request, Verdict.UNUSED)
            return
        future.set_result(start.held)

    def _refuse(self, refuse: Refuse) -> None:
        future = self.pending.get(refuse.request)
        if future is not None and not future.done():
            future.set_exception(NotAdmittedError(refuse.reason))

    def _abandon(
        self, service: str, request: str, future: asyncio.Future[Held]
    ) -> None:
        """Release or withdraw a request whose ``acquire`` was cancelled."""
        holder = self.holders.get(service)
        if holder is None:
            return
        is_resolved = future.done() and not future.cancelled()
        if is_resolved and future.exception() is None:
            self.release(request, Verdict.UNUSED)
            return
        self._apply(holder.abandon(request, self.clock.now()))

    def _current_holder(
        self, service: str, settings: ServiceSettings
    ) -> SharingStrategy:
        """Return the holder of a service, rebuilt if its settings changed."""
        assert self.site.settings is not None
        config = SharingConfig(
            self.site.settings.permits,
            settings.slots,
            settings.queue_most,
            self.rng.getrandbits(INCARNATION_BITS),
            self.rng,
        )
        current = self.configs.get(service)
        if service not in self.holders or not _is_same_config(current, config):
            if service in self.holders:
                self.requeued[service] = self.holders[service].give_up_line()
            self.configs[service] = config
            if self.write_trace is None:
                self.holders[service] = strategies.build(config)
            else:
                self.holders[service] = trace.traced_holder(
                    service, config, self.write_trace
                )
        return self.holders[service]


def _is_same_config(
    current: SharingConfig | None, config: SharingConfig
) -> bool:
    """Whether a holder built with the current config fits another config.

    The incarnation and the random generator may differ.
    """
    if current is None:
        return False
    return (
        current.rules == config.rules
        and current.slots == config.slots
        and current.queue_most == config.queue_most
    )
