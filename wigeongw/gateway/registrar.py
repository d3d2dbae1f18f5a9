"""Keeps this host's entry in the store while it serves."""

import asyncio

from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.state import HostState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import LeaseLostError

# A host that lost power is out of the address answers a lease and a watch's
# pause later.
LEASE_MS = 4_000.0
RENEW_EVERY_MS = 1_500.0
CALL_MOST_MS = 1_000.0
RETRY_MS = 300.0
# Before there is a configuration, a host is of no use to clients.
NOT_READY_MS = 50.0


class Registrar:
    """Registers the host, renews its lease, withdraws it."""

    def __init__(
        self, state: HostState, catalog: Catalog, follower: Follower
    ) -> None:
        self.state = state
        self.catalog = catalog
        self.follower = follower
        self.lease: int | None = None
        self.withdrawn = False
        # A registration under way ends before its entry is withdrawn.
        self.one_at_a_time = asyncio.Lock()

    async def run(self) -> None:
        """Keep the entry for ever."""
        while not self.withdrawn:
            pause_ms = RENEW_EVERY_MS
            try:
                async with self.one_at_a_time:
                    async with asyncio.timeout(seconds(CALL_MOST_MS)):
                        await self._step()
                if self.lease is None:
                    pause_ms = NOT_READY_MS
            except LeaseLostError:
                self.lease = None
                self.state.log.add("store", event="lease_lost")
                pause_ms = 0.0
            except (CatalogError, TimeoutError) as error:
                self.follower.note_away(repr(error))
                pause_ms = RETRY_MS
            await asyncio.sleep(seconds(pause_ms))

    async def withdraw(self) -> None:
        """Take the entry out for good, if the store can be reached."""
        self.withdrawn = True
        async with self.one_at_a_time:
            lease, self.lease = self.lease, None
        if lease is None:
            return
        try:
            async with asyncio.timeout(seconds(CALL_MOST_MS)):
                await self.catalog.withdraw(lease)
        except (CatalogError, TimeoutError) as error:
            # The lease ends by itself soon after.
            self.state.log.add(
                "store", event="withdraw_failed", cause=repr(error)
            )

    async def _step(self) -> None:
        if self.withdrawn:
            return
        if self.lease is not None:
            await self.catalog.renew(self.lease)
            return
        if self.state.view.configuration is None:
            return
        me = self.state.me
        host = Host(me.name, me.front, me.availability_zone, me.peer)
        self.lease = await self.catalog.register(host, LEASE_MS)
        self.state.log.add("store", event="registered", lease=self.lease)
