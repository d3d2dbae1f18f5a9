"""Passes on what one host read from the store, so that few hosts ask it.

A relay watches the store; all others ask one. A relay that does not answer
in time, or has not heard the store for a while, is passed over and the store
is asked instead, so a relay that is killed, frozen or cut off costs less than
a second.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable
import json
from typing import Any
from typing import TypeVar
from urllib.parse import parse_qs
import zlib

import aiohttp

from wigeongw.adapters import change_codec
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.core.clock import seconds
from wigeongw.core.identity import rendezvous
from wigeongw.core.site import Host
from wigeongw.decisions import relaying
from wigeongw.gateway.own_answers import answer
from wigeongw.gateway.own_answers import answer_bytes
from wigeongw.gateway.own_answers import Receive
from wigeongw.gateway.own_answers import Scope
from wigeongw.gateway.own_answers import Send
from wigeongw.gateway.state import HostState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import Reading
from wigeongw.ports.catalog import ZoneEvacuated

T = TypeVar("T")

CHANGES_PATH = "/changes"
# All that a host knows, for one that cannot read the store.
STATE_PATH = "/state"
JSON = "application/json"
# Changes that a relay keeps for hosts that ask a little later.
KEPT_CHANGES = 2_000
# Longer answers are compressed: a configuration goes to many hosts over one
# link at the same moment.
PLAIN_MOST_BYTES = 1_000
PACK_LEVEL = 1
# How long a host's question waits at a relay for a change.
RELAY_WAIT_MS = 500.0
# After it the relay is taken for gone.
RELAY_ANSWER_MS = 700.0
# A relay that has not heard the store for this long does not count: longer
# than its own pause and wait together.
RELAY_AGE_MOST_MS = 1_050.0
# For an answer of the store beyond a watch's wait; a connection that hangs
# is given up for a new one.
STORE_ANSWER_MS = 600.0
# Stands for a store that was never heard.
NEVER_MS = 3_600_000.0
# For this long a relay that failed is not asked again.
RELAY_REST_MS = 2_000.0


class RelayLog:
    """The changes that this host read lately, for others to ask for."""

    def __init__(self) -> None:
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(
            maxlen=KEPT_CHANGES
        )
        self.first = -1
        self.last = -1
        self.changed = asyncio.Event()

    def restart(self, position: int) -> None:
        """Begin anew after everything was read."""
        self.changes.clear()
        self.first = self.last = position
        self._tell()

    def add(self, reading: Reading) -> None:
        """Take in what a watch returned."""
        if len(self.changes) + len(reading.changes) >= KEPT_CHANGES:
            self.changes.clear()
            self.first = self.last
        for change in reading.changes:
            encoded = change_codec.encode(change)
            self.changes.append((reading.position, encoded))
        self.last = max(self.last, reading.position)
        if reading.changes:
            self._tell()

    def since(self, position: int) -> list[dict[str, Any]] | None:
        """Return the changes after a position; None when some are missing."""
        if position < self.first or self.first < 0:
            return None
        return [change for at, change in self.changes if at > position]

    async def wait(self, position: int, wait_ms: float) -> None:
        """Wait until there is a change after a position."""
        try:
            async with asyncio.timeout(seconds(max(0.0, wait_ms))):
                while self.since(position) == []:
                    await self.changed.wait()
        except TimeoutError:
            return

    def _tell(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class RelayApp:
    """Answers other hosts' questions for changes."""

    def __init__(self, state: HostState, log: RelayLog) -> None:
        self.state = state
        self.log = log

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer with all that is known, or with what changed."""
        if scope["type"] != "http":
            return
        if scope["path"] == STATE_PATH:
            await self._answer_state(send)
            return
        await self._answer_changes(scope, send)

    async def _answer_state(self, send: Send) -> None:
        view = self.state.view
        if view.configuration is None:
            await answer(send, 503, JSON, "{}")
            return
        known: tuple[Change, ...] = (
            view.configuration,
            *view.targets.values(),
            *view.hosts.values(),
            *(ZoneEvacuated(zone) for zone in sorted(view.evacuated)),
        )
        changes = [change_codec.encode(change) for change in known]
        await self._answer(send, view.position, changes)

    async def _answer_changes(self, scope: Scope, send: Send) -> None:
        """Answer with changes after a position, waiting for one."""
        query = parse_qs(scope["query_string"].decode("latin-1"))
        try:
            position = int(query["after"][0])
        except (KeyError, ValueError):
            await answer(send, 400, JSON, "{}")
            return
        trusted = RELAY_AGE_MOST_MS - self._age_ms()
        await self.log.wait(position, min(RELAY_WAIT_MS, trusted))
        changes = self.log.since(position)
        if changes is None or self.state.stopping:
            await answer(send, 410, JSON, "{}")
            return
        await self._answer(send, max(position, self.log.last), changes)

    async def _answer(
        self, send: Send, position: int, changes: list[dict[str, Any]]
    ) -> None:
        document = {
            "age_ms": self._age_ms(),
            "position": position,
            "changes": changes,
        }
        body = change_codec.dumps(document)
        if len(body) < PLAIN_MOST_BYTES:
            await answer_bytes(send, 200, JSON, body)
            return
        packed = zlib.compress(body, PACK_LEVEL)
        await answer_bytes(send, 200, JSON, packed, "deflate")

    def _age_ms(self) -> float:
        """Return for how long this host has not heard the store."""
        age = self.state.clock.now() - self.state.store_heard_ms
        return min(age, NEVER_MS)


class RelayedCatalog:
    """The store, with watches passed on by relays where there are any."""

    def __init__(
        self,
        state: HostState,
        store: Catalog,
        session: aiohttp.ClientSession,
        log: RelayLog,
    ) -> None:
        self.state = state
        self.store = store
        self.session = session
        self.log = log
        self.resting: dict[str, float] = {}

    async def read(self, fresh: bool) -> Reading:
        """Read everything from the store."""
        reading = await self._timed("read", self.store.read(fresh))
        self.state.store_heard_ms = self.state.clock.now()
        self.log.restart(reading.position)
        return reading

    async def watch(self, position: int, wait_ms: float) -> Reading:
        """Ask a relay, or the store when none answers well."""
        for relay in self._relays():
            reading = await self._ask(relay, position)
            if reading is not None:
                return reading
        try:
            async with asyncio.timeout(seconds(wait_ms + STORE_ANSWER_MS)):
                reading = await self._timed(
                    "watch", self.store.watch(position, wait_ms)
                )
        except TimeoutError as error:
            raise CatalogError("no answer in time") from error
        self.state.store_heard_ms = self.state.clock.now()
        self.log.add(reading)
        return reading

    async def register(self, host: Host, lifetime_ms: float) -> int:
        """Write a host's entry to the store."""
        return await self._timed(
            "register", self.store.register(host, lifetime_ms)
        )

    async def renew(self, lease: int) -> None:
        """Prolong a lease at the store."""
        await self._timed("renew", self.store.renew(lease))

    async def withdraw(self, lease: int) -> None:
        """End a lease at the store."""
        await self._timed("withdraw", self.store.withdraw(lease))

    async def _timed(self, call: str, answer: Awaitable[T]) -> T:
        """Count a call to the store and how long it took, by outcome."""
        began = self.state.clock.now()
        outcome = "failed"
        try:
            found = await answer
            outcome = "answered"
            return found
        finally:
            took = self.state.clock.now() - began
            metrics = self.state.metrics
            metrics.count("store_calls_total", call, outcome)
            metrics.time(took, "store_call_ms", call, outcome)

    def _relays(self) -> list[Host]:
        """Return whom to ask; nobody when this is a relay.

        After one that fails the store is asked, since each further one might
        take as long to fail.
        """
        hosts = self.state.view.hosts
        names = relaying.relays(hosts)
        me = self.state.me.name
        if me in names or me not in hosts:
            return []
        now = self.state.clock.now()
        ordered = rendezvous(me, names, len(names))
        return [
            hosts[name]
            for name in ordered
            if self.resting.get(name, now) <= now and hosts[name].peer
        ][:1]

    async def _ask(self, relay: Host, position: int) -> Reading | None:
        url = f"http://{relay.peer}{CHANGES_PATH}"
        try:
            async with asyncio.timeout(seconds(RELAY_ANSWER_MS)):
                async with self.session.get(
                    url, params={"after": str(position)}
                ) as response:
                    raw = await response.read()
                    status = response.status
            if status != 200:
                raise CatalogError(f"status {status}")
            reading = read_answer(raw)
            if reading.age_ms > RELAY_AGE_MOST_MS:
                raise CatalogError(f"store not heard: {reading.age_ms:.0f} ms")
            return reading
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            CatalogError,
        ) as error:
            until = self.state.clock.now() + RELAY_REST_MS
            self.resting[relay.name] = until
            self.state.metrics.count("relay_failures_total")
            self.state.log.add(
                "relay", event="lost", relay=relay.name, cause=repr(error)
            )
            return None


def read_answer(raw: bytes) -> Reading:
    """Decode another host's answer.

    Raises:
        CatalogError: when it makes no sense.
    """
    try:
        document = json.loads(raw)
        age_ms = float(document["age_ms"])
        changes = tuple(
            change_codec.decode(table) for table in document["changes"]
        )
        position = int(document["position"])
    except (ValueError, KeyError, TypeError, ChangeCodecError) as error:
        raise CatalogError(repr(error)) from error
    return Reading(changes, position, relayed=True, age_ms=age_ms)
