"""Reads the view of other hosts, for a host that starts."""

import asyncio
from collections.abc import Iterable

import aiohttp

from wigeongw.adapters import batch_codec
from wigeongw.adapters.bounded_read import read_body
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.core.clock import seconds
from wigeongw.core.site import Host
from wigeongw.gateway.relay import MAX_BATCH_BYTES
from wigeongw.gateway.relay import STATE_PATH
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import ChangeBatch

RESPONSE_TIMEOUT_MS = 400.0
# A starting host waits this long at most for the first answer.
FIRST_ANSWER_TIMEOUT_MS = 250.0
# Registered hosts that a starting host asks besides its seeds.
MAX_ASKED_HOSTS = 2
HTTP_OK = 200


class PeerReader:
    """Fetches what other hosts know of the site."""

    def __init__(
        self, state: GatewayState, session: aiohttp.ClientSession
    ) -> None:
        self.state = state
        self.session = session

    def seeds(self) -> list[str]:
        """Return the contact addresses of other hosts in random order."""
        host_config = self.state.host_config
        seeds = [
            seed for seed in host_config.seeds if seed != host_config.contact
        ]
        self.state.rng.shuffle(seeds)
        return seeds

    async def fetch_first(self, hosts: Iterable[Host]) -> ChangeBatch | None:
        """Return the view of the host that answers first.

        The seeds and a few of the hosts are asked at the same time.

        Args:
            hosts: the hosts that the store knows.

        Returns:
            The view; None when no host has one to give in time.
        """
        own_name = self.state.host_config.name
        peers = [h.peer for h in hosts if h.peer and h.name != own_name]
        count = min(MAX_ASKED_HOSTS, len(peers))
        addresses = [*self.seeds(), *self.state.rng.sample(peers, count)]
        asks = [asyncio.create_task(self.fetch(a)) for a in addresses]
        try:
            async with asyncio.timeout(seconds(FIRST_ANSWER_TIMEOUT_MS)):
                for ask in asyncio.as_completed(asks):
                    batch = await ask
                    if batch is not None:
                        return batch
        except TimeoutError:
            self.state.log.add("relay", event="no_peer_state")
        finally:
            for task in asks:
                task.cancel()
            await asyncio.gather(*asks, return_exceptions=True)
        return None

    async def fetch(self, address: str) -> ChangeBatch | None:
        """Return the view of one host; None when it gives none."""
        try:
            async with asyncio.timeout(seconds(RESPONSE_TIMEOUT_MS)):
                async with self.session.get(
                    f"http://{address}{STATE_PATH}"
                ) as response:
                    if response.status != HTTP_OK:
                        return None
                    raw = await read_body(response, MAX_BATCH_BYTES)
                    return batch_codec.decode(raw)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ChangeCodecError,
        ) as error:
            self.state.metrics.count("seed_failures_total")
            self.state.log.add(
                "relay", event="seed_failed", seed=address, cause=repr(error)
            )
            return None
