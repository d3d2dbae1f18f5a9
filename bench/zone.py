"""Table 3: service while an availability zone leaves and returns.

Load goes on at a share of all slots while a zone leaves by settings, or with
its power, and returns cold. Each 100 ms shows what was answered in time.
"""

import argparse
import asyncio
from collections.abc import Sequence
import json
import sys

import uvloop

from bench import load
from bench import sites
from bench import tail
from bench.load import Sample
from bench.sites import Deployment
from standins.site import SiteProcesses
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds

BUCKET_MS = 100.0
LEAVES_MS = 4_000.0
RETURNS_MS = 12_000.0
LENGTH_MS = 24_000.0
DEADLINE_MS = 1_500.0


def zone_text(deployment: Deployment, zone: str, state: str) -> str:
    """Return settings with one availability zone in or out."""
    zones: dict[str, dict[str, object]] = {
        z: {"distance_ms": 0.05} for z in deployment.upstreams
    }
    zones[zone]["state"] = state
    return sites.text(deployment, availability_zones=zones)


async def planned(
    site: SiteProcesses, deployment: Deployment, zone: str
) -> None:
    """Take a zone out by settings, and back with cold upstreams."""
    await asyncio.sleep(seconds(LEAVES_MS))
    await site.publish(zone_text(deployment, zone, "out"))
    await asyncio.sleep(seconds(RETURNS_MS - LEAVES_MS))
    for upstream in site.listing.upstreams:
        if upstream.availability_zone == zone:
            await site.control(upstream.name, "cold", {"restart": True})
    await site.publish(zone_text(deployment, zone, "in"))


async def power_cut(
    site: SiteProcesses, deployment: Deployment, zone: str
) -> None:
    """Kill a zone's upstreams and entry hosts; bring upstreams back cold."""
    await asyncio.sleep(seconds(LEAVES_MS))
    site.processes[f"{zone}-1"].kill()
    for host in site.listing.entry_hosts:
        if host.availability_zone == zone:
            site.processes[host.name].kill()


async def run(arguments: argparse.Namespace) -> dict[str, object]:
    """Run one way of leaving under load."""
    deployment = sites.DEPLOYMENTS[arguments.deployment]
    zone = list(deployment.upstreams)[-1]
    scene = {"planned": planned, "power-cut": power_cut}[arguments.scene]
    async with SiteProcesses() as site:
        await sites.start(
            site,
            deployment,
            cold_work=10,
            work_ms=arguments.work_ms,
            stall_every_ms=arguments.stall_every_ms,
            seed=arguments.seed,
        )
        await tail.warm_up(site, deployment, arguments.seed)
        rate = deployment.slots / arguments.work_ms * MS_PER_S
        arrivals = load.plan(
            rate * arguments.load,
            LENGTH_MS,
            arguments.work_ms,
            arguments.sigma,
            arguments.seed,
        )
        known = [
            h.address
            for h in site.listing.entry_hosts
            if arguments.scene == "planned" or h.availability_zone != zone
        ]
        acting = asyncio.create_task(scene(site, deployment, zone))
        result = await load.run(
            arrivals, lambda: known, deployment.path, DEADLINE_MS
        )
        await acting
    surviving = 1 - deployment.upstreams[zone] / sum(
        deployment.upstreams.values()
    )
    return summarize(result.samples, arguments.load, surviving)


def good_shares(samples: Sequence[Sample]) -> list[tuple[int, int]]:
    """Return sent and answered in time for each 100 ms."""
    buckets = [[0, 0] for _ in range(int(LENGTH_MS / BUCKET_MS))]
    for sample in samples:
        bucket = buckets[int(sample.due_ms / BUCKET_MS)]
        bucket[0] += 1
        bucket[1] += sample.status == 200 and sample.took_ms <= DEADLINE_MS
    return [(sent, good) for sent, good in buckets]


def summarize(
    samples: Sequence[Sample], level: float, surviving: float
) -> dict[str, object]:
    """Work out the lowest point and the way back."""
    buckets = good_shares(samples)
    parts = {
        "before": (0.0, LEAVES_MS),
        "first 2 s": (LEAVES_MS, LEAVES_MS + 2_000.0),
        "out": (LEAVES_MS + 2_000.0, RETURNS_MS),
        "after": (RETURNS_MS, LENGTH_MS),
    }
    rows: dict[str, object] = {}
    for name, (begin, end) in parts.items():
        first, last = int(begin / BUCKET_MS), int(end / BUCKET_MS)
        sent = sum(s for s, _ in buckets[first:last])
        good = sum(g for _, g in buckets[first:last])
        rows[name] = {
            "sent": sent,
            "good": good,
            "share": round(good / max(1, sent), 4),
        }
    shares = [g / s for s, g in buckets if s]
    rows["lowest 100 ms"] = round(min(shares), 4)
    rows["could be served"] = round(min(1.0, surviving / level), 4)
    rows["not good"] = len(samples) - sum(g for _, g in buckets)
    outcomes: dict[str, int] = {}
    for sample in samples:
        if sample.status != 200:
            key = f"{sample.status} {sample.outcome}"
            outcomes[key] = outcomes.get(key, 0) + 1
    rows["failures"] = outcomes
    return rows


def main() -> None:
    """Read the arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scene", choices=["planned", "power-cut"])
    parser.add_argument("--deployment", default="qadri")
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--work-ms", type=float, default=120.0)
    parser.add_argument("--sigma", type=float, default=0.5)
    parser.add_argument("--stall-every-ms", type=float, default=4000.0)
    parser.add_argument("--seed", type=int, default=11)
    found = uvloop.run(run(parser.parse_args()))
    print(f"command: {' '.join(sys.argv)}")
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
