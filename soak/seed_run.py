"""One soak run: overlapping faults, then a check that the site recovered."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
import pathlib
import random
import time

from soak import faults
from soak import invariants
from soak import limits
from soak.faults import FAULTS
from soak.site import Site

FAULT_DURATION_RANGE_S = (0.2, 1.8)
MEAN_FAULT_INTERVAL_S = 0.5
# Time after the last fault in which the leases of killed hosts expire and
# every host learns that they did.
SETTLE_DELAY_S = 7.0
RECOVERY_CHECK_S = 1.0
# Log event of a background task that had to be started again.
TASK_FAILURE = "event=task_failed"
MIN_RECOVERED_SUCCESS_SHARE = 0.98


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run.

    Attributes:
        seed: Seed of the run.
        violations: Descriptions of the invariants that were violated.
        fault_names: Names of the injected faults in order of their start.
        status_counts: Number of client requests by response status; 0
            counts those without a complete response.
    """

    seed: int
    violations: list[str]
    fault_names: list[str]
    status_counts: Counter[int]


async def run_seed(
    seed: int, duration_s: float, folder: pathlib.Path
) -> RunResult:
    """Run one seed.

    Args:
        seed: Seed of all random choices.
        duration_s: Seconds during which new faults begin.
        folder: Folder for the logs and settings of the hosts.
    """
    async with AsyncExitStack() as stack:
        site = Site(seed, folder, stack)
        await site.start()
        await asyncio.gather(
            _inject_faults(site, duration_s),
            limits.name_limits(site, duration_s),
        )
        await asyncio.sleep(SETTLE_DELAY_S)
        await _check_recovered(site)
        for task in site.client_tasks:
            task.cancel()
        for host in site.hosts:
            assert host.process is not None
            if host.process.returncode is not None:
                code = host.process.returncode
                site.history.failures.append(
                    f"{host.name}: process ended with exit code {code}"
                )
            if TASK_FAILURE in host.log_file.read_text(encoding="utf-8"):
                site.history.failures.append(
                    f"{host.name}: a background task failed, see its log"
                )
        return RunResult(
            seed,
            invariants.find_violations(site.history),
            [d.name for d in site.history.disturbances],
            Counter(r.status for r in site.history.requests),
        )


async def _inject_faults(site: Site, duration_s: float) -> None:
    rng = random.Random(site.seed)
    ends_at = time.monotonic() + duration_s
    tasks = []
    while time.monotonic() < ends_at:
        name = rng.choice(sorted(FAULTS))
        injection = faults.inject(
            name, site, rng.uniform(*FAULT_DURATION_RANGE_S)
        )
        tasks.append(asyncio.create_task(injection))
        await asyncio.sleep(rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_S))
    await asyncio.gather(*tasks)


async def _check_recovered(site: Site) -> None:
    """Check that every host is ready, resolves addresses and serves.

    Each host must resolve only to addresses of entry hosts, and to at least
    two of them when there are that many.
    """
    await site.wait_until_ready()
    expected = {host.host_config.front for host in site.hosts}
    for host in site.hosts:
        addresses = await site.resolve_addresses(host)
        if not addresses <= expected or len(addresses) < min(2, len(expected)):
            site.history.failures.append(
                f"{host.name}: resolves to {sorted(addresses)}"
            )
    began_at = time.monotonic()
    await asyncio.sleep(RECOVERY_CHECK_S)
    recent = [r for r in site.history.requests if r.sent_at_s > began_at]
    succeeded = sum(r.status == 200 for r in recent)
    if succeeded < MIN_RECOVERED_SUCCESS_SHARE * len(recent) or not recent:
        site.history.failures.append(
            f"after the last fault, {succeeded} of {len(recent)} requests "
            "succeeded"
        )
