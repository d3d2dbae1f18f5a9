"""Keeps the host's view of the site in sync with the store."""

import asyncio

from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import seconds
from wigeongw.decisions import relay_selection
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import UNKNOWN_ERA

# Pause between two watches, so that several changes cost one call to the
# store. It uses about half of the shortest time within which a change must be
# known to the hosts.
WATCH_PAUSE_MS = 1_000.0
# How long a watch waits for changes; a connection that hangs is detected
# shortly after.
WATCH_TIMEOUT_MS = 1_500.0
# Pause and timeout of a relay, which watches the store for other hosts. They
# are shorter because changes take one more hop from a relay, and so that the
# other hosts detect sooner that it lost the store.
RELAY_WATCH_PAUSE_MS = 450.0
RELAY_WATCH_TIMEOUT_MS = 450.0
# The watch right after a full read returns at once.
CATCH_UP_WATCH_TIMEOUT_MS = 1.0
MIN_RETRY_BACKOFF_MS = 100.0
MAX_RETRY_BACKOFF_MS = 300.0
PENDING_REMOVAL_CHECK_INTERVAL_MS = 200.0
# Time limit for a full read with all its pages.
FULL_READ_TIMEOUT_MS = 3_000.0
UNREACHABLE_WATCH_TIMEOUT_MS = 1.0


class Follower:
    """Reads the whole store once, then watches it for changes.

    Attributes:
        unreachable_at: when the store was last known to be unreachable, on the
            monotonic clock.
        store_unreachable: whether the last call to the store failed.
        has_read_store: whether the whole store was read and can be watched
            from there.
        needs_fresh_read: whether the next full read must not be stale.
        era: the era that the store named last.
    """

    def __init__(
        self, state: GatewayState, catalog: Catalog, pool: UpstreamPool
    ) -> None:
        self.state = state
        self.catalog = catalog
        self.pool = pool
        self.unreachable_at = float("-inf")
        self.store_unreachable = False
        self.has_read_store = False
        self.needs_fresh_read = False
        self.era = UNKNOWN_ERA

    async def run(self) -> None:
        """Read and watch the store until cancelled, retrying with backoff."""
        backoff_ms = MIN_RETRY_BACKOFF_MS
        while True:
            try:
                await self._read_or_watch()
                backoff_ms = MIN_RETRY_BACKOFF_MS
            except HistoryLostError as error:
                # A stale read might return a position whose history is already
                # compacted.
                self.has_read_store = False
                self.needs_fresh_read = True
                self.state.log.add(
                    "store",
                    event="history_lost",
                    after=self.state.view.position,
                    era=error.era,
                )
            except (CatalogError, TimeoutError) as error:
                self.record_store_failure(repr(error))
                jitter = 0.5 + self.state.rng.random()
                await asyncio.sleep(seconds(backoff_ms * jitter))
                backoff_ms = min(MAX_RETRY_BACKOFF_MS, 2.0 * backoff_ms)

    async def run_settling(self) -> None:
        """Apply removals whose grace period has ended, until cancelled.

        Removals that appear just after the store was unreachable are delayed.
        """
        while True:
            await asyncio.sleep(seconds(PENDING_REMOVAL_CHECK_INTERVAL_MS))
            if self.state.view.pending_removals:
                now = self.state.clock.now()
                self._install_view(
                    site_view.apply_due_removals(self.state.view, now)
                )

    def adopt_peer_batch(self, batch: ChangeBatch) -> None:
        """Adopt another host's changes until the store has been read.

        The batch may contain entries whose removal that host has not
        applied, so the store is then read without staleness as soon as it
        answers. Readings older than the current view are ignored.
        """
        if self.has_read_store or batch.position < self.state.view.position:
            return
        now = self.state.clock.now()
        view = site_view.apply_snapshot(
            self.state.view, batch.changes, now, self.unreachable_at
        )
        position = batch.position
        if position > self.state.view.position:
            self.state.log.add(
                "view",
                event="borrowed",
                position=position,
                age_ms=batch.age_ms,
            )
        self.needs_fresh_read = True
        self._install_view(_with_position(view, position, now - batch.age_ms))

    def record_store_failure(self, cause: str) -> None:
        """Record that a call to the store failed."""
        self.unreachable_at = self.state.clock.now()
        if not self.store_unreachable:
            self.store_unreachable = True
            self.state.log.add("store", event="lost", cause=cause)
        self.state.metrics.count("store_failures_total")

    async def _read_all(self) -> None:
        """Read everything, possibly stale, and then the newer changes."""
        async with asyncio.timeout(seconds(FULL_READ_TIMEOUT_MS)):
            batch = await self.catalog.read(self.needs_fresh_read)
            recent = await self.catalog.watch(
                batch.position, CATCH_UP_WATCH_TIMEOUT_MS
            )
        changes = (*batch.changes, *recent.changes)
        self._apply_batch(ChangeBatch(changes, recent.position), is_full=True)
        self.has_read_store = True
        self.needs_fresh_read = False

    async def _read_or_watch(self) -> None:
        if not self.has_read_store:
            await self._read_all()
            return
        position = self.state.view.position
        timeout_ms = self._watch_timeout_ms()
        batch = await self.catalog.watch(position, timeout_ms)
        self._apply_batch(batch, is_full=False)
        if not batch.relayed:
            await asyncio.sleep(seconds(self._watch_pause_ms()))

    def _watch_pause_ms(self) -> float:
        """Return the pause between watches, in which changes accumulate."""
        if self._is_relay():
            return RELAY_WATCH_PAUSE_MS
        return WATCH_PAUSE_MS

    def _watch_timeout_ms(self) -> float:
        """Return how long a watch may wait for changes at the store.

        While the store is unreachable a watch does not wait, so that the end
        of an outage or of a network partition is detected at once.
        """
        if self.store_unreachable:
            return UNREACHABLE_WATCH_TIMEOUT_MS
        if self._is_relay():
            return RELAY_WATCH_TIMEOUT_MS
        return WATCH_TIMEOUT_MS

    def _is_relay(self) -> bool:
        plan = relay_selection.make_plan(self.state.view.hosts)
        return self.state.host_config.name in plan.relays

    def _apply_batch(self, batch: ChangeBatch, is_full: bool) -> None:
        now = self.state.clock.now()
        if batch.era not in (UNKNOWN_ERA, self.era):
            self.state.log.add(
                "store",
                event="era",
                before=self.era,
                era=batch.era,
                after=self.state.view.position,
                position=batch.position,
                relayed=int(batch.relayed),
            )
            self.era = batch.era
        if self.store_unreachable:
            self.store_unreachable = False
            self.unreachable_at = now
            self.state.log.add("store", event="regained")
        update = (
            site_view.apply_snapshot if is_full else site_view.apply_changes
        )
        view = update(self.state.view, batch.changes, now, self.unreachable_at)
        position = max(view.position, batch.position)
        self._install_view(_with_position(view, position, now))
        for change in batch.changes:
            self.state.log.add(
                "view",
                position=position,
                change=type(change).__name__,
                what=_change_key(change),
            )

    def _install_view(self, view: SiteView) -> None:
        for target in self.state.apply_view(view):
            self.pool.close_idle(target.identity)


def _with_position(view: SiteView, position: int, now: float) -> SiteView:
    return SiteView(
        view.configuration,
        view.targets,
        view.hosts,
        view.evacuated,
        position,
        now,
        view.pending_removals,
    )


def _change_key(change: object) -> object:
    for field in ("identity", "name", "availability_zone", "revision"):
        if hasattr(change, field):
            return getattr(change, field)
    return "-"
