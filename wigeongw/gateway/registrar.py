"""Keeps this host registered in the store while it serves."""

import asyncio

from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import LeaseLostError

# A host that crashes is removed from address answers after this time plus one
# pause between two watches.
LEASE_TTL_MS = 4_000.0
RENEW_INTERVAL_MS = 1_500.0
STORE_CALL_TIMEOUT_MS = 1_000.0
# Delay before a failed call is repeated, doubled with each further failure.
# The store may refuse a host for many seconds, and each call has a price.
MIN_RETRY_DELAY_MS = 300.0
MAX_RETRY_DELAY_MS = 1_200.0
# Poll interval while there is no configuration; until then a host cannot serve
# clients and does not register.
NOT_READY_POLL_INTERVAL_MS = 50.0


class Registrar:
    """Registers this host, renews its lease and withdraws it."""

    def __init__(
        self, state: GatewayState, catalog: Catalog, follower: Follower
    ) -> None:
        self.state = state
        self.catalog = catalog
        self.follower = follower
        self.lease: int | None = None
        self.withdrawn = False
        # Serializes registration and withdrawal, so that a registration in
        # flight completes before its entry is withdrawn.
        self.registration_lock = asyncio.Lock()

    async def run(self) -> None:
        """Register and renew the lease until the entry is withdrawn."""
        retry_delay_ms = MIN_RETRY_DELAY_MS
        while not self.withdrawn:
            delay_ms = RENEW_INTERVAL_MS
            try:
                async with self.registration_lock:
                    async with asyncio.timeout(seconds(STORE_CALL_TIMEOUT_MS)):
                        await self._register_or_renew()
                retry_delay_ms = MIN_RETRY_DELAY_MS
                if self.lease is None:
                    delay_ms = NOT_READY_POLL_INTERVAL_MS
            except LeaseLostError:
                self.lease = None
                self.state.log.add("store", event="lease_lost")
                delay_ms = 0.0
            except (CatalogError, TimeoutError) as error:
                self.follower.record_store_failure(repr(error))
                delay_ms = retry_delay_ms
                retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * retry_delay_ms)
            await asyncio.sleep(seconds(delay_ms))

    async def withdraw(self) -> None:
        """Remove this host's entry for good.

        A failure of the store is logged; the entry then expires with its
        lease.
        """
        self.withdrawn = True
        async with self.registration_lock:
            lease, self.lease = self.lease, None
        if lease is None:
            return
        try:
            async with asyncio.timeout(seconds(STORE_CALL_TIMEOUT_MS)):
                await self.catalog.withdraw(lease)
        except (CatalogError, TimeoutError) as error:
            # The lease expires by itself shortly after.
            self.state.log.add(
                "store", event="withdraw_failed", cause=repr(error)
            )

    async def _register_or_renew(self) -> None:
        if self.withdrawn:
            return
        if self.lease is not None:
            await self.catalog.renew(self.lease)
            return
        if self.state.view.configuration is None:
            return
        host_config = self.state.host_config
        host = Host(
            host_config.name,
            host_config.front,
            host_config.availability_zone,
            host_config.peer,
        )
        self.lease = await self.catalog.register(host, LEASE_TTL_MS)
        self.state.log.add("store", event="registered", lease=self.lease)
