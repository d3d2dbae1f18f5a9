"""The store's catalog, with the era of each answer checked.

The store may come back from an older copy of itself. It counts these returns
as eras and names the era in its answers. Revisions and leases that it gave out
in one era mean nothing in the next.
"""

from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.site import Host
from wigeongw.decisions import store_return
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import EraChangedError
from wigeongw.ports.catalog import HistoryLostError
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import LeaseLostError
from wigeongw.ports.catalog import StorePosition

EARLIER_ERA_LOG_INTERVAL_MS = 10_000.0


class EraCatalog:
    """Checks the eras of a store's answers; implements the Catalog port.

    An answer of an earlier era than the highest one known to this host is
    refused: it was on its way when the store came back, or is stale. An
    answer without a readable era counts as one of the era that is known.

    Attributes:
        earlier_throttle: bounds the lines about answers of earlier eras.
    """

    def __init__(self, state: GatewayState, store: Catalog) -> None:
        self.state = state
        self.store = store
        self.earlier_throttle = LogThrottle(EARLIER_ERA_LOG_INTERVAL_MS)

    async def read(self, fresh: bool) -> ChangeBatch:
        """Read everything."""
        batch = await self.store.read(fresh)
        era = self._check_era(batch.position.era)
        position = StorePosition(era, batch.position.revision)
        return ChangeBatch(batch.changes, position, is_full=True)

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        """Wait for changes after a position.

        Raises:
            EraChangedError: when the position is of an earlier era.
            HistoryLostError: when its era has no history from there on.
        """
        self._require_current_era(position)
        try:
            batch = await self.store.watch(position, wait_ms)
        except HistoryLostError as error:
            self._check_era(error.era)
            self._require_current_era(position)
            raise
        era = self._check_era(batch.position.era)
        self._require_current_era(position)
        answered = StorePosition(era, batch.position.revision)
        return ChangeBatch(batch.changes, answered)

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        """Write a host's entry under a new lease."""
        lease = await self.store.register(host, lifetime_ms)
        return Lease(lease.number, self._check_era(lease.era))

    async def renew(self, lease: Lease) -> int:
        """Renew a lease and return the era of the answer."""
        try:
            era = await self.store.renew(lease)
        except LeaseLostError as error:
            self._check_era(error.era)
            raise
        return self._check_era(era)

    async def withdraw(self, lease: Lease) -> None:
        """Revoke a lease."""
        await self.store.withdraw(lease)

    def _check_era(self, era: int) -> int:
        """Record the era of an answer.

        Returns:
            The era, or the highest one known if the answer named none.

        Raises:
            CatalogError: when the answer is of an earlier era.
        """
        known = self.state.store_era
        try:
            newest = store_return.newest_era(known, era)
        except ValueError as error:
            if self.earlier_throttle.allows("", self.state.clock.now()):
                self.state.log.add(
                    "store", event="earlier_era", era=era, known=known
                )
            raise CatalogError(str(error), era) from error
        self.state.learn_era(newest)
        return newest

    def _require_current_era(self, position: StorePosition) -> None:
        if position.era < self.state.store_era:
            raise EraChangedError(
                f"position {position.revision} is of era {position.era}, "
                f"the store is in era {self.state.store_era}",
                self.state.store_era,
            )
