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

from wigeongw.adapters import batch_codec
from wigeongw.adapters.bounded_read import read_body
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.core.clock import seconds
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.site import Host
from wigeongw.decisions import relay_selection
from wigeongw.decisions import store_absence
from wigeongw.decisions import store_return
from wigeongw.decisions.relay_selection import RelayPlan
from wigeongw.decisions.store_return import RelayAnswer
from wigeongw.gateway.relay import CHANGES_PATH
from wigeongw.gateway.relay import changes_query
from wigeongw.gateway.relay import HTTP_GONE
from wigeongw.gateway.relay import MAX_BATCH_BYTES
from wigeongw.gateway.relay import RELAY_LONG_POLL_MS
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import EraChangedError
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import LeaseLostError
from wigeongw.ports.catalog import StoreConnectionError
from wigeongw.ports.catalog import StorePosition

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
# A watch that waits no longer than this is not among those that the store may
# cut.
NO_WAIT_MS = 1.5
# How long a relay that failed is not asked again.
RELAY_BACKOFF_MS = 2_000.0
# While the relay answers and cannot reach the store either, this host asks
# the store itself about this often, and not with each poll.
STORE_RETRY_INTERVAL_MS = 1_500.0
# How long a host waits for its relay to read the store after its return. It
# covers the relay's own pause, watch and full read.
NEW_ERA_RELAY_WAIT_MS = 1_500.0
NEW_ERA_POLL_PAUSE_MS = 50.0
UNUSED_ANSWER_LOG_INTERVAL_MS = 1_000.0


