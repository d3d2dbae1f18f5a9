"""Many versions of a configuration fill the memory of a host."""

import asyncio
from contextlib import AsyncExitStack
import pathlib
import sys

from review import memory_limit
from review import small_site
from review.memory_limit import WatchedSite
from review.small_site import Site

AUTHORITY = "orders.example"
TARGET = "/a/order"
ORDER = b"0" * 300
# The configuration has grown four times, by 425 routes as in the site file.
EXTRA_ROUTES = 4 * 425
# Versions come as in config_storm of the site file: one each 0.33 s for 4 s.
STORM_GAP_S = 0.33
VERSIONS_PER_STORM = 12
STORM_PAUSE_S = 1.0
STORMS = 20
CLIENTS_PER_HOST = 6
# Mean work of order-place in the users' sheet.
WORK_S = 0.29
TIMEOUT_S = 2.5
END_MARGIN_S = 1.0


def _configuration(version: int) -> dict[str, object]:
    routes = {
        f"r-{number}": {
            **small_site.route(f"h{number}.example", "safe", "orders", 2.0),
            "prefix": f"/p{number}/",
        }
        for number in range(EXTRA_ROUTES)
    }
    routes["r-orders"] = small_site.route(
        AUTHORITY, "unsafe", "orders", TIMEOUT_S
    )
    return small_site.configuration(version, routes, ["orders"])


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number, zone in enumerate(small_site.ZONES * 3):
        site.add_upstream(f"i-{number}", "orders", zone, WORK_S)
    await site.start(stack, list(small_site.ZONES), _configuration(1))
    watched = WatchedSite(site, CLIENTS_PER_HOST)
    watched.start(stack, AUTHORITY, TARGET, ORDER)
    version = 1
    for _ in range(STORMS):
        await asyncio.sleep(STORM_PAUSE_S)
        for _ in range(VERSIONS_PER_STORM):
            await asyncio.sleep(STORM_GAP_S)
            if trouble and not watched.any_killed():
                version += 1
                await site.store.put("op/config", _configuration(version))
        site.record.add(f"version {version} is acknowledged")
        if watched.any_killed():
            break
    await asyncio.sleep(END_MARGIN_S)
    return watched.count_cut_requests() <= memory_limit.MAX_CUT_REQUESTS


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
