"""Bootstraps a starting host from a peer's view while the store is down.

Without it the host would refuse every request until the store is back,
although all other hosts keep serving.
"""

import asyncio

from wigeongw.core.clock import seconds
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.peer_reader import PeerReader

# A reachable store is normally read well within this time, so that no seed is
# asked.
POLL_INTERVAL_MS = 250.0


class Borrower:
    """Fetches the view of seed hosts until the store has been read."""

    def __init__(self, follower: Follower, peer_reader: PeerReader) -> None:
        self.follower = follower
        self.peer_reader = peer_reader

    async def run(self) -> None:
        """Poll the seeds until the store has been read."""
        while self.peer_reader.seeds() and not self.follower.has_read_store:
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))
            await self._fetch_from_any()

    async def _fetch_from_any(self) -> None:
        for seed in self.peer_reader.seeds():
            if self.follower.has_read_store:
                return
            batch = await self.peer_reader.fetch(seed)
            if batch is not None:
                self.follower.adopt_peer_batch(batch)
                return
