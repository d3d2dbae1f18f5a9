"""Keeps the host's view of the site in sync with the store."""

import asyncio
from dataclasses import replace

from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.decisions import site_view
from wigeongw.decisions import store_return
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.peer_reader import PeerReader
from wigeongw.gateway.relayed_catalog import NO_WAIT_MS
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import EraChangedError
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import NOTHING_READ
from wigeongw.ports.catalog import StorePosition

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
PENDING_CHANGE_CHECK_INTERVAL_MS = 200.0
# Time limit for a full read with all its pages.
FULL_READ_TIMEOUT_MS = 3_000.0
# Longer than that of a catch-up watch, which does not wait at a relay either.
UNREACHABLE_WATCH_TIMEOUT_MS = NO_WAIT_MS
# Log events of the errors after which everything is read again.
REREAD_EVENTS: dict[type[CatalogError], str] = {
    HistoryLostError: "history_lost",
    EraChangedError: "era_changed",
}


class Follower:
    """Reads the whole store once, then watches it for changes.

    Attributes:
        change_log: receives the changes that other hosts may ask for.
        failed_at: when a call to the store failed last, monotonic clock.
        store_unreachable: whether the last call to the store failed.
        has_read_store: whether the whole store was read and can be watched
            from there.
        needs_fresh_read: whether the next full read must not be stale.
    """

    def __init__(
        self,
        state: GatewayState,
        catalog: Catalog,
        pool: UpstreamPool,
        change_log: ChangeLog,
        peer_reader: PeerReader,
    ) -> None:
        self.state = state
        self.catalog = catalog
        self.pool = pool
        self.change_log = change_log
        self.peer_reader = peer_reader
        self.failed_at = float("-inf")
        self.store_unreachable = False
        self.has_read_store = False
        self.needs_fresh_read = False

    async def run(self) -> None:
        """Read and watch the store until cancelled, retrying with backoff."""
        backoff_ms = MIN_RETRY_BACKOFF_MS
        while True:
            try:
                await self._read_or_watch()
                backoff_ms = MIN_RETRY_BACKOFF_MS
            except (HistoryLostError, EraChangedError) as error:
                # A stale read might return a position whose history is already
                # gone.
                self.has_read_store = False
                self.needs_fresh_read = True
                position = self.state.view.position
                self.state.log.add(
                    "store",
                    event=REREAD_EVENTS[type(error)],
                    after=position.revision,
                    after_era=position.era,
                    era=self.state.store_era,
                )
            except (CatalogError, TimeoutError) as error:
                self.record_store_failure(repr(error))
                jitter = 0.5 + self.state.rng.random()
                await asyncio.sleep(seconds(backoff_ms * jitter))
                backoff_ms = min(MAX_RETRY_BACKOFF_MS, 2.0 * backoff_ms)

    async def run_settling(self) -> None:
        """Apply pending changes that are due, until cancelled.

        Removals that appear just after the store was unreachable are delayed.
        """
        while True:
            await asyncio.sleep(seconds(PENDING_CHANGE_CHECK_INTERVAL_MS))
            if self.state.view.pending:
                now = self.state.clock.now()
                self._install_view(
                    site_view.apply_due_changes(self.state.view, now)
                )

    def adopt_peer_batch(self, batch: ChangeBatch) -> None:
        """Adopt another host's view until the store has been read.

        The store is then read without staleness as soon as it answers.
        Readings older than the current view are ignored.
        """
        if self.has_read_store or batch.position < self.state.view.position:
            return
        if batch.position > self.state.view.position:
            self.state.log.add(
                "view",
                event="borrowed",
                era=batch.position.era,
                position=batch.position.revision,
                age_ms=batch.age_ms,
            )
        self.state.learn_era(batch.position.era)
        self.needs_fresh_read = True
        self._merge(batch)

    def record_store_failure(self, cause: str) -> None:
        """Record that a call to the store failed."""
        self.failed_at = self.state.clock.now()
        if not self.store_unreachable:
            self.store_unreachable = True
            self.state.log.add("store", event="lost", cause=cause)
        self.state.metrics.count("store_failures_total")

    def _store_away_at(self) -> float:
        """Return the last time at which the store was away."""
        now = self.state.clock.now()
        return self.state.store_absence.last_away_at(now)

    async def _read_all(self) -> None:
        """Read everything, possibly stale, and then the newer changes."""
        async with asyncio.timeout(seconds(FULL_READ_TIMEOUT_MS)):
            batch = await self.catalog.read(self.needs_fresh_read)
            recent = await self.catalog.watch(
                batch.position, CATCH_UP_WATCH_TIMEOUT_MS
            )
            if self.state.view.configuration is None:
                await self._adopt_confirmed_state(batch)
        if not recent.is_full:
            changes = (*batch.changes, *recent.changes)
            recent = ChangeBatch(changes, recent.position, is_full=True)
        self._apply_batch(recent, batch.position)
        self.has_read_store = True
        self.needs_fresh_read = False

    async def _adopt_confirmed_state(self, batch: ChangeBatch) -> None:
        """Adopt what other hosts know before the first reading is applied.

        The store may just have come back from a copy that lacks what it
        confirmed to others.
        """
        hosts = [c for c in batch.changes if isinstance(c, Host)]
        confirmed = await self.peer_reader.fetch_first(hosts)
        if confirmed is not None:
            self.adopt_peer_batch(confirmed)

    async def _read_or_watch(self) -> None:
        if not self.has_read_store:
            await self._read_all()
            return
        position = self.state.view.position
        timeout_ms = self._watch_timeout_ms()
        batch = await self.catalog.watch(position, timeout_ms)
        self._apply_batch(batch, position)
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
        return self.state.host_config.name in self.state.relay_plan.relays

    def _apply_batch(self, batch: ChangeBatch, since: StorePosition) -> None:
        """Apply what the store or a relay returned.

        Args:
            batch: the changes.
            since: the position after which they were asked for.
        """
        if batch.position.era < self.state.view.position.era:
            # The host learned of a later era while the answer was on its way.
            return
        now = self.state.clock.now()
        before = self.state.view
        is_reachable = now - batch.age_ms >= self.failed_at
        if self.store_unreachable and is_reachable:
            self.store_unreachable = False
            self.state.log.add(
                "store",
                event="regained",
                was_away=int(self._store_away_at() >= self.failed_at),
            )
            self.state.announce_store_return()
        if batch.is_full:
            self._merge(batch)
        else:
            self._apply_changes(batch)
        if not batch.relayed or self._is_relay():
            self._keep_for_others(batch, since)
        self._log_changes(before, batch)

    def _log_changes(self, before: SiteView, batch: ChangeBatch) -> None:
        """Log the changes; of a full batch only what the view lacked."""
        known = site_view.entries(before) if batch.is_full else {}
        for change in batch.changes:
            if known.get(site_view.subject_of(change)) == change:
                continue
            self.state.log.add(
                "view",
                era=batch.position.era,
                position=batch.position.revision,
                change=type(change).__name__,
                what=_change_key(change),
            )

    def _apply_changes(self, batch: ChangeBatch) -> None:
        now = self.state.clock.now()
        view = site_view.apply_changes(
            self.state.view, batch.changes, now, self._store_away_at()
        )
        position = max(view.position, batch.position)
        self._install_view(
            replace(view, position=position, store_responded_ms=now)
        )

    def _merge(self, batch: ChangeBatch) -> None:
        """Merge the whole catalog into the view."""
        now = self.state.clock.now()
        before = self.state.view
        view = store_return.merge_full_batch(
            before, batch, now, self._store_away_at()
        )
        is_first = before.position == NOTHING_READ
        if batch.position.era > before.position.era and not is_first:
            self._log_era_change(before, batch)
        self._install_view(
            replace(
                view,
                position=batch.position,
                store_responded_ms=now - batch.age_ms,
            )
        )

    def _log_era_change(self, before: SiteView, batch: ChangeBatch) -> None:
        """Log what the store has lost and what this host keeps in force."""
        differences = store_return.compare(before, batch)
        configuration = before.configuration
        self.state.log.add(
            "view",
            event="era",
            before_era=before.position.era,
            before_position=before.position.revision,
            era=batch.position.era,
            position=batch.position.revision,
            relayed=int(batch.relayed),
            revision=configuration.revision if configuration else 0,
            keeps_revision=int(differences.is_older_configuration),
            missing=differences.missing,
            revived=differences.revived,
        )

    def _keep_for_others(
        self, batch: ChangeBatch, since: StorePosition
    ) -> None:
        """Keep changes for the hosts that ask this one for them."""
        answered_at = self.state.clock.now() - batch.age_ms
        self.state.store_answered_at = max(
            self.state.store_answered_at, answered_at
        )
        if batch.is_full:
            self.change_log.restart(batch.position)
        else:
            self.change_log.add(batch, since)

    def _install_view(self, view: SiteView) -> None:
        for target in self.state.apply_view(view):
            self.pool.close_idle(target)


def _change_key(change: object) -> object:
    for field in ("identity", "name", "availability_zone", "revision"):
        if hasattr(change, field):
            return getattr(change, field)
    return "-"
