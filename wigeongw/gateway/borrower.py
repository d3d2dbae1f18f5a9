"""Bootstraps a starting host from a peer's view while the store is down.

Without it the host would refuse every request until the store is back,
although all other hosts keep serving.
"""

import asyncio

import aiohttp

from wigeongw.core.clock import seconds
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.relay import decode_batch
from wigeongw.gateway.relay import STATE_PATH
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import ChangeBatch

# A reachable store is normally read well within this time, so that no seed is
# asked.
POLL_INTERVAL_MS = 250.0
RESPONSE_TIMEOUT_MS = 400.0
HTTP_OK = 200


class Borrower:
    """Fetches the view of seed hosts until the store has been read."""

    def __init__(
        self,
        state: GatewayState,
        follower: Follower,
        session: aiohttp.ClientSession,
    ) -> None:
        self.state = state
        self.follower = follower
        self.session = session
        self.borrowed = False

    async def run(self) -> None:
        """Poll the seeds until the store has been read."""
        host_config = self.state.host_config
        seeds = [
            seed for seed in host_config.seeds if seed != host_config.contact
        ]
        while seeds and not self.follower.has_read_store:
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))
            self.state.rng.shuffle(seeds)
            await self._fetch_from_any(seeds)

    async def _fetch_from_any(self, seeds: list[str]) -> None:
        for seed in seeds:
            if self.follower.has_read_store:
                return
            batch = await self._fetch(seed)
            if batch is not None:
                self.follower.adopt_peer_batch(batch)
                return

    async def _fetch(self, seed: str) -> ChangeBatch | None:
        try:
            async with asyncio.timeout(seconds(RESPONSE_TIMEOUT_MS)):
                async with self.session.get(
                    f"http://{seed}{STATE_PATH}"
                ) as response:
                    if response.status != HTTP_OK:
                        return None
                    return decode_batch(await response.read())
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            CatalogError,
        ) as error:
            self.state.metrics.count("seed_failures_total")
            self.state.log.add(
                "relay", event="seed_failed", seed=seed, cause=repr(error)
            )
            return None
