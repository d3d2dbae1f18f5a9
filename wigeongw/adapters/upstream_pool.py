"""Kept connections to upstreams, the one used last first."""

import asyncio

from wigeongw.adapters.upstream_connection import ExchangeError
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.site import Target

CONNECT_MS = 250.0
IDLE_LOOK_MS = 1_000.0


class UpstreamPool:
    """Connections by upstream; the owner closes the pool."""

    def __init__(self, clock: Clock, id_header: str) -> None:
        self.clock = clock
        self.id_header = id_header
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def take(self, target: Target) -> UpstreamConnection:
        """Return an open connection, a kept one if there is one.

        Raises:
            ExchangeError: when none can be had; nothing was sent.
        """
        idle = self.idle.get(target.identity, [])
        now = self.clock.now()
        while idle:
            kept = idle.pop()
            if kept.is_open and now - kept.idle_since < kept.idle_ms:
                return kept
            kept.close()
        return await self._open(target)

    def give_back(
        self, target: Target, connection: UpstreamConnection
    ) -> None:
        """Keep a connection whose exchange ended well; close any other."""
        if not connection.is_open or not connection.complete:
            connection.close()
            return
        connection.idle_since = self.clock.now()
        connection.reply = None
        self.idle.setdefault(target.identity, []).append(connection)

    def forget(self, identity: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self.idle.pop(identity, []):
            connection.close()

    async def run(self) -> None:
        """Close connections before their upstream does, for ever."""
        while True:
            await asyncio.sleep(seconds(IDLE_LOOK_MS))
            self._drop_idle()

    def close(self) -> None:
        """Close all idle connections."""
        for identity in list(self.idle):
            self.forget(identity)

    def _drop_idle(self) -> None:
        now = self.clock.now()
        for identity, idle in list(self.idle.items()):
            kept = []
            for connection in idle:
                aged = now - connection.idle_since >= connection.idle_ms
                if aged or not connection.is_open:
                    connection.close()
                else:
                    kept.append(connection)
            if kept:
                self.idle[identity] = kept
            else:
                del self.idle[identity]

    async def _open(self, target: Target) -> UpstreamConnection:
        address, port = split_address(target.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds(CONNECT_MS)):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self.id_header), address, port
                )
        except (OSError, TimeoutError) as error:
            raise ExchangeError(f"no connection: {error!r}", False) from error
        return connection
