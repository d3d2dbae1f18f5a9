"""Synchronizes an entry host with the platform's store and host list.

Each entry host follows settings and fences with one watch. It also reads them
periodically, in case the watch has silently stopped. It renews its lease and
takes the free fences of pools that it should be the grantor of.
"""

import asyncio
from collections.abc import Iterable
import contextlib
import random

import logbook

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.records import Revision
from wigeongw.daemon.site_tracker import SiteTracker
from wigeongw.decisions import fence as fences
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import NO_LEASE
from wigeongw.decisions.site_state import SiteState
from wigeongw.ports.errors import HostListError
from wigeongw.ports.errors import StoreError
from wigeongw.ports.host_list import HostList
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot
from wigeongw.ports.store import Store
from wigeongw.settings import revisions
from wigeongw.settings.schema import MembershipSettings

FENCE_PREFIX = "live/fences/"
RETRY_DELAY_MS = 250.0
RETRY_JITTER_MS = 250.0
READ_INTERVAL_MS = 5_000.0
FENCE_CHECK_INTERVAL_MS = 100.0
RENEWALS_PER_LEASE = 3.0
HANDOVER_DELAY_MS = 2_000.0

log = logbook.Logger("store")


class StoreSync:
    """Owns the lease and the watch of one entry host.

    Attributes:
        lease_id: lease in the store; 0 for none.
        is_stopping: whether the lease was released for good.
        fences_allowed_at: time from which on fences may be taken, in monotonic
            milliseconds.
        misplaced_since: own fences that another host should have, with the
            time since when.
        known_era: era of the store that this object has prepared for.
        lease_counts_from: time from which on the lease backs fences again
            after a return of the store.
        watch_limit: ends the watch that is open; None without one.
    """

    def __init__(
        self,
        store: Store,
        host_list: HostList,
        prefix: str,
        site_tracker: SiteTracker,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.host_list = host_list
        self.prefix = prefix
        self.site_tracker = site_tracker
        self.clock = clock
        self.rng = rng
        self.lease_id = 0
        self.is_stopping = False
        self.fences_allowed_at = float("inf")
        self.misplaced_since: dict[str, float] = {}
        self.known_era = 0
        self.lease_counts_from = float("-inf")
        self.watch_limit: asyncio.Timeout | None = None

    async def run_watch(self) -> None:
        """Watch settings and fences until cancelled."""
        while True:
            try:
                await self._follow(await self.read_once())
            except (StoreError, TimeoutError) as error:
                log.info(
                    "Watching {} failed: {}.",
                    self.prefix + revisions.LIVE_PREFIX,
                    error,
                )
            await self._wait_before_retry()

    async def _follow(self, after: int) -> None:
        """Apply changes after a revision until the watch ends."""
        watch = self.store.watch(self.prefix + revisions.LIVE_PREFIX, after)
        async with asyncio.timeout(None) as self.watch_limit:
            try:
                async for entries in watch:
                    self._note_store_reply()
                    self._apply_entries(entries)
            finally:
                self.watch_limit = None

    async def run_reads(self) -> None:
        """Read settings and fences periodically until cancelled."""
        while True:
            await asyncio.sleep(seconds(READ_INTERVAL_MS))
            with contextlib.suppress(StoreError):
                await self.read_once()

    async def read_once(self) -> int:
        """Read settings and fences once.

        Returns:
            The revision of the store at the time of the reading.

        Raises:
            StoreError: when the store did not reply.
        """
        revision_before = self.site_tracker.revision
        before = self.site_tracker.site
        snapshot = await self._read_live()
        if self._shows_return(before, snapshot):
            # A second reading, as the first one may have been a stale one.
            before = self.site_tracker.site
            snapshot = await self._read_live()
            if self._shows_return(before, snapshot):
                self.site_tracker.on_store_return()
        self._prepare_for_era()
        self._apply_entries(snapshot.entries)
        if self.site_tracker.revision is revision_before:
            self._replace_lost_settings(snapshot)
        site = self.site_tracker.site
        self.site_tracker.on_fences(
            fences.released_fences(
                site.fences,
                self._present_fences(snapshot),
                snapshot.revision,
                site.store_era,
            )
        )
        return snapshot.revision

    async def _read_live(self) -> Snapshot:
        snapshot = await self.store.read(self.prefix + revisions.LIVE_PREFIX)
        self._note_store_reply()
        return snapshot

    def _present_fences(self, snapshot: Snapshot) -> list[Fence]:
        parsed = map(self._parse_fence, snapshot.entries)
        return [fence for fence in parsed if fence is not None]

    def _shows_return(self, before: SiteState, snapshot: Snapshot) -> bool:
        """Return whether a reading shows a return that is not known yet."""
        if self.site_tracker.site.store_era != before.store_era:
            return False
        return fences.shows_return(
            before.fences,
            self._present_fences(snapshot),
            snapshot.revision,
            before.store_era,
        )

    def _prepare_for_era(self) -> None:
        """Rely on no fence for a while after a return of the store.

        The owner of a fence that the store has lost may rely on it until its
        next reading, and while it reaches no store until its lease ends.
        """
        era = self.site_tracker.site.store_era
        if era == self.known_era:
            return
        self.known_era = era
        log.warning("The store came back from an older copy (era {}).", era)
        wait_ms = READ_INTERVAL_MS + self._membership().lease_ms
        counts_from = self.clock.now() + wait_ms
        self.lease_counts_from = counts_from
        self.fences_allowed_at = max(self.fences_allowed_at, counts_from)
        self.site_tracker.on_lease(NO_LEASE)
        # The store may have given its number out again.
        self.lease_id = 0
        if self.watch_limit is not None:
            # It waits for revisions of the former era.
            self.watch_limit.reschedule(asyncio.get_running_loop().time())

    async def run_lease(self) -> None:
        """Renew the lease, or request a new one, until cancelled."""
        while True:
            membership = self._membership()
            sent_at = self.clock.now()
            try:
                is_renewed = self.lease_id and await self.store.keep_alive(
                    self.lease_id
                )
                if not is_renewed:
                    self.lease_id = 0
                    lease_id = await self.store.grant_lease(
                        membership.lease_ms
                    )
                    # Fences under the former lease may be gone.
                    await self.read_once()
                    self.lease_id = lease_id
            except StoreError as error:
                log.info("Renewing the lease failed: {}.", error)
                await self._wait_before_retry()
                continue
            self._note_store_reply()
            self._prepare_for_era()
            if self.clock.now() >= self.lease_counts_from:
                ends_at = sent_at + membership.lease_ms
                self.site_tracker.on_lease(
                    LeaseState(ends_at, membership.lease_ms)
                )
            await asyncio.sleep(
                seconds(membership.lease_ms / RENEWALS_PER_LEASE)
            )

    async def run_fences(self) -> None:
        """Take and hand over fences until cancelled.

        A host that has just started waits until it has received heartbeats of
        the others. Otherwise it would take every free fence.
        """
        while True:
            await asyncio.sleep(seconds(FENCE_CHECK_INTERVAL_MS))
            is_settled = self.clock.now() >= self.fences_allowed_at
            if self.is_stopping or not self.lease_id or not is_settled:
                continue
            try:
                for pool in self._fences_to_take():
                    await self._take_fence(pool)
                for pool in self._pools_to_hand_over():
                    await self._hand_over(pool)
            except StoreError as error:
                log.info("Taking or handing over fences failed: {}.", error)
                await self._wait_before_retry()

    async def run_host_list(self) -> None:
        """Read the host list periodically until cancelled."""
        while True:
            try:
                self.site_tracker.on_listing(await self.host_list.read())
                self._start_settling()
            except HostListError as error:
                log.info("Reading the host list failed: {}.", error)
            await asyncio.sleep(seconds(self._membership().list_poll_ms))

    async def release_lease(self) -> None:
        """Revoke the lease, so that others can take its fences at once."""
        self.is_stopping = True
        lease_id, self.lease_id = self.lease_id, 0
        if lease_id:
            with contextlib.suppress(StoreError):
                await self.store.revoke_lease(lease_id)

    def _membership(self) -> MembershipSettings:
        settings = self.site_tracker.site.settings
        return settings.membership if settings else MembershipSettings()

    def _note_store_reply(self) -> None:
        self.site_tracker.on_store_reply()

    def _apply_entries(self, entries: Iterable[Entry]) -> None:
        """Apply entries that were read or watched."""
        found_fences: list[Fence] = []
        for entry in entries:
            fence = self._parse_fence(entry)
            if fence is not None:
                found_fences.append(fence)
            elif (
                entry.value
                and entry.key == self.prefix + revisions.CURRENT_KEY
            ):
                self._apply_settings(entry.value)
        self.site_tracker.on_fences(found_fences)

    def _apply_settings(self, raw: bytes) -> None:
        revision = self._decode_settings(raw)
        if revision is not None:
            self.site_tracker.on_revision(revision, is_stored=True)

    def _replace_lost_settings(self, snapshot: Snapshot) -> None:
        """Put settings in force that replace ones that the store lost."""
        key = self.prefix + revisions.CURRENT_KEY
        for entry in snapshot.entries:
            if entry.key == key and entry.value:
                revision = self._decode_settings(entry.value)
                if revision is not None:
                    self.site_tracker.on_stored_revision(revision)

    def _decode_settings(self, raw: bytes) -> Revision | None:
        try:
            return revisions.decode(raw)
        except revisions.HistoryError as error:
            log.error("Settings in the store are invalid: {}.", error)
            return None

    def _parse_fence(self, entry: Entry) -> Fence | None:
        fence_prefix = self.prefix + FENCE_PREFIX
        if not entry.key.startswith(fence_prefix):
            return None
        pool = entry.key.removeprefix(fence_prefix)
        try:
            host_name = entry.value.decode()
        except UnicodeDecodeError as error:
            log.warning("Ignoring the fence of {!r}: {}.", pool, error)
            return None
        era = self.site_tracker.site.store_era
        return Fence(pool, host_name, entry.revision, era)

    def _fences_to_take(self) -> list[str]:
        """Return pools with a free fence that this host should take."""
        site = self.site_tracker.site
        reachable = sites.reachable(site, self.clock.now())
        free_pools = (
            pool
            for pool in sites.pools(site)
            if pool not in site.fences or not site.fences[pool].host
        )
        return [
            pool
            for pool in free_pools
            if sites.is_preferred_grantor(site, pool, reachable)
        ]

    def _start_settling(self) -> None:
        """Start the delay before taking fences, at the first host list."""
        if self.fences_allowed_at == float("inf"):
            settle_ms = self._membership().suspect_ms
            self.fences_allowed_at = self.clock.now() + settle_ms

    async def _take_fence(self, pool: str) -> None:
        """Take a fence whose key is absent or empty."""
        key = self.prefix + FENCE_PREFIX + pool
        host_name = self.site_tracker.site.me.name
        expected = 0
        for _ in range(2):
            put = Put(key, host_name.encode(), expected, self.lease_id)
            result = await self.store.commit((put,))
            self._note_store_reply()
            if result.ok:
                era = self.site_tracker.site.store_era
                self.site_tracker.on_fences(
                    [Fence(pool, host_name, result.revision, era)]
                )
                return
            if result.found[0].value:
                break
            expected = result.found[0].revision
        self._apply_entries(result.found)

    def _pools_to_hand_over(self) -> list[str]:
        """Return own pools that another host should have had for a while."""
        site = self.site_tracker.site
        now = self.clock.now()
        known = set(sites.pools(site))
        reachable = sites.reachable(site, now)
        misplaced_since = {
            pool: self.misplaced_since.get(pool, now)
            for pool, fence in site.fences.items()
            if fence.host == site.me.name
            and pool in known
            and not sites.is_preferred_grantor(site, pool, reachable)
        }
        self.misplaced_since = misplaced_since
        return [
            pool
            for pool, since in misplaced_since.items()
            if now - since >= HANDOVER_DELAY_MS
        ]

    async def _hand_over(self, pool: str) -> None:
        """Empty a fence, so that the host that should have it can take it."""
        fence = self.site_tracker.site.fences[pool]
        put = Put(self.prefix + FENCE_PREFIX + pool, b"", fence.epoch)
        result = await self.store.commit((put,))
        self._note_store_reply()
        if result.ok:
            self.site_tracker.on_fences(
                [Fence(pool, "", result.revision, fence.era)]
            )
            return
        self._apply_entries(result.found)

    async def _wait_before_retry(self) -> None:
        """Wait before a retry, with jitter against simultaneous retries."""
        jitter_ms = RETRY_JITTER_MS * self.rng.random()
        await asyncio.sleep(seconds(RETRY_DELAY_MS + jitter_ms))
