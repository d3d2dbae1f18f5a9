"""Everything an entry host does with the platform's store and host list.

Settings and fences are followed by one watch a host, with a reading now and
then in case a watch went silent. The lease is kept alive, and fences of pools
that this host should share out are taken as they become free.
"""

import asyncio
from collections.abc import Iterable
import contextlib
import random

import logbook

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.daemon.site_keeper import SiteKeeper
from wigeongw.decisions import fence as fences
from wigeongw.decisions import site as sites
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.ports.errors import HostListError
from wigeongw.ports.errors import StoreError
from wigeongw.ports.host_list import HostList
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Store
from wigeongw.settings import revisions
from wigeongw.settings.model import MembershipSettings

FENCES = "live/fences/"
AGAIN_MS = 250.0
AGAIN_SPREAD_MS = 250.0
READ_EVERY_MS = 5_000.0
FENCE_EVERY_MS = 100.0
KEEPS_PER_LEASE = 3.0
HAND_OVER_MS = 2_000.0

log = logbook.Logger("store")


class StoreKeeper:
    """Owns the lease and the watch of one entry host."""

    def __init__(
        self,
        store: Store,
        host_list: HostList,
        prefix: str,
        keeper: SiteKeeper,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.host_list = host_list
        self.prefix = prefix
        self.keeper = keeper
        self.clock = clock
        self.rng = rng
        self.lease = 0
        self.stopping = False
        self.settled_at = float("inf")
        self.misplaced: dict[str, float] = {}

    async def run_watch(self) -> None:
        """Follow settings and fences, for ever."""
        while True:
            try:
                after = await self.read()
                watch = self.store.watch(self.prefix + revisions.LIVE, after)
                async for entries in watch:
                    self._heard()
                    self._take(entries)
            except StoreError as error:
                log.info("Watch broke: {}.", error)
            await self._pause()

    async def run_reads(self) -> None:
        """Read settings and fences now and then, for ever."""
        while True:
            await asyncio.sleep(seconds(READ_EVERY_MS))
            with contextlib.suppress(StoreError):
                await self.read()

    async def read(self) -> int:
        """Read settings and fences once.

        Returns:
            The store's revision.

        Raises:
            StoreError: when the store is away.
        """
        snapshot = await self.store.read(self.prefix + revisions.LIVE)
        self._heard()
        self._take(snapshot.entries)
        present = [
            f for f in map(self._fence, snapshot.entries) if f is not None
        ]
        known = self.keeper.site.fences
        self.keeper.on_fences(
            fences.missing(known, present, snapshot.revision)
        )
        return snapshot.revision

    async def run_lease(self) -> None:
        """Keep the lease alive, or open a new one, for ever."""
        while True:
            rules = self._rules()
            sent_at = self.clock.now()
            try:
                kept = self.lease and await self.store.keep_alive(self.lease)
                if not kept:
                    self.lease = 0
                    self.lease = await self.store.grant_lease(rules.lease_ms)
            except StoreError as error:
                log.info("Lease not renewed: {}.", error)
                await self._pause()
                continue
            self._heard()
            ends_at = sent_at + rules.lease_ms
            self.keeper.on_lease(LeaseState(ends_at, rules.lease_ms))
            await asyncio.sleep(seconds(rules.lease_ms / KEEPS_PER_LEASE))

    async def run_fences(self) -> None:
        """Take the fences that this host should have, for ever.

        A host that has just started waits until it has heard the others, or
        it would take every fence that is free.
        """
        while True:
            await asyncio.sleep(seconds(FENCE_EVERY_MS))
            settled = self.clock.now() >= self.settled_at
            if self.stopping or not self.lease or not settled:
                continue
            try:
                for pool in self._wanted():
                    await self._take_fence(pool)
                for pool in self._to_hand_over():
                    await self._hand_over(pool)
            except StoreError as error:
                log.info("Fences not settled: {}.", error)
                await self._pause()

    async def run_host_list(self) -> None:
        """Read the host list again and again, for ever."""
        while True:
            try:
                self.keeper.on_listing(await self.host_list.read())
                self._settle()
            except HostListError as error:
                log.info("{}.", error)
            await asyncio.sleep(seconds(self._rules().list_poll_ms))

    async def give_up(self) -> None:
        """End the lease, so that others take the fences at once."""
        self.stopping = True
        lease, self.lease = self.lease, 0
        if lease:
            with contextlib.suppress(StoreError):
                await self.store.revoke_lease(lease)

    # Inside

    def _rules(self) -> MembershipSettings:
        settings = self.keeper.site.settings
        return settings.membership if settings else MembershipSettings()

    def _heard(self) -> None:
        self.keeper.on_store_heard()

    def _take(self, entries: Iterable[Entry]) -> None:
        """Take in settings and fences, whether read or watched."""
        heard: list[Fence] = []
        for entry in entries:
            fence = self._fence(entry)
            if fence is not None:
                heard.append(fence)
            elif entry.value and entry.key == self.prefix + revisions.CURRENT:
                self._take_settings(entry.value)
        self.keeper.on_fences(heard)

    def _take_settings(self, raw: bytes) -> None:
        try:
            self.keeper.on_revision(revisions.decode(raw))
        except revisions.HistoryError as error:
            log.error("Settings in the store refused: {}.", error)

    def _fence(self, entry: Entry) -> Fence | None:
        start = self.prefix + FENCES
        if not entry.key.startswith(start):
            return None
        pool = entry.key.removeprefix(start)
        return Fence(pool, entry.value.decode(), entry.revision)

    def _wanted(self) -> list[str]:
        """Return the pools whose fence is free and should be ours."""
        site = self.keeper.site
        near = sites.reachable(site, self.clock.now())
        free = (
            pool
            for pool in sites.pools(site)
            if pool not in site.fences or not site.fences[pool].host
        )
        return [p for p in free if sites.is_candidate(site, p, near)]

    def _settle(self) -> None:
        """Begin to wait for the others once the host list was read."""
        if self.settled_at == float("inf"):
            wait = self._rules().suspect_ms
            self.settled_at = self.clock.now() + wait

    async def _take_fence(self, pool: str) -> None:
        """Take a fence whose key is absent, or was left empty."""
        key = self.prefix + FENCES + pool
        me = self.keeper.site.me.name
        expected = 0
        for _ in range(2):
            put = Put(key, me.encode(), expected, self.lease)
            done = await self.store.commit((put,))
            self._heard()
            if done.ok:
                self.keeper.on_fences([Fence(pool, me, done.revision)])
                return
            if done.found[0].value:
                break
            expected = done.found[0].revision
        self._take(done.found)

    def _to_hand_over(self) -> list[str]:
        """Return own pools that have belonged elsewhere for a while."""
        site = self.keeper.site
        now = self.clock.now()
        known = set(sites.pools(site))
        near = sites.reachable(site, now)
        misplaced = {
            pool: self.misplaced.get(pool, now)
            for pool, fence in site.fences.items()
            if fence.host == site.me.name
            and pool in known
            and not sites.is_candidate(site, pool, near)
        }
        self.misplaced = misplaced
        return [p for p, t in misplaced.items() if now - t >= HAND_OVER_MS]

    async def _hand_over(self, pool: str) -> None:
        """Leave a fence empty for the host that should have it."""
        fence = self.keeper.site.fences[pool]
        put = Put(self.prefix + FENCES + pool, b"", fence.epoch)
        done = await self.store.commit((put,))
        self._heard()
        if done.ok:
            self.keeper.on_fences([Fence(pool, "", done.revision)])
            return
        self._take(done.found)

    async def _pause(self) -> None:
        """Wait before the next try; spread, so that hosts do not meet."""
        spread = AGAIN_SPREAD_MS * self.rng.random()
        await asyncio.sleep(seconds(AGAIN_MS + spread))
