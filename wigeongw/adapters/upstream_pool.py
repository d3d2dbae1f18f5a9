"""Connection pool for upstreams; the last used connection is reused first."""

import asyncio
from collections.abc import Callable
import socket

from wigeongw.adapters import receive_window
from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_reply import ExchangeError
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.site import Target
from wigeongw.decisions.memory_shares import BufferLimits

CONNECT_TIMEOUT_MS = 250.0
IDLE_CHECK_INTERVAL_MS = 1_000.0
DEFAULT_MAX_CONNECTIONS = 4096


class UpstreamPool:
    """Idle connections to upstreams; the owner closes the pool.

    Attributes:
        limits: returns how much of one response may be held now.
        most: how many connections may be open.
        resources: where it is counted what the connections hold, if anywhere.
        open: the connections that are open.
        idle: idle connections by the upstream's identity and address, last
            used last.
    """

    def __init__(
        self,
        clock: Clock,
        request_id_header: str,
        limits: Callable[[], BufferLimits] = BufferLimits,
        most: int = DEFAULT_MAX_CONNECTIONS,
        resources: ClientResources | None = None,
    ) -> None:
        self.resources = resources
        self.limits = limits
        self.clock = clock
        self.request_id_header = request_id_header
        self.most = most
        self.open: set[UpstreamConnection] = set()
        self.idle: dict[tuple[str, str], list[UpstreamConnection]] = {}

    async def acquire(self, target: Target) -> UpstreamConnection:
        """Return an idle connection to an upstream, or open a new one.

        Raises:
            ExchangeError: if no connection can be opened; nothing was sent.
        """
        idle = self.idle.get(_key(target), [])
        now = self.clock.now()
        while idle:
            connection = idle.pop()
            if (
                connection.is_open
                and not connection.has_unread_bytes()
                and now - connection.idle_since < connection.idle_timeout_ms
            ):
                return connection
            connection.close()
        return await self._connect(target)

    def release(self, target: Target, connection: UpstreamConnection) -> None:
        """Keep a connection if it can be reused, else close it.

        One whose upstream answered before it read the whole request is
        closed, as its transport still holds the rest of the body.
        """
        if (
            not connection.is_open
            or not connection.is_complete
            or connection.has_unsent_bytes()
        ):
            connection.close()
            return
        connection.idle_since = self.clock.now()
        connection.reply = None
        self.idle.setdefault(_key(target), []).append(connection)

    def has_idle(self, target: Target) -> bool:
        """Return whether a connection to an upstream may be reused."""
        return any(conn.is_open for conn in self.idle.get(_key(target), ()))

    def close_idle(self, target: Target) -> None:
        """Close the idle connections to a removed upstream."""
        for connection in self.idle.pop(_key(target), []):
            connection.close()

    async def run(self) -> None:
        """Close expired connections periodically, until cancelled."""
        while True:
            await asyncio.sleep(seconds(IDLE_CHECK_INTERVAL_MS))
            self._close_expired()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.close()
        self.idle = {}

    def _close_expired(self) -> None:
        now = self.clock.now()
        for key, idle in list(self.idle.items()):
            remaining = []
            for connection in idle:
                is_expired = (
                    now - connection.idle_since >= connection.idle_timeout_ms
                )
                if is_expired or not connection.is_open:
                    connection.close()
                else:
                    remaining.append(connection)
            if remaining:
                self.idle[key] = remaining
            else:
                del self.idle[key]

    def _make_room(self) -> None:
        """Close idle connections, idle longest first, if too many are open.

        Raises:
            ExchangeError: if all are in use; nothing was sent.
        """
        while len(self.open) >= self.most:
            oldest = min(
                (idle[0] for idle in self.idle.values() if idle),
                key=lambda connection: connection.idle_since,
                default=None,
            )
            if oldest is None:
                raise ExchangeError("too many connections are open", False)
            for idle in self.idle.values():
                if oldest in idle:
                    idle.remove(oldest)
            oldest.close()
            self.open.discard(oldest)

    async def _connect(self, target: Target) -> UpstreamConnection:
        self._make_room()
        try:
            async with asyncio.timeout(seconds(CONNECT_TIMEOUT_MS)):
                return await self._open(*split_address(target.address))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise ExchangeError(f"no connection: {error!r}", False) from error

    def _note_held(self, connection: UpstreamConnection, size: int) -> None:
        if self.resources is not None:
            self.resources.ledger.upstreams = len(self.open)
            self.resources.set_answer(connection, size)

    async def _open(self, address: str, port: int) -> UpstreamConnection:
        """Connect a socket whose window is narrow from the start."""
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        loop = asyncio.get_running_loop()
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            receive_window.narrow(sock)
            await loop.sock_connect(sock, (address, port))
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(
                    self.request_id_header,
                    self.open,
                    self.limits,
                    self._note_held,
                ),
                sock=sock,
            )
        except BaseException:
            sock.close()
            raise
        return connection


def _key(target: Target) -> tuple[str, str]:
    """Return what an upstream's idle connections are kept by."""
    return target.identity, target.address
