"""Keeps the host's view in step with the store."""

import asyncio

from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import seconds
from wigeongw.decisions import relaying
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.state import HostState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import Reading

# Between two watches, so that changes come together and cost one call; it
# takes up about half of the shortest time in which a change has to be known.
PAUSE_MS = 1_000.0
# How long a watch waits; a connection that went silent is noticed soon after.
WAIT_MS = 1_500.0
# The same for a host that watches for others: what it reads has one more way
# to go, and they notice the sooner that it lost the store.
RELAY_PAUSE_MS = 450.0
RELAY_WAIT_MS = 450.0
# The watch that follows a reading waits for nothing.
CATCH_UP_MS = 1.0
RETRY_FIRST_MS = 100.0
RETRY_MOST_MS = 300.0
SETTLE_EVERY_MS = 200.0
# For reading everything, with pages.
READ_MOST_MS = 3_000.0
AWAY_WAIT_MS = 1.0


class Follower:
    """Reads the store, then watches it, for ever."""

    def __init__(
        self, state: HostState, catalog: Catalog, pool: UpstreamPool
    ) -> None:
        self.state = state
        self.catalog = catalog
        self.pool = pool
        self.away_ms = float("-inf")
        self.away = False
        self.known = False
        self.fresh = False

    async def run(self) -> None:
        """Follow the store."""
        pause_ms = RETRY_FIRST_MS
        while True:
            try:
                await self._step()
                pause_ms = RETRY_FIRST_MS
            except HistoryLostError:
                # A stale reading might lie before what is forgotten.
                self.known = False
                self.fresh = True
                self.state.log.add("store", event="history_lost")
            except (CatalogError, TimeoutError) as error:
                self.note_away(repr(error))
                jitter = 0.5 + self.state.rng.random()
                await asyncio.sleep(seconds(pause_ms * jitter))
                pause_ms = min(RETRY_MOST_MS, 2.0 * pause_ms)

    async def run_settling(self) -> None:
        """Carry out removals that waited for the store's return."""
        while True:
            await asyncio.sleep(seconds(SETTLE_EVERY_MS))
            if self.state.view.pending:
                now = self.state.clock.now()
                self._take(site_view.settle(self.state.view, now))

    def borrow(self, reading: Reading) -> None:
        """Take over what another host knows until the store can be read.

        What it holds may lack removals that were not carried out there, so
        the store is read afresh as soon as it answers.
        """
        if self.known or reading.position < self.state.view.position:
            return
        now = self.state.clock.now()
        view = site_view.reread(
            self.state.view, reading.changes, now, self.away_ms
        )
        position = reading.position
        if position > self.state.view.position:
            self.state.log.add(
                "view",
                event="borrowed",
                position=position,
                age_ms=reading.age_ms,
            )
        self.fresh = True
        self._take(_stamped(view, position, now - reading.age_ms))

    def note_away(self, cause: str) -> None:
        """Note that the store did not answer."""
        self.away_ms = self.state.clock.now()
        if not self.away:
            self.away = True
            self.state.log.add("store", event="lost", cause=cause)
        self.state.metrics.count("store_failures_total")

    async def _read(self) -> None:
        """Read everything, perhaps a little stale, and catch up."""
        async with asyncio.timeout(seconds(READ_MOST_MS)):
            reading = await self.catalog.read(self.fresh)
            since = await self.catalog.watch(reading.position, CATCH_UP_MS)
        changes = (*reading.changes, *since.changes)
        self._heard(Reading(changes, since.position), whole=True)
        self.known = True
        self.fresh = False

    async def _step(self) -> None:
        if not self.known:
            await self._read()
            return
        position = self.state.view.position
        wait_ms = self._wait_ms()
        reading = await self.catalog.watch(position, wait_ms)
        self._heard(reading, whole=False)
        if not reading.relayed:
            await asyncio.sleep(seconds(self._pause_ms()))

    def _pause_ms(self) -> float:
        """Return how long to let changes gather at the store."""
        me = self.state.me.name
        if me in relaying.relays(self.state.view.hosts):
            return RELAY_PAUSE_MS
        return PAUSE_MS

    def _wait_ms(self) -> float:
        """Return how long a watch at the store waits.

        While the store is away it waits for nothing, so that its return, or
        the end of a cut, is noticed at once.
        """
        if self.away:
            return AWAY_WAIT_MS
        me = self.state.me.name
        if me in relaying.relays(self.state.view.hosts):
            return RELAY_WAIT_MS
        return WAIT_MS

    def _heard(self, reading: Reading, whole: bool) -> None:
        now = self.state.clock.now()
        if self.away:
            self.away = False
            self.away_ms = now
            self.state.log.add("store", event="regained")
        take = site_view.reread if whole else site_view.apply
        view = take(self.state.view, reading.changes, now, self.away_ms)
        position = max(view.position, reading.position)
        self._take(_stamped(view, position, now))
        for change in reading.changes:
            self.state.log.add(
                "view",
                position=position,
                change=type(change).__name__,
                what=_name(change),
            )

    def _take(self, view: SiteView) -> None:
        for target in self.state.take_view(view):
            self.pool.forget(target.identity)


def _stamped(view: SiteView, position: int, now: float) -> SiteView:
    return SiteView(
        view.configuration,
        view.targets,
        view.hosts,
        view.evacuated,
        position,
        now,
        view.pending,
    )


def _name(change: object) -> object:
    for field in ("identity", "name", "availability_zone", "revision"):
        if hasattr(change, field):
            return getattr(change, field)
    return "-"
