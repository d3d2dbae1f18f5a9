"""Table 1: tail latency of all sharing policies, against a lower bound.

All policies run in the same daemons and are switched by settings, in turns
within one run. Each is compared with a single shared queue that gets the same
arrivals and the same work (``bench.limit``).
"""

import argparse
import asyncio
from dataclasses import asdict
from dataclasses import dataclass
import json
import sys

import uvloop

from bench import load
from bench import sites
from bench.limit import shared_queue_latencies
from bench.sites import Deployment
from standins.site_processes import SiteProcesses
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds

WARM_UP_DURATION_MS = 40_000.0
WARM_UP_WORK_MS = 40.0
WARM_UP_UTILIZATION = 0.5
DEADLINE_MS = 10_000.0
SETTLE_DELAY_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class Row:
    """Result of one sharing policy at one load.

    The field names are the keys of the JSON output. Latencies are in
    milliseconds.

    Attributes:
        way: Sharing policy.
        load: Share of the capacity of all slots.
        sent: Number of requests sent.
        good: Number of requests with a successful response.
        p50: Median latency of the successful requests.
        p99: 99th percentile of their latency.
        p999: 99.9th percentile of their latency.
        limit_p50: Median latency in the shared queue.
        limit_p99: 99th percentile in the shared queue.
        limit_p999: 99.9th percentile in the shared queue.
    """

    way: str
    load: float
    sent: int
    good: int
    p50: float
    p99: float
    p999: float
    limit_p50: float
    limit_p99: float
    limit_p999: float

    @property
    def ratio(self) -> float:
        """Return the p99 latency divided by that of the shared queue."""
        return self.p99 / self.limit_p99


async def measure(
    site: SiteProcesses,
    deployment: Deployment,
    policy: str,
    utilization: float,
    arguments: argparse.Namespace,
    seed: int,
) -> list[load.Sample]:
    """Run one policy at one load and return its samples.

    Args:
        site: The running site.
        deployment: The deployment that the site runs.
        policy: Sharing policy.
        utilization: Load as a share of the capacity of all slots.
        arguments: Command line arguments.
        seed: Seed of the arrivals.
    """
    names = list(site.admin_addresses)
    revision = await site.publish(
        sites.deployment_settings(deployment, permits={"sharing": policy})
    )
    await site.wait_revision(revision.number, names)
    addresses = [site.address(name) for name in names]
    capacity_per_s = deployment.slots / arguments.work_ms * MS_PER_S
    arrivals = load.draw_arrivals(
        capacity_per_s * utilization,
        arguments.seconds * MS_PER_S,
        arguments.work_ms,
        arguments.sigma,
        seed,
    )
    result = await load.send_arrivals(
        arrivals, lambda: addresses, deployment.path, DEADLINE_MS
    )
    return result.samples


def summarize(
    policy: str,
    utilization: float,
    rounds: list[list[load.Sample]],
    slots: int,
) -> Row:
    """Combine the rounds of one policy at one load.

    Args:
        policy: Sharing policy.
        utilization: Load as a share of the capacity of all slots.
        rounds: Samples of each round.
        slots: Number of slots of all upstreams together.
    """
    limit_latencies: list[float] = []
    samples: list[load.Sample] = []
    for round_samples in rounds:
        limit_latencies.extend(shared_queue_latencies(round_samples, slots))
        samples.extend(round_samples)
    successful = [s.latency_ms for s in samples if s.status == 200]
    return Row(
        policy,
        utilization,
        len(samples),
        len(successful),
        *(load.percentile(successful, p) for p in (50.0, 99.0, 99.9)),
        *(load.percentile(limit_latencies, p) for p in (50.0, 99.0, 99.9)),
    )


async def measure_all(arguments: argparse.Namespace) -> list[Row]:
    """Measure all policies at all loads, in turns."""
    deployment = sites.DEPLOYMENTS[arguments.deployment]
    rounds: dict[tuple[str, float], list[list[load.Sample]]] = {}
    async with SiteProcesses() as site:
        await sites.start_deployment(
            site,
            deployment,
            cold_work=10,
            work_ms=arguments.work_ms,
            stall_every_ms=arguments.stall_every_ms,
            seed=arguments.seed,
        )
        await warm_up(site, deployment, arguments.seed)
        for round_number in range(arguments.turns):
            for utilization in arguments.loads:
                for policy in arguments.ways:
                    seed = (
                        hash((arguments.seed, round_number, utilization))
                        % 2**31
                    )
                    samples = await measure(
                        site, deployment, policy, utilization, arguments, seed
                    )
                    rounds.setdefault((policy, utilization), []).append(
                        samples
                    )
                    row = summarize(
                        policy, utilization, [samples], deployment.slots
                    )
                    print(format_row(row), file=sys.stderr, flush=True)
    return [
        summarize(policy, utilization, rounds_of_case, deployment.slots)
        for (policy, utilization), rounds_of_case in sorted(rounds.items())
    ]


async def warm_up(
    site: SiteProcesses, deployment: Deployment, seed: int
) -> None:
    """Send load until every upstream is warm."""
    addresses = [site.address(name) for name in site.admin_addresses]
    rate = deployment.slots / WARM_UP_WORK_MS * MS_PER_S * WARM_UP_UTILIZATION
    arrivals = load.draw_arrivals(
        rate, WARM_UP_DURATION_MS, WARM_UP_WORK_MS, 0.0, seed
    )
    load_task = asyncio.create_task(
        load.send_arrivals(
            arrivals, lambda: addresses, deployment.path, DEADLINE_MS
        )
    )
    try:
        await site.wait_warm(
            next(iter(site.admin_addresses)), WARM_UP_DURATION_MS
        )
    finally:
        load_task.cancel()
        await asyncio.gather(load_task, return_exceptions=True)
    await asyncio.sleep(seconds(SETTLE_DELAY_MS))


def format_row(row: Row) -> str:
    """Return a row as a line of text."""
    return (
        f"{row.way:<16} {row.load:4.0%} sent {row.sent:6d} "
        f"good {row.good / max(1, row.sent):8.3%} p50 {row.p50:8.2f} "
        f"p99 {row.p99:8.2f} p99.9 {row.p999:8.2f} limit p99 "
        f"{row.limit_p99:8.2f} ratio {row.ratio:6.2f} "
        f"(p50 {row.p50 / row.limit_p50:5.2f} "
        f"p99.9 {row.p999 / row.limit_p999:5.2f})"
    )


def main() -> None:
    """Parse the command line, measure and print the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="qadri")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--turns", type=int, default=2)
    parser.add_argument("--work-ms", type=float, default=60.0)
    parser.add_argument("--sigma", type=float, default=1.0)
    parser.add_argument("--stall-every-ms", type=float, default=4000.0)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument(
        "--loads", type=float, nargs="+", default=[0.2, 0.5, 0.8, 0.95]
    )
    parser.add_argument(
        "--ways",
        nargs="+",
        default=[
            "permits",
            "least_in_flight",
            "two_random",
            "round_robin",
            "fixed",
        ],
    )
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    rows = uvloop.run(measure_all(arguments))
    print(f"command: {' '.join(sys.argv)}")
    for row in rows:
        print(format_row(row))
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump([asdict(row) for row in rows], file, indent=1)


if __name__ == "__main__":
    main()
