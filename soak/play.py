"""One play: faults overlap for a while, then everything must be well."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
import pathlib
import random
import time

from soak import faults
from soak import promises
from soak.faults import FAULTS
from soak.site import Site

FOR_S = (0.2, 1.8)
EVERY_S = 0.5
# After the last fault: leases of the dead lapse and everybody has heard it.
SETTLE_S = 7.0
WELL_S = 1.0
WELL_SHARE = 0.98


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a play showed.

    Attributes:
        ended: how callers' attempts ended, by status; 0 for none.
    """

    seed: int
    broken: list[str]
    struck: list[str]
    ended: Counter[int]


async def play(seed: int, length_s: float, folder: pathlib.Path) -> Outcome:
    """Play one seed; hosts write their logs into the folder."""
    async with AsyncExitStack() as stack:
        site = Site(seed, folder, stack)
        await site.start()
        await _disturb(site, length_s)
        await asyncio.sleep(SETTLE_S)
        await _check_well(site)
        for task in site.calling:
            task.cancel()
        for host in site.hosts:
            assert host.process is not None
            if host.process.returncode is not None:
                code = host.process.returncode
                site.seen.mistakes.append(f"{host.name}: ended with {code}")
        return Outcome(
            seed,
            promises.check(site.seen),
            [trouble.what for trouble in site.seen.troubles],
            Counter(asked.status for asked in site.seen.asked),
        )


async def _disturb(site: Site, length_s: float) -> None:
    rng = random.Random(site.seed)
    ends = time.monotonic() + length_s
    striking = []
    while time.monotonic() < ends:
        name = rng.choice(sorted(FAULTS))
        strike = faults.strike(name, site, rng.uniform(*FOR_S))
        striking.append(asyncio.create_task(strike))
        await asyncio.sleep(rng.expovariate(1.0 / EVERY_S))
    await asyncio.gather(*striking)


async def _check_well(site: Site) -> None:
    """Check that all hosts serve, and name each other and nobody else."""
    await site.until_ready()
    fronts = {host.me.front for host in site.hosts}
    for host in site.hosts:
        named = await site.addresses(host)
        if not named <= fronts or len(named) < min(2, len(fronts)):
            site.seen.mistakes.append(f"{host.name} names {sorted(named)}")
    began = time.monotonic()
    await asyncio.sleep(WELL_S)
    late = [a for a in site.seen.asked if a.sent > began]
    good = sum(a.status == 200 for a in late)
    if good < WELL_SHARE * len(late) or not late:
        site.seen.mistakes.append(
            f"after all faults {good} of {len(late)} were served"
        )
