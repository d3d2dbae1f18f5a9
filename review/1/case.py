"""An entry of another writer that cannot be read stops all updates."""

import asyncio
from contextlib import AsyncExitStack
import pathlib
import sys

from review import small_site
from review.small_site import Reply
from review.small_site import Site

AUTHORITY = "catalogue.example"
# Bytes that cannot be read: the beginnings of arrays that never end.
UNREADABLE = b"[" * 4_000
CONFIG_APPLY_S = small_site.BOUNDS["configApplyS"]
ENTRY_AT_S = 6.0
CHANGE_AT_S = 8.0
END_S = 20.0
SEND_INTERVAL_S = 0.04


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for service in ("old", "new"):
        for number, zone in enumerate(small_site.ZONES):
            site.add_upstream(f"i-{service}{number}", service, zone)
    routes = {"r-1": small_site.route(AUTHORITY, "safe", "old", 2.0)}
    services = ["old", "new"]
    await site.start(
        stack,
        [*small_site.ZONES, small_site.ZONES[0]],
        small_site.configuration(3, routes, services),
    )
    started_at = site.record.now()
    traffic = asyncio.create_task(_send_requests(site, started_at + END_S))
    if trouble:
        await asyncio.sleep(ENTRY_AT_S)
        await site.store.put("servers/other-writer", UNREADABLE)
        site.record.add("another writer's entry is acknowledged")
        await asyncio.sleep(CHANGE_AT_S - ENTRY_AT_S)
    else:
        await asyncio.sleep(CHANGE_AT_S)
    routes = {"r-1": small_site.route(AUTHORITY, "safe", "new", 2.0)}
    document = small_site.configuration(5, routes, services)
    await site.store.put("op/config", document)
    acknowledged_at = site.record.now()
    site.record.add("version 5 (route to the new service) is acknowledged")
    replies = await traffic
    late = {
        reply.request_id
        for reply in replies
        if reply.sent_at > acknowledged_at + CONFIG_APPLY_S
    }
    by_old = [
        arrival
        for arrival in site.arrivals
        if arrival.request_id in late and arrival.service == "old"
    ]
    site.record.add(
        f"{len(late)} requests were sent later than {CONFIG_APPLY_S} s after "
        f"the acknowledgement, {len(by_old)} of them ran at the old service"
    )
    if not late:
        raise small_site.SetupError("no request was sent late enough")
    return not by_old


async def _send_requests(site: Site, end_at: float) -> list[Reply]:
    sends = []
    while site.record.now() < end_at:
        host = site.hosts[len(sends) % len(site.hosts)]
        send = site.send(host, "GET", AUTHORITY, "/a/page", 4.0)
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(SEND_INTERVAL_S)
    return await asyncio.gather(*sends)


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
