"""Asks upstreams for their load, within the agreed budget.

Only the fenced grantor of a pool asks, and asks first where its knowledge is
oldest. What responses carry in band costs nothing and makes most calls
needless.
"""

import asyncio
from contextlib import suppress

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.records import Upstream
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.permit_desk import PermitDesk
from wigeongw.daemon.site_keeper import SiteKeeper
from wigeongw.decisions import measuring
from wigeongw.decisions import site as sites
from wigeongw.decisions.measuring import Spender
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import UpstreamClient

LOOK_EVERY_MS = 50.0
FRESH_MS = 500.0


class Measurer:
    """Owns the spenders of the pools that this entry host shares out."""

    def __init__(
        self,
        desk: PermitDesk,
        keeper: SiteKeeper,
        upstreams: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.desk = desk
        self.keeper = keeper
        self.upstreams = upstreams
        self.clock = clock
        self.metrics = metrics
        self.spenders: dict[str, Spender] = {}
        self.asking: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Measure for ever."""
        while True:
            await asyncio.sleep(seconds(LOOK_EVERY_MS))
            self._look()

    def _look(self) -> None:
        """Start the calls that are due and paid for."""
        site = self.desk.site
        if site.settings is None:
            return
        now = self.clock.now()
        shares = measuring.shares(site.settings)
        holds = sites.lease_holds(site, now)
        for pool, share in shares.items():
            if not sites.owns_fence(site, pool, holds):
                self.spenders.pop(pool, None)
                continue
            spender = self.spenders.get(pool)
            if spender is None:
                spender = self.spenders[pool] = Spender(now)
            spender.set_share(share, now)
            self._measure_pool(pool, spender, now)

    def _measure_pool(self, pool: str, spender: Spender, now: float) -> None:
        grantor = self.desk.grantors.get(pool)
        if grantor is None:
            return
        upstream = grantor.next_to_measure(now - FRESH_MS)
        if upstream is None:
            return
        most_bytes = spender.take(now)
        if not most_bytes:
            self.metrics.count("measuring_saved", pool)
            return
        grantor.asked(upstream.name, now)
        task = asyncio.create_task(self._ask(pool, upstream, most_bytes))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)

    async def _ask(
        self, pool: str, upstream: Upstream, most_bytes: int
    ) -> None:
        assert self.desk.site.settings is not None
        timeout_ms = self.desk.site.settings.measuring.timeout_ms
        self.metrics.count("measuring_calls", pool)
        with suppress(UpstreamError):
            report = await self.upstreams.report(
                upstream, most_bytes, timeout_ms
            )
            self.metrics.counters[("measuring_bytes", pool)] += report.size
            if report.leaving:
                self.keeper.note_leaving(upstream.name)
            self.desk.measured(pool, upstream.name, report.start)
