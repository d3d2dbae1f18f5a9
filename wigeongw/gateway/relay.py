"""Serves this host's view and recent changes to other hosts."""

import json
from typing import Any
from urllib.parse import parse_qs
import zlib

from wigeongw.adapters import change_codec
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.decisions import relay_selection
from wigeongw.gateway.asgi import Receive
from wigeongw.gateway.asgi import Scope
from wigeongw.gateway.asgi import Send
from wigeongw.gateway.asgi import send_bytes
from wigeongw.gateway.asgi import send_text
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import ZoneEvacuated

CHANGES_PATH = "/changes"
# The whole view of a host, for a host that cannot read the store.
STATE_PATH = "/state"
HTTP_GONE = 410
JSON = "application/json"
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
        view = self.state.view
        if view.configuration is None:
            await send_text(send, 503, JSON, "{}")
            return
        entries: tuple[Change, ...] = (
            view.configuration,
            *view.targets.values(),
            *view.hosts.values(),
            *(ZoneEvacuated(zone) for zone in sorted(view.evacuated)),
        )
        changes = [change_codec.encode(change) for change in entries]
        await self._send_batch(send, view.position, changes)

    async def _send_changes(self, scope: Scope, send: Send) -> None:
        """Respond with the changes after a position (long poll)."""
        query = parse_qs(scope["query_string"].decode("latin-1"))
        try:
            position = int(query["after"][0])
            longest_ms = float(query.get("wait_ms", [RELAY_LONG_POLL_MS])[0])
        except (KeyError, ValueError):
            await send_text(send, 400, JSON, "{}")
            return
        plan = relay_selection.make_plan(self.state.view.hosts)
        limit_ms = plan.max_age_ms(self.state.host_config.name)
        trusted_ms = limit_ms - self._store_age_ms()
        wait_ms = min(longest_ms, max(MIN_RELAY_LONG_POLL_MS, trusted_ms))
        await self.change_log.wait(position, wait_ms)
        if self.state.stopping:
            await send_text(send, 503, JSON, "{}")
            return
        if position > self.change_log.last_position:
            self.state.metrics.count("relay_asked_ahead_total")
            self._log_asked_ahead(position)
        changes = self.change_log.changes_since(position)
        if changes is None:
            await send_text(send, HTTP_GONE, JSON, "{}")
            return
        await self._send_batch(
            send, max(position, self.change_log.last_position), changes
        )

    def _log_asked_ahead(self, position: int) -> None:
        """Log a host that knows more than this one; it asks often."""
        if self.ahead_throttle.allows("", self.state.clock.now()):
            self.state.log.add(
                "relay",
                event="asked_ahead",
                after=position,
                position=self.change_log.last_position,
            )

    async def _send_batch(
        self, send: Send, position: int, changes: list[dict[str, Any]]
    ) -> None:
        document = {
            "age_ms": self._store_age_ms(),
            "position": position,
            "changes": changes,
        }
        body = change_codec.dumps(document)
        if len(body) < MIN_COMPRESSED_BYTES:
            await send_bytes(send, 200, JSON, body)
            return
        compressed = zlib.compress(body, COMPRESSION_LEVEL)
        await send_bytes(send, 200, JSON, compressed, "deflate")

    def _store_age_ms(self) -> float:
        """Return the time since the store last answered this host."""
        age = self.state.clock.now() - self.state.store_answered_at
        return min(age, MAX_REPORTED_AGE_MS)


def decode_batch(raw: bytes) -> ChangeBatch:
    """Decode a batch of changes that another host sent.

    Raises:
        CatalogError: when it cannot be decoded.
    """
    try:
        document = json.loads(raw)
        age_ms = float(document["age_ms"])
        changes = tuple(
            change_codec.decode(table) for table in document["changes"]
        )
        position = int(document["position"])
    except (ValueError, KeyError, TypeError, ChangeCodecError) as error:
        raise CatalogError(
            f"cannot decode the batch of changes: {error!r}"
        ) from error
    return ChangeBatch(changes, position, relayed=True, age_ms=age_ms)
