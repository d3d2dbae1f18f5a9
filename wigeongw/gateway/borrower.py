"""Lets a host that starts while the store is away begin with a peer's view.

Without it the host would refuse everybody until the store is back, though
all hosts around it serve.
"""

import asyncio

import aiohttp

from wigeongw.core.clock import seconds
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.relay import read_answer
from wigeongw.gateway.relay import STATE_PATH
from wigeongw.gateway.state import HostState
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import Reading

# A store that is there is read well within this time.
ASK_EVERY_MS = 250.0
ANSWER_MS = 400.0
OK = 200


class Borrower:
    """Asks seeds for what they know while this host has nothing better."""

    def __init__(
        self,
        state: HostState,
        follower: Follower,
        session: aiohttp.ClientSession,
    ) -> None:
        self.state = state
        self.follower = follower
        self.session = session
        self.borrowed = False

    async def run(self) -> None:
        """Ask again and again until the store was read."""
        me = self.state.me
        seeds = [seed for seed in me.seeds if seed != me.contact]
        while seeds and not self.follower.known:
            await asyncio.sleep(seconds(ASK_EVERY_MS))
            self.state.rng.shuffle(seeds)
            await self._ask_one_of(seeds)

    async def _ask_one_of(self, seeds: list[str]) -> None:
        for seed in seeds:
            if self.follower.known:
                return
            reading = await self._ask(seed)
            if reading is not None:
                self.follower.borrow(reading)
                return

    async def _ask(self, seed: str) -> Reading | None:
        try:
            async with asyncio.timeout(seconds(ANSWER_MS)):
                async with self.session.get(
                    f"http://{seed}{STATE_PATH}"
                ) as response:
                    if response.status != OK:
                        return None
                    return read_answer(await response.read())
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
