"""Keeps this host registered in the store while it serves."""

import asyncio
import contextlib

from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.decisions import store_return
from wigeongw.decisions.store_return import LeaseState
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Lease
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
# How long a host waits for the store's copy before it gives up a lease of an
# earlier era.
LEASE_PROOF_TIMEOUT_MS = 1_200.0
# Hosts whose entries the copy lacks register again within this time for each
# host of the site, so that the store's limit on writes is kept.
REGISTRATION_SPREAD_MS = 6.0
MAX_REGISTRATION_SPREAD_MS = 2_000.0


class Registrar:
    """Registers this host, renews its lease and withdraws it.

    Attributes:
        lease: the lease of this host's entry; None without one.
        withdrawn_lease: the lease that was revoked when the host stopped.
        withdrawn: whether the host stays unregistered from now on.
        registration_lock: serializes registration and withdrawal, so that a
            registration in flight completes before its entry is withdrawn.
    """

    def __init__(
        self, state: GatewayState, catalog: Catalog, follower: Follower
    ) -> None:
        self.state = state
        self.catalog = catalog
        self.follower = follower
        self.lease: Lease | None = None
        self.withdrawn_lease: Lease | None = None
        self.withdrawn = False
        self.registration_lock = asyncio.Lock()

    async def run(self) -> None:
        """Register and renew the lease, until cancelled.

        After the withdrawal, the entry is removed again whenever the store
        comes back from a copy that still has it.
        """
        await self._run_registered()
        while True:
            await self._withdraw_again()
            await self.state.store_returned.wait()

    async def withdraw(self) -> None:
        """Remove this host's entry for good.

        A failure of the store is logged; the entry then expires with its
        lease.
        """
        self.withdrawn = True
        async with self.registration_lock:
            lease, self.lease = self.lease, None
            if lease is not None:
                lease = await self._prove(lease)
        self.withdrawn_lease = lease
        if lease is not None:
            await self._revoke(lease)

    async def _run_registered(self) -> None:
        """Register and renew until the entry is withdrawn."""
        retry_delay_ms = MIN_RETRY_DELAY_MS
        while not self.withdrawn:
            delay_ms = RENEW_INTERVAL_MS
            try:
                async with self.registration_lock:
                    await self._register_or_renew()
                retry_delay_ms = MIN_RETRY_DELAY_MS
                if self.lease is None:
                    delay_ms = NOT_READY_POLL_INTERVAL_MS
            except LeaseLostError as error:
                self.lease = None
                self.state.log.add(
                    "store", event="lease_lost", cause=str(error)
                )
                await asyncio.sleep(seconds(self._registration_delay_ms()))
                continue
            except (CatalogError, TimeoutError) as error:
                if self.follower.store_unreachable:
                    # The follower finds out when the store answers again.
                    retry_delay_ms = MAX_RETRY_DELAY_MS
                self.follower.record_store_failure(repr(error))
                delay_ms = retry_delay_ms
                retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * retry_delay_ms)
            await self._sleep_until_store_return(delay_ms)

    async def _sleep_until_store_return(self, delay_ms: float) -> None:
        """Wait; end at once when the store answers again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds(delay_ms)):
                await self.state.store_returned.wait()

    async def _register_or_renew(self) -> None:
        if self.withdrawn:
            return
        if self.lease is not None:
            await self._renew(self.lease)
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
        async with asyncio.timeout(seconds(STORE_CALL_TIMEOUT_MS)):
            self.lease = await self.catalog.register(host, LEASE_TTL_MS)
        self.state.log.add(
            "store",
            event="registered",
            lease=self.lease.number,
            era=self.lease.era,
        )

    async def _renew(self, lease: Lease) -> None:
        """Renew a lease, again if the answer is of a later era.

        Raises:
            LeaseLostError: when it is not certain to be this host's lease.
        """
        while True:
            proven = await self._prove(lease)
            if proven is None:
                raise LeaseLostError(
                    f"lease {lease.number} of era {lease.era} is not known "
                    "to be this host's"
                )
            lease = self.lease = proven
            async with asyncio.timeout(seconds(STORE_CALL_TIMEOUT_MS)):
                era = await self.catalog.renew(lease)
            if era == lease.era:
                return

    async def _prove(self, lease: Lease) -> Lease | None:
        """Find out whether a lease is this host's in the store's era.

        Returns:
            The lease in that era; None when the store's copy does not have
            this host's entry under it, or when the copy was not read in time.
        """
        deadline_at = self.state.clock.now() + LEASE_PROOF_TIMEOUT_MS
        while True:
            era = self.state.store_era
            name = self.state.host_config.name
            verdict = store_return.judge_lease(
                lease, self.state.view, name, era
            )
            if verdict is LeaseState.VALID:
                return Lease(lease.number, era)
            remaining_ms = deadline_at - self.state.clock.now()
            if verdict is LeaseState.LOST or remaining_ms <= 0.0:
                return None
            await self._sleep_until_store_return(remaining_ms)

    def _registration_delay_ms(self) -> float:
        """Return a random delay that spreads the hosts' registrations."""
        host_count = len(self.state.view.hosts)
        longest_ms = min(
            MAX_REGISTRATION_SPREAD_MS, host_count * REGISTRATION_SPREAD_MS
        )
        return self.state.rng.uniform(0.0, longest_ms)

    async def _withdraw_again(self) -> None:
        """Remove an entry that the store's copy has brought back."""
        lease = self.withdrawn_lease
        if lease is None or lease.era == self.state.store_era:
            return
        proven = await self._prove(lease)
        if proven is not None:
            self.withdrawn_lease = proven
            self.state.log.add(
                "store", event="withdrawn_again", lease=lease.number
            )
            await self._revoke(proven)

    async def _revoke(self, lease: Lease) -> None:
        try:
            async with asyncio.timeout(seconds(STORE_CALL_TIMEOUT_MS)):
                await self.catalog.withdraw(lease)
        except (CatalogError, TimeoutError) as error:
            # The lease expires by itself shortly after.
            self.state.log.add(
                "store", event="withdraw_failed", cause=repr(error)
            )
