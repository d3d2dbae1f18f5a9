"""Table 1: tail latency against other ways of sharing and the limit.

All ways run in the same daemons, switched by settings, in turns within one
run; each is compared with the shared queue of its own arrivals and work.
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
from bench.limit import shared_queue
from bench.sites import Deployment
from standins.site import SiteProcesses
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds

WARM_UP_MOST_MS = 40_000.0
WARM_UP_WORK_MS = 40.0
WARM_UP_LOAD = 0.5
DEADLINE_MS = 10_000.0
SETTLE_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class Row:
    """One way of sharing at one load."""

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
        """Return p99 over the limit's p99."""
        return self.p99 / self.limit_p99


async def measure(
    site: SiteProcesses,
    deployment: Deployment,
    way: str,
    level: float,
    arguments: argparse.Namespace,
    seed: int,
) -> list[load.Sample]:
    """Run one way at one load and return its samples."""
    names = list(site.admin)
    revision = await site.publish(
        sites.text(deployment, permits={"sharing": way})
    )
    await site.wait_revision(revision.number, names)
    known = [site.address(name) for name in names]
    full = deployment.slots / arguments.work_ms * MS_PER_S
    arrivals = load.plan(
        full * level,
        arguments.seconds * MS_PER_S,
        arguments.work_ms,
        arguments.sigma,
        seed,
    )
    result = await load.run(
        arrivals, lambda: known, deployment.path, DEADLINE_MS
    )
    return result.samples


def summarize(
    way: str, level: float, turns: list[list[load.Sample]], slots: int
) -> Row:
    """Put the turns of one way at one load together."""
    limits: list[float] = []
    samples: list[load.Sample] = []
    for turn in turns:
        limits.extend(shared_queue(turn, slots))
        samples.extend(turn)
    good = [s.took_ms for s in samples if s.status == 200]
    return Row(
        way,
        level,
        len(samples),
        len(good),
        *(load.percentile(good, p) for p in (50.0, 99.0, 99.9)),
        *(load.percentile(limits, p) for p in (50.0, 99.0, 99.9)),
    )


async def run(arguments: argparse.Namespace) -> list[Row]:
    """Measure all ways at all loads."""
    deployment = sites.DEPLOYMENTS[arguments.deployment]
    turns: dict[tuple[str, float], list[list[load.Sample]]] = {}
    async with SiteProcesses() as site:
        await sites.start(
            site,
            deployment,
            cold_work=10,
            work_ms=arguments.work_ms,
            stall_every_ms=arguments.stall_every_ms,
            seed=arguments.seed,
        )
        await warm_up(site, deployment, arguments.seed)
        for turn in range(arguments.turns):
            for level in arguments.loads:
                for way in arguments.ways:
                    seed = hash((arguments.seed, turn, level)) % 2**31
                    found = await measure(
                        site, deployment, way, level, arguments, seed
                    )
                    turns.setdefault((way, level), []).append(found)
                    row = summarize(way, level, [found], deployment.slots)
                    print(line(row), file=sys.stderr, flush=True)
    return [
        summarize(way, level, found, deployment.slots)
        for (way, level), found in sorted(turns.items())
    ]


async def warm_up(
    site: SiteProcesses, deployment: Deployment, seed: int
) -> None:
    """Send load until every upstream is warm."""
    known = [site.address(name) for name in site.admin]
    rate = deployment.slots / WARM_UP_WORK_MS * MS_PER_S * WARM_UP_LOAD
    arrivals = load.plan(rate, WARM_UP_MOST_MS, WARM_UP_WORK_MS, 0.0, seed)
    sending = asyncio.create_task(
        load.run(arrivals, lambda: known, deployment.path, DEADLINE_MS)
    )
    try:
        await site.wait_warm(next(iter(site.admin)), WARM_UP_MOST_MS)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    await asyncio.sleep(seconds(SETTLE_MS))


def line(row: Row) -> str:
    """Return a row as readable text."""
    return (
        f"{row.way:<16} {row.load:4.0%} sent {row.sent:6d} "
        f"good {row.good / max(1, row.sent):8.3%} p50 {row.p50:8.2f} "
        f"p99 {row.p99:8.2f} p99.9 {row.p999:8.2f} limit p99 "
        f"{row.limit_p99:8.2f} ratio {row.ratio:6.2f} "
        f"(p50 {row.p50 / row.limit_p50:5.2f} "
        f"p99.9 {row.p999 / row.limit_p999:5.2f})"
    )


def main() -> None:
    """Read the arguments, measure and print."""
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
    rows = uvloop.run(run(arguments))
    print(f"command: {' '.join(sys.argv)}")
    for row in rows:
        print(line(row))
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump([asdict(row) for row in rows], file, indent=1)


if __name__ == "__main__":
    main()
