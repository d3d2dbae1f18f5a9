"""Serves this host's view and recent changes to other hosts."""

from dataclasses import dataclass
from urllib.parse import parse_qs
import zlib

from wigeongw.adapters import batch_codec
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.decisions import store_return
from wigeongw.gateway.asgi import Receive
from wigeongw.gateway.asgi import Scope
from wigeongw.gateway.asgi import Send
from wigeongw.gateway.asgi import send_bytes
from wigeongw.gateway.asgi import send_text
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import StorePosition

CHANGES_PATH = "/changes"
# The whole view of a host, for a host that cannot read the store.
STATE_PATH = "/state"
HTTP_GONE = 410
JSON = "application/json"
# The longest answer of another host: the whole view, or all kept changes.
MAX_BATCH_BYTES = 16 << 20
# Responses of this size or more are compressed: a configuration goes to many
# hosts over one link at the same time.
MIN_COMPRESSED_BYTES = 1_000
COMPRESSION_LEVEL = 1
# How long a relay holds a request open while there is no change. It ends
# sooner when the store's last answer reaches the age limit for its role.
RELAY_LONG_POLL_MS = 500.0
# How long a relay holds a request open at least, so that hosts do not ask in
# a tight loop while its age is near the limit.
MIN_RELAY_LONG_POLL_MS = 25.0
# Upper limit of a reported age, also used when the store never answered.
MAX_REPORTED_AGE_MS = 3_600_000.0
AHEAD_LOG_INTERVAL_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class ChangesQuery:
    """A host's request for changes.

    Attributes:
        position: position after which changes are wanted.
        wait_ms: how long to wait for a change at most.
        is_patient: whether to wait that long in any case.
    """

    position: StorePosition
    wait_ms: float
    is_patient: bool


class RelayApp:
    """Serves this host's view and its recent changes to other hosts."""

    def __init__(self, state: GatewayState, change_log: ChangeLog) -> None:
        self.state = state
        self.change_log = change_log
        self.ahead_throttle = LogThrottle(AHEAD_LOG_INTERVAL_MS)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Respond with the whole view or with recent changes."""
        if scope["type"] != "http":
            return
        if scope["path"] == STATE_PATH:
            await self._send_state(send)
            return
        await self._send_changes(scope, send)

    async def _send_state(self, send: Send) -> None:
        """Respond with all that this host knows."""
        view = self.state.view
        if view.configuration is None:
            await send_text(send, 503, JSON, "{}")
            return
        now = self.state.clock.now()
        batch = store_return.full_batch(view, self._store_age_ms(), now)
        await _send_body(send, batch_codec.encode(batch))

    async def _send_changes(self, scope: Scope, send: Send) -> None:
        """Respond with the changes after a position (long poll).

        A host that is in an earlier era of the store gets the whole view. One
        that is in a later era learns at once that this host is behind.
        """
        try:
            query = _decode_query(scope["query_string"])
        except (KeyError, ValueError):
            await send_text(send, 400, JSON, "{}")
            return
        if query.position.era == self.state.view.position.era:
            await self.change_log.wait(query.position, self._wait_ms(query))
        if self.state.stopping:
            await send_text(send, 503, JSON, "{}")
            return
        view = self.state.view
        if query.position.era < view.position.era:
            await self._send_state(send)
            return
        last = self.change_log.last_position or view.position
        if query.position > last:
            self._record_asked_ahead(query.position, last)
        if query.position.era > view.position.era:
            await self._send_batch(send, view.position, [])
            return
        changes = self.change_log.changes_since(query.position)
        if changes is None:
            await send_text(send, HTTP_GONE, JSON, "{}")
            return
        await self._send_batch(send, max(query.position, last), changes)

    def _wait_ms(self, query: ChangesQuery) -> float:
        """Return how long to hold a request open.

        A host that cannot reach the store itself waits the whole time; any
        other is told soon that this host has not reached it for a while.
        """
        if query.is_patient:
            return query.wait_ms
        plan = self.state.relay_plan
        limit_ms = plan.max_age_ms(self.state.host_config.name)
        trusted_ms = limit_ms - self._store_age_ms()
        return min(query.wait_ms, max(MIN_RELAY_LONG_POLL_MS, trusted_ms))

    def _record_asked_ahead(
        self, position: StorePosition, last: StorePosition
    ) -> None:
        """Record a host that knows more than this one; it asks often."""
        self.state.metrics.count("relay_asked_ahead_total")
        if self.ahead_throttle.allows("", self.state.clock.now()):
            self.state.log.add(
                "relay",
                event="asked_ahead",
                after_era=position.era,
                after=position.revision,
                era=last.era,
                position=last.revision,
            )

    async def _send_batch(
        self,
        send: Send,
        position: StorePosition,
        changes: list[bytes],
    ) -> None:
        batch = ChangeBatch((), position, age_ms=self._store_age_ms())
        await _send_body(send, batch_codec.encode_parts(batch, changes))

    def _store_age_ms(self) -> float:
        """Return the time since the store last answered this host."""
        age = self.state.clock.now() - self.state.store_answered_at
        return min(age, MAX_REPORTED_AGE_MS)


def changes_query(
    position: StorePosition, wait_ms: float, is_patient: bool
) -> dict[str, str]:
    """Return the query parameters that ask for the changes after a position.

    Args:
        position: the position of the asking host.
        wait_ms: how long the relay may wait for a change.
        is_patient: whether it waits that long also while it cannot reach the
            store.
    """
    query = {
        "era": str(position.era),
        "after": str(position.revision),
        "wait_ms": f"{wait_ms:.0f}",
    }
    if is_patient:
        query["patient"] = "1"
    return query


def _decode_query(raw: bytes) -> ChangesQuery:
    """Decode the query of a request for changes.

    Raises:
        KeyError: when a parameter is missing.
        ValueError: when one is not a number.
    """
    query = parse_qs(raw.decode("latin-1"))
    return ChangesQuery(
        StorePosition(int(query["era"][0]), int(query["after"][0])),
        float(query.get("wait_ms", [RELAY_LONG_POLL_MS])[0]),
        "patient" in query,
    )


async def _send_body(send: Send, body: bytes) -> None:
    """Send a JSON body, compressed when it is long."""
    if len(body) < MIN_COMPRESSED_BYTES:
        await send_bytes(send, 200, JSON, body)
        return
    compressed = zlib.compress(body, COMPRESSION_LEVEL)
    await send_bytes(send, 200, JSON, compressed, "deflate")
