"""Table 3: service while an availability zone leaves and returns.

Load continues at a share of the capacity of all slots. Meanwhile a zone is
evacuated by settings and returns with cold upstreams, or is lost in a power
cut. Successful responses are counted in buckets of 100 ms.
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
from standins.site_processes import SiteProcesses
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds

BUCKET_MS = 100.0
LEAVE_AT_MS = 4_000.0
RETURN_AT_MS = 12_000.0
DURATION_MS = 24_000.0
DEADLINE_MS = 1_500.0


def zone_settings(deployment: Deployment, zone: str, state: str) -> str:
    """Return settings with one availability zone in a state.

    Args:
        deployment: The deployment.
        zone: Availability zone.
        state: ``in`` or ``out``.
    """
    zones: dict[str, dict[str, object]] = {
        z: {"distance_ms": 0.05} for z in deployment.upstreams_per_zone
    }
    zones[zone]["state"] = state
    return sites.deployment_settings(deployment, availability_zones=zones)


async def evacuate_zone(
    site: SiteProcesses, deployment: Deployment, zone: str
) -> None:
    """Evacuate a zone by settings and restore it with cold upstreams."""
    await asyncio.sleep(seconds(LEAVE_AT_MS))
    await site.publish(zone_settings(deployment, zone, "out"))
    await asyncio.sleep(seconds(RETURN_AT_MS - LEAVE_AT_MS))
    for upstream in site.listing.upstreams:
        if upstream.availability_zone == zone:
            await site.control(upstream.name, "cold", {"restart": True})
    await site.publish(zone_settings(deployment, zone, "in"))


async def cut_zone_power(
    site: SiteProcesses, deployment: Deployment, zone: str
) -> None:
    """Kill a zone's upstreams and entry hosts, without restarting them."""
    await asyncio.sleep(seconds(LEAVE_AT_MS))
    site.processes[f"{zone}-1"].kill()
    for host in site.listing.entry_hosts:
        if host.availability_zone == zone:
            site.processes[host.name].kill()


async def measure(arguments: argparse.Namespace) -> dict[str, object]:
    """Run the scenario that the command line names, under load."""
    deployment = sites.DEPLOYMENTS[arguments.deployment]
    zone = list(deployment.upstreams_per_zone)[-1]
    scenario = {"planned": evacuate_zone, "power-cut": cut_zone_power}[
        arguments.scene
    ]
    async with SiteProcesses() as site:
        await sites.start_deployment(
            site,
            deployment,
            cold_work=10,
            work_ms=arguments.work_ms,
            stall_every_ms=arguments.stall_every_ms,
            seed=arguments.seed,
        )
        await tail.warm_up(site, deployment, arguments.seed)
        rate = deployment.slots / arguments.work_ms * MS_PER_S
        arrivals = load.draw_arrivals(
            rate * arguments.load,
            DURATION_MS,
            arguments.work_ms,
            arguments.sigma,
            arguments.seed,
        )
        addresses = [
            h.address
            for h in site.listing.entry_hosts
            if arguments.scene == "planned" or h.availability_zone != zone
        ]
        scenario_task = asyncio.create_task(scenario(site, deployment, zone))
        result = await load.send_arrivals(
            arrivals, lambda: addresses, deployment.path, DEADLINE_MS
        )
        await scenario_task
    surviving_share = 1 - deployment.upstreams_per_zone[zone] / sum(
        deployment.upstreams_per_zone.values()
    )
    return summarize(result.samples, arguments.load, surviving_share)


def count_by_bucket(samples: Sequence[Sample]) -> list[tuple[int, int]]:
    """Return the numbers of requests sent and in time for each bucket.

    A request is in time if it succeeded within the deadline. Requests belong
    to the bucket in which they were due.
    """
    buckets = [[0, 0] for _ in range(int(DURATION_MS / BUCKET_MS))]
    for sample in samples:
        bucket = buckets[int(sample.due_ms / BUCKET_MS)]
        bucket[0] += 1
        bucket[1] += sample.status == 200 and sample.latency_ms <= DEADLINE_MS
    return [(sent, good) for sent, good in buckets]


def summarize(
    samples: Sequence[Sample], utilization: float, surviving_share: float
) -> dict[str, object]:
    """Summarize the service before, during and after the outage.

    Args:
        samples: All requests of the run.
        utilization: Load as a share of the capacity of all slots.
        surviving_share: Share of the capacity outside the zone.
    """
    buckets = count_by_bucket(samples)
    parts = {
        "before": (0.0, LEAVE_AT_MS),
        "first 2 s": (LEAVE_AT_MS, LEAVE_AT_MS + 2_000.0),
        "out": (LEAVE_AT_MS + 2_000.0, RETURN_AT_MS),
        "after": (RETURN_AT_MS, DURATION_MS),
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
    rows["could be served"] = round(min(1.0, surviving_share / utilization), 4)
    rows["not good"] = len(samples) - sum(g for _, g in buckets)
    outcomes: dict[str, int] = {}
    for sample in samples:
        if sample.status != 200:
            key = f"{sample.status} {sample.outcome}"
            outcomes[key] = outcomes.get(key, 0) + 1
    rows["failures"] = outcomes
    return rows


def main() -> None:
    """Parse the command line, measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scene", choices=["planned", "power-cut"])
    parser.add_argument("--deployment", default="qadri")
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--work-ms", type=float, default=120.0)
    parser.add_argument("--sigma", type=float, default=0.5)
    parser.add_argument("--stall-every-ms", type=float, default=4000.0)
    parser.add_argument("--seed", type=int, default=11)
    result = uvloop.run(measure(parser.parse_args()))
    print(f"command: {' '.join(sys.argv)}")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