class RelayedCatalog:
    """The store's catalog, with watches served by relays if possible.

    Attributes:
        backoff_until: by relay that failed, when it may be asked again.
        store_retry_at: while neither the store nor the relay's store answers,
            when this host may ask the store again.
        read_hosts: the hosts that the last full read returned.
        log_throttle: bounds the lines about relays whose answers are not used.
    """

    def __init__(
        self,
        state: GatewayState,
        store: Catalog,
        session: aiohttp.ClientSession,
    ) -> None:
        self.state = state
        self.store = store
        self.session = session
        self.backoff_until: dict[str, float] = {}
        self.store_retry_at = float("-inf")
        self.read_hosts: dict[str, Host] = {}
        self.log_throttle = LogThrottle(UNUSED_ANSWER_LOG_INTERVAL_MS)

    async def read(self, fresh: bool) -> ChangeBatch:
        """Read everything from the store."""
        batch = await self._timed("read", self.store.read(fresh))
        self.read_hosts = {
            change.name: change
            for change in batch.changes
            if isinstance(change, Host)
        }
        return batch

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        """Watch through a relay, or at the store without a usable relay.

        The store may refuse this host and serve others. Other hosts are then
        asked for what they learned.

        Returns:
            The changes, or the whole catalog when the store came back from a
            copy and another host has read it.

        Raises:
            CatalogError: when neither the store nor another host answers.
            EraChangedError: when the store came back from a copy and this
                host has to read it.
            HistoryLostError: when the store compacted the position.
        """
        plan = self._plan()
        poll_ms = RELAY_LONG_POLL_MS
        if wait_ms <= CATCH_UP_WATCH_MS:
            poll_ms = wait_ms
        batch, verdict = await self._watch_source(plan, position, poll_ms)
        if batch is not None and verdict is RelayAnswer.USE:
            return batch
        is_relay_cut_off = verdict is RelayAnswer.TOO_OLD
        if is_relay_cut_off and self.state.clock.now() < self.store_retry_at:
            raise CatalogError("neither store nor relay answer")
        try:
            return await self._watch_store(position, wait_ms)
        except EraChangedError:
            batch = await self._read_from_other_host(plan, position)
            if batch is None:
                raise
            return batch
        except HistoryLostError:
            raise
        except CatalogError:
            if is_relay_cut_off:
                self._delay_next_store_call()
            batch = await self._watch_last_sources(plan, position)
            if batch is None:
                raise
            return batch

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        """Write a host's entry to the store and return its lease."""
        return await self._timed(
            "register", self.store.register(host, lifetime_ms)
        )

    async def renew(self, lease: Lease) -> int:
        """Renew a lease at the store."""
        return await self._timed("renew", self.store.renew(lease))

    async def withdraw(self, lease: Lease) -> None:
        """End a lease at the store."""
        await self._timed("withdraw", self.store.withdraw(lease))

    async def _timed(self, operation: str, call: Awaitable[T]) -> T:
        """Await a store call and record its duration and outcome.

        A call that is cancelled was not answered since it was made.

        Args:
            operation: label of the call in the metrics.
            call: the call.
        """
        started_at = self.state.clock.now()
        outcome = "failed"
        failing_since = started_at
        try:
            result = await call
            outcome = "answered"
            return result
        except (HistoryLostError, LeaseLostError, EraChangedError):
            outcome = "answered"
            raise
        except CatalogError:
            failing_since = self.state.clock.now()
            raise
        finally:
            elapsed_ms = self.state.clock.now() - started_at
            if outcome == "answered":
                self._record_answer(0.0)
            else:
                self.state.store_absence = store_absence.record_failure(
                    self.state.store_absence, failing_since
                )
            metrics = self.state.metrics
            metrics.count("store_calls_total", operation, outcome)
            metrics.time(elapsed_ms, "store_call_ms", operation, outcome)

    def _record_answer(self, age_ms: float) -> None:
        """Record that the store answered so long ago."""
        answered_at = self.state.clock.now() - age_ms
        self.state.store_absence = store_absence.record_answer(
            self.state.store_absence, answered_at
        )

    def _delay_next_store_call(self) -> None:
        jitter = 0.5 + self.state.rng.random()
        self.store_retry_at = (
            self.state.clock.now() + STORE_RETRY_INTERVAL_MS * jitter
        )

    async def _watch_source(
        self, plan: RelayPlan, position: StorePosition, poll_ms: float
    ) -> tuple[ChangeBatch | None, RelayAnswer | None]:
        """Ask the relay of this host for changes.

        Only one relay is asked, because each further one might take as long
        to fail.

        Returns:
            The answer and what to do with it; None for both without one.
        """
        now = self.state.clock.now()
        is_patient = now < self.store_retry_at
        for relay in self._usable(plan.sources(self._own_name()))[:1]:
            batch = await self._ask(relay, position, poll_ms, is_patient)
            if batch is None:
                continue
            limit_ms = plan.max_age_ms(relay.name) + RELAY_DELIVERY_MS
            verdict = store_return.judge_relay_answer(
                position, batch, limit_ms
            )
            if verdict is not RelayAnswer.USE:
                self._record_unused(relay, batch, verdict)
            return batch, verdict
        return None, None

    async def _read_from_other_host(
        self, plan: RelayPlan, position: StorePosition
    ) -> ChangeBatch | None:
        """Wait until another host has read the store's new era.

        Returns:
            The whole catalog; None when nobody has it in time, or when this
            host is the one that reads it for others.
        """
        deadline_at = self.state.clock.now() + NEW_ERA_RELAY_WAIT_MS
        while self.state.clock.now() < deadline_at:
            sources = self._usable(plan.readers(self._own_name()))
            if not sources:
                return None
            batch = await self._ask(
                sources[0], position, RELAY_LONG_POLL_MS, is_patient=True
            )
            if batch is not None and batch.position.era > position.era:
                return batch if batch.is_full else None
            await asyncio.sleep(seconds(NEW_ERA_POLL_PAUSE_MS))
        return None

    async def _watch_store(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        """Watch the store, without waiting once more if the watch is cut.

        The store may cut a watch that waits, and answer at once afterwards.
        """
        try:
            return await self._watch_store_once(position, wait_ms)
        except StoreConnectionError:
            if wait_ms <= NO_WAIT_MS:
                raise
            self.state.metrics.count("store_watches_cut_total")
            return await self._watch_store_once(position, NO_WAIT_MS)

    async def _watch_store_once(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        limit_ms = wait_ms + STORE_WATCH_MARGIN_MS
        try:
            async with asyncio.timeout(seconds(limit_ms)):
                return await self._timed(
                    "watch", self.store.watch(position, wait_ms)
                )
        except TimeoutError as error:
            raise CatalogError(
                f"store watch not answered within {limit_ms:.0f} ms"
            ) from error

    async def _watch_last_sources(
        self, plan: RelayPlan, position: StorePosition
    ) -> ChangeBatch | None:
        """Ask the hosts that are most likely to reach the store."""
        for host in self._usable(plan.last_sources(self._own_name())):
            batch = await self._ask(
                host, position, RELAY_LONG_POLL_MS, is_patient=False
            )
            if batch is None:
                continue
            verdict = store_return.judge_relay_answer(
                position, batch, MAX_SUBSTITUTE_AGE_MS
            )
            if verdict is RelayAnswer.USE:
                return batch
            self._record_unused(host, batch, verdict)
            self._back_off(host)
        return None

    def _own_name(self) -> str:
        return self.state.host_config.name

    def _plan(self) -> RelayPlan:
        """Return who asks whom, before the first view by the hosts read."""
        if self.state.view.hosts:
            return self.state.relay_plan
        return relay_selection.make_plan(self.read_hosts)

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
            if name in known
            and known[name].peer
            and self.backoff_until.get(name, now) <= now
        ]

    async def _ask(
        self,
        relay: Host,
        position: StorePosition,
        poll_ms: float,
        is_patient: bool,
    ) -> ChangeBatch | None:
        """Ask another host for the changes after a position.

        Args:
            relay: the host to ask.
            position: position after which changes are wanted.
            poll_ms: how long it may wait for a change.
            is_patient: whether it waits so long although it cannot reach the
                store.

        Returns:
            Its answer; None when it gives none. A host that fails is not
            asked again for a while.
        """
        url = f"http://{relay.peer}{CHANGES_PATH}"
        query = changes_query(position, poll_ms, is_patient)
        try:
            async with asyncio.timeout(
                seconds(poll_ms + RELAY_RESPONSE_MARGIN_MS)
            ):
                async with self.session.get(url, params=query) as response:
                    raw = await read_body(response, MAX_BATCH_BYTES)
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
            batch = batch_codec.decode(raw)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ChangeCodecError,
            CatalogError,
        ) as error:
            self._back_off(relay)
            self.state.metrics.count("relay_failures_total")
            self.state.log.add(
                "relay", event="lost", relay=relay.name, cause=repr(error)
            )
            return None
        self.state.learn_era(batch.position.era)
        self._record_answer(batch.age_ms)
        return batch

    def _back_off(self, relay: Host) -> None:
        """Do not ask a host again for a while."""
        now = self.state.clock.now()
        self.backoff_until = {
            name: until
            for name, until in self.backoff_until.items()
            if until > now
        }
        self.backoff_until[relay.name] = now + RELAY_BACKOFF_MS

    def _record_unused(
        self, relay: Host, batch: ChangeBatch, verdict: RelayAnswer
    ) -> None:
        """Record an answer that is too old or of an earlier era."""
        self.state.metrics.count("relay_answers_unused_total", verdict.value)
        if self.log_throttle.allows(relay.name, self.state.clock.now()):
            self.state.log.add(
                "relay",
                event=verdict.value,
                relay=relay.name,
                age_ms=batch.age_ms,
                era=batch.position.era,
                position=batch.position.revision,
            )
