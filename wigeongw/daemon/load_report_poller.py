"""Polls upstreams for load reports, within the agreed budget.

A pool is polled only by the grantor that owns its fence, starting with the
upstream whose state is oldest. Upstreams also report their state in ordinary
responses at no cost, which makes most polls unnecessary.
"""

import asyncio
from contextlib import suppress

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import Upstream
from wigeongw.daemon.permit_manager import PermitManager
from wigeongw.daemon.site_tracker import SiteTracker
from wigeongw.decisions import load_report_budget
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.load_report_budget import CallLimiter
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import UpstreamClient

CHECK_INTERVAL_MS = 50.0
MAX_REPORT_AGE_MS = 500.0


class LoadReportPoller:
    """Polls the pools that this entry host is the grantor of.

    Attributes:
        call_limiters: rate limiter for load reports of each polled pool.
        poll_tasks: polls in progress.
    """

    def __init__(
        self,
        permit_manager: PermitManager,
        site_tracker: SiteTracker,
        upstream_client: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.permit_manager = permit_manager
        self.site_tracker = site_tracker
        self.upstream_client = upstream_client
        self.clock = clock
        self.metrics = metrics
        self.call_limiters: dict[str, CallLimiter] = {}
        self.poll_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll upstreams until cancelled."""
        while True:
            await asyncio.sleep(seconds(CHECK_INTERVAL_MS))
            self._poll_due_pools()

    def _poll_due_pools(self) -> None:
        """Start the polls that are due and within the budget."""
        site = self.permit_manager.site
        if site.settings is None:
            return
        now = self.clock.now()
        budgets = load_report_budget.pool_budgets(site.settings)
        are_fences_exclusive = sites.are_fences_exclusive(site, now)
        for pool, budget in budgets.items():
            if not sites.owns_fence(site, pool, are_fences_exclusive):
                self.call_limiters.pop(pool, None)
                continue
            limiter = self.call_limiters.get(pool)
            if limiter is None:
                limiter = CallLimiter(now, site.settings.measuring.timeout_ms)
                self.call_limiters[pool] = limiter
            limiter.set_budget(budget, now)
            self._poll_pool(pool, limiter, now)

    def _poll_pool(self, pool: str, limiter: CallLimiter, now: float) -> None:
        grantor = self.permit_manager.grantors.by_pool.get(pool)
        if grantor is None:
            return
        upstream = grantor.next_to_measure(now - MAX_REPORT_AGE_MS)
        if upstream is None:
            return
        max_bytes = limiter.take(now)
        if not max_bytes:
            self.metrics.count("measuring_saved", pool)
            return
        grantor.asked(upstream.name, now)
        task = asyncio.create_task(
            self._fetch_report(pool, upstream, max_bytes)
        )
        self.poll_tasks.add(task)
        task.add_done_callback(lambda _: limiter.end(self.clock.now()))
        task.add_done_callback(self.poll_tasks.discard)

    async def _fetch_report(
        self, pool: str, upstream: Upstream, max_bytes: int
    ) -> None:
        assert self.permit_manager.site.settings is not None
        timeout_ms = self.permit_manager.site.settings.measuring.timeout_ms
        self.metrics.count("measuring_calls", pool)
        with suppress(UpstreamError):
            report = await self.upstream_client.report(
                upstream, max_bytes, timeout_ms
            )
            self.metrics.counters[("measuring_bytes", pool)] += report.size
            tracker = self.site_tracker
            if report.leaving:
                tracker.on_upstream_leaving(upstream.name, report.start)
            else:
                tracker.on_upstream_serving(upstream.name, report.start)
            self.permit_manager.on_load_report(
                pool, upstream.name, report.start
            )
