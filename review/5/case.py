"""The directory names a machine that was lost while the store was down."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
import pathlib
import sys

from review.stand_ins import small_site
from review.stand_ins.small_site import Host
from review.stand_ins.small_site import Reply
from review.stand_ins.small_site import Site

AUTHORITY = "catalogue.example"
CONTACT_S = small_site.BOUNDS["contactS"]
# A machine may be named for so long after its loss (rule DRAIN).
NAMED_S = CONTACT_S + 3
# More answers than these break the rule.
MAX_ANSWERS = 3
DOWN_AT_S = 8.0
DOWN_S = 8.0
WATCHED_S = 8.0
LOOKUP_INTERVAL_S = 0.1
SERVICE_UNAVAILABLE = 503


@dataclass
class Lookup:
    """An answer of a host's directory."""

    at_s: float
    host: str
    reply: Reply


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    zones = small_site.ZONES
    for number, zone in enumerate(zones):
        site.add_upstream(f"i-{number}", "catalogue", zone)
    routes = {"r-1": small_site.route(AUTHORITY, "safe", "catalogue", 2.0)}
    document = small_site.configuration(3, routes, ["catalogue"])
    await site.start(stack, [*zones, zones[0]], document)
    lost, *others = site.hosts
    await asyncio.sleep(DOWN_AT_S)
    if trouble:
        site.store.faults.status = SERVICE_UNAVAILABLE
        site.store.pause_leases()
        site.record.add("the store is down (503); leases pause")
    await lost.end()
    lost_at = site.record.now()
    site.record.add(f"{lost.name} is lost for good")
    await asyncio.sleep(DOWN_S)
    if trouble:
        site.store.faults.status = 0
        site.store.resume_leases()
        site.record.add("the store is back; leases go on")
    back_at = site.record.now()
    lookups = await _look_up(site, others, back_at + WATCHED_S)
    judged_from = max(back_at + CONTACT_S, lost_at + NAMED_S)
    address = lost.listen["front"]
    judged = [lookup for lookup in lookups if lookup.at_s > judged_from]
    wrong = [lookup for lookup in judged if _names(lookup, address, others)]
    for lookup in wrong:
        site.record.add(
            f"at {lookup.at_s:.3f} {lookup.host} named {address}, lost "
            f"{lookup.at_s - lost_at:.3f} s before"
        )
    site.record.add(
        f"{len(judged)} answers of machines in touch, {len(wrong)} of them "
        "name the lost machine"
    )
    if not judged:
        raise small_site.SetupError("no answer of the directory")
    return len(wrong) <= MAX_ANSWERS


def _names(lookup: Lookup, address: str, others: list[Host]) -> bool:
    """Return whether an answer names the lost machine beside a running one."""
    body = lookup.reply.body.decode()
    names_running = any(host.listen["front"] in body for host in others)
    return lookup.reply.status == 200 and address in body and names_running


async def _look_up(
    site: Site, hosts: list[Host], end_at: float
) -> list[Lookup]:
    lookups = []
    while site.record.now() < end_at:
        for host in hosts:
            ip, _, port = host.listen["directory"].partition(":")
            target = f"/resolve?name={AUTHORITY}&region=cymru&zone=caerdydd"
            reply = await small_site.exchange(
                ip, int(port), "GET", target, {}, b""
            )
            lookups.append(Lookup(site.record.now(), host.name, reply))
            site.record.add(
                f"{host.name} answers a look-up: {reply.body.decode()}"
            )
        await asyncio.sleep(LOOKUP_INTERVAL_S)
    return lookups


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
