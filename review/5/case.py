"""After a cut watch, an upstream that left gets requests for too long."""

import asyncio
from contextlib import AsyncExitStack
import pathlib
import sys

from review import small_site
from review.small_site import Site
from review.watch_cutter import CuttingStore

AUTHORITY = "orders.example"
DRAIN_S = small_site.BOUNDS["drainS"]
# All machines are in touch by then, and again before each further removal.
FIRST_REMOVAL_S = 6.0
REMOVAL_INTERVAL_S = 8.0
# Of eight upstreams, so that no more than a fifth leaves at a time.
REMOVALS = 4
# For so long the store cuts each watch that waits.
CUT_S = 0.05
SEND_INTERVAL_S = 0.01
# Of the clients' requests; within what the remaining upstreams bear.
WORK_S = 0.04


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    store = CuttingStore()
    site.store = store
    zone = small_site.ZONES[0]
    leaving = [f"i-leaves{number}" for number in range(REMOVALS)]
    for identity in (*leaving, *(f"i-stays{number}" for number in range(4))):
        site.add_upstream(identity, "orders", zone, WORK_S)
    routes = {"r-1": small_site.route(AUTHORITY, "unsafe", "orders", 2.5)}
    document = small_site.configuration(3, routes, ["orders"])
    await site.start(stack, [zone, zone], document)
    end_at = (
        site.record.now() + FIRST_REMOVAL_S + REMOVALS * REMOVAL_INTERVAL_S
    )
    traffic = asyncio.create_task(_send_requests(site, end_at))
    gone_at: dict[str, float] = {}
    await asyncio.sleep(FIRST_REMOVAL_S)
    for identity in leaving:
        next_at = site.record.now() + REMOVAL_INTERVAL_S
        if trouble:
            count = await store.cut_waiting_watches(CUT_S)
            site.record.add(f"the store has cut {count} watches that waited")
        # The upstream reports no draining and goes on serving.
        await site.store.delete([f"servers/{identity}"])
        gone_at[identity] = site.record.now()
        site.record.add(f"the removal of {identity} is acknowledged")
        await asyncio.sleep(next_at - site.record.now())
    await traffic
    late = [
        (arrival, arrival.at_s - gone_at[arrival.upstream])
        for arrival in site.arrivals
        if arrival.upstream in gone_at
        and arrival.at_s > gone_at[arrival.upstream] + DRAIN_S
    ]
    for arrival, late_s in late:
        site.record.add(
            f"{arrival.request_id} reached {arrival.upstream} {late_s:.3f} s "
            "after the acknowledgement"
        )
    site.record.add(
        f"{len(late)} requests reached an upstream later than {DRAIN_S} s "
        "after its removal was acknowledged"
    )
    for identity in leaving:
        if not any(a.upstream == identity for a in site.arrivals):
            raise small_site.SetupError(f"{identity} got no request at all")
    return not late


async def _send_requests(site: Site, end_at: float) -> None:
    sends = []
    while site.record.now() < end_at:
        host = site.hosts[len(sends) % len(site.hosts)]
        send = site.send(host, "POST", AUTHORITY, "/a/order", 5.0, b"sign")
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*sends)


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
