"""The store's catalog, with watches served by other hosts where possible.

A host asks the store itself when its relay does not answer in time or has not
reached the store for a while, so a relay that is killed, frozen or partitioned
delays changes by less than a second. Who asks whom is decided in
``decisions/relay_selection.py``.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Iterable
from typing import TypeVar

import aiohttp

from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.decisions import relay_selection
from wigeongw.decisions.relay_selection import RelayPlan
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.relay import CHANGES_PATH
from wigeongw.gateway.relay import decode_batch
from wigeongw.gateway.relay import HTTP_GONE
from wigeongw.gateway.relay import RELAY_LONG_POLL_MS
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HistoryLostError

T = TypeVar("T")

HTTP_OK = 200
# Time that a relay's response may take after the time for which the relay may
# hold the request open. The relay then counts as down.
RELAY_RESPONSE_MARGIN_MS = 200.0
# Time that a response may take to arrive, during which a relay's age may pass
# the limit.
RELAY_DELIVERY_MS = 50.0
# The age limit for a host that the store refuses. It covers the pause between
# two watches of a host that is not a relay.
MAX_SUBSTITUTE_AGE_MS = 3_000.0
# Time that the store may take beyond a watch's own timeout. After it the
# hanging connection is replaced by a new one.
STORE_WATCH_MARGIN_MS = 600.0
# A watch that waits no longer than this only catches up with changes that
# were already made.
CATCH_UP_WATCH_MS = 1.0
# How long a relay that failed is not asked again.
RELAY_BACKOFF_MS = 2_000.0


class RelayedCatalog:
    """The store's catalog, with watches served by relays if possible.

    Attributes:
        backoff_until: by relay that failed, when it may be asked again.
        read_hosts: the hosts that the last full read returned.
    """

    def __init__(
        self,
        state: GatewayState,
        store: Catalog,
        session: aiohttp.ClientSession,
        change_log: ChangeLog,
    ) -> None:
        self.state = state
        self.store = store
        self.session = session
        self.change_log = change_log
        self.backoff_until: dict[str, float] = {}
        self.read_hosts: dict[str, Host] = {}

    async def read(self, fresh: bool) -> ChangeBatch:
        """Read everything from the store."""
        batch = await self._timed("read", self.store.read(fresh))
        self.state.store_answered_at = self.state.clock.now()
        self.change_log.restart(batch.position)
        self.read_hosts = {
            change.name: change
            for change in batch.changes
            if isinstance(change, Host)
        }
        return batch

    async def watch(self, position: int, wait_ms: float) -> ChangeBatch:
        """Watch through a relay, or at the store without a usable relay.

        The store may refuse this host and serve others. Other hosts are then
        asked for what they learned.

        Raises:
            CatalogError: when neither the store nor another host answers.
            HistoryLostError: when the store compacted the position.
        """
        plan = relay_selection.make_plan(self._hosts())
        poll_ms = RELAY_LONG_POLL_MS
        if wait_ms <= CATCH_UP_WATCH_MS:
            poll_ms = wait_ms
        # Only one relay is asked, because each further one might take as long
        # to fail.
        for relay in self._usable(plan.sources(self._own_name()))[:1]:
            limit_ms = plan.max_age_ms(relay.name) + RELAY_DELIVERY_MS
            batch = await self._watch_relay(relay, position, poll_ms, limit_ms)
            if batch is not None:
                self._keep_for_others(plan, batch, position)
                return batch
        try:
            return await self._watch_store(position, wait_ms)
        except HistoryLostError:
            raise
        except CatalogError:
            batch = await self._watch_last_sources(plan, position)
            if batch is None:
                raise
            return batch

    async def register(self, host: Host, lifetime_ms: float) -> int:
        """Write a host's entry to the store and return its lease."""
        return await self._timed(
            "register", self.store.register(host, lifetime_ms)
        )

    async def renew(self, lease: int) -> None:
        """Renew a lease at the store."""
        await self._timed("renew", self.store.renew(lease))

    async def withdraw(self, lease: int) -> None:
        """End a lease at the store."""
        await self._timed("withdraw", self.store.withdraw(lease))

    async def _timed(self, operation: str, call: Awaitable[T]) -> T:
        """Await a store call and record its duration and outcome.

        Args:
            operation: label of the call in the metrics.
            call: the call.
        """
        started_at = self.state.clock.now()
        outcome = "failed"
        try:
            result = await call
            outcome = "answered"
            return result
        finally:
            elapsed_ms = self.state.clock.now() - started_at
            metrics = self.state.metrics
            metrics.count("store_calls_total", operation, outcome)
            metrics.time(elapsed_ms, "store_call_ms", operation, outcome)

    async def _watch_store(self, position: int, wait_ms: float) -> ChangeBatch:
        limit_ms = wait_ms + STORE_WATCH_MARGIN_MS
        try:
            async with asyncio.timeout(seconds(limit_ms)):
                batch = await self._timed(
                    "watch", self.store.watch(position, wait_ms)
                )
        except TimeoutError as error:
            raise CatalogError(
                f"store watch not answered within {limit_ms:.0f} ms"
            ) from error
        self.state.store_answered_at = self.state.clock.now()
        self.change_log.add(batch, position)
        return batch

    async def _watch_last_sources(
        self, plan: RelayPlan, position: int
    ) -> ChangeBatch | None:
        for host in self._usable(plan.last_sources(self._own_name())):
            batch = await self._watch_relay(
                host, position, RELAY_LONG_POLL_MS, MAX_SUBSTITUTE_AGE_MS
            )
            if batch is not None:
                return batch
        return None

    def _keep_for_others(
        self, plan: RelayPlan, batch: ChangeBatch, since: int
    ) -> None:
        """Keep changes from the root if other hosts ask this one for them."""
        if self._own_name() not in plan.relays:
            return
        answered_at = self.state.clock.now() - batch.age_ms
        self.state.store_answered_at = max(
            self.state.store_answered_at, answered_at
        )
        self.change_log.add(batch, since)

    def _own_name(self) -> str:
        return self.state.host_config.name

    def _hosts(self) -> dict[str, Host]:
        """Return the known hosts, before the first view those just read."""
        return self.state.view.hosts or self.read_hosts

    def _usable(self, names: Iterable[str]) -> list[Host]:
        """Return the named hosts that may be asked now."""
        now = self.state.clock.now()
        known = self._hosts()
        return [
            known[name]
            for name in names
            if known[name].peer and self.backoff_until.get(name, now) <= now
        ]

    async def _watch_relay(
        self,
        relay: Host,
        position: int,
        poll_ms: float,
        max_age_ms: float,
    ) -> ChangeBatch | None:
        """Ask another host for changes.

        Args:
            relay: the host to ask.
            position: position after which changes are wanted.
            poll_ms: how long it may wait for a change.
            max_age_ms: limit for the time since the store answered it.

        Returns:
            The changes; None when the host has none that can be used. A host
            that fails is not asked again for a while.
        """
        url = f"http://{relay.peer}{CHANGES_PATH}"
        query = {"after": str(position), "wait_ms": f"{poll_ms:.0f}"}
        try:
            async with asyncio.timeout(
                seconds(poll_ms + RELAY_RESPONSE_MARGIN_MS)
            ):
                async with self.session.get(url, params=query) as response:
                    raw = await response.read()
                    status = response.status
            if status == HTTP_GONE:
                # Its log begins later. The store can still answer, and the
                # relay serves the position that follows.
                self.state.metrics.count("relay_logs_too_short_total")
                return None
            if status != HTTP_OK:
                raise CatalogError(
                    f"relay {relay.name} returned status {status}, "
                    "expected 200"
                )
            batch = decode_batch(raw)
            if batch.age_ms > max_age_ms:
                raise CatalogError(
                    f"relay {relay.name} last reached the store "
                    f"{batch.age_ms:.0f} ms ago, limit {max_age_ms:.0f} ms"
                )
            return batch
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            CatalogError,
        ) as error:
            backoff_until = self.state.clock.now() + RELAY_BACKOFF_MS
            self.backoff_until[relay.name] = backoff_until
            self.state.metrics.count("relay_failures_total")
            self.state.log.add(
                "relay", event="lost", relay=relay.name, cause=repr(error)
            )
            return None
