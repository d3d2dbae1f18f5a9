"""Measures how costs grow with size and updates docs/CAPACITY.md.

A line is fitted through at least four sizes for each cost, measured with small
stand-ins and a fixed seed; the fit and its largest residual are printed. The
cost at the size that the users require is extrapolated from these lines only.
"""

import argparse
import asyncio
from dataclasses import replace
import os
import random
import time

import psutil
import uvloop

from bench import load
from bench.capacity_page import measured_section
from bench.capacity_page import update_page
from bench.linear_fit import fit_line
from bench.linear_fit import LinearFit
from standins.site_processes import settings_text
from standins.site_processes import SiteProcesses
from wigeongw.adapters import peer_codec
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import EntryHost
from wigeongw.core.records import Upstream
from wigeongw.daemon.decision_log import decision_handler
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.decisions import host_order
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.ports.peers import Heartbeat
from wigeongw.settings import validation
from wigeongw.settings.schema import ColdStartSettings
from wigeongw.settings.schema import PermitSettings

SEED = 4
MEASURE_DURATION_S = 5.0
FLEET_SIZES = (3, 6, 10, 14)
HOST_LIST_SIZES = (50, 500, 2_000, 4_000)
REQUEST_RATES_PER_S = (25.0, 50.0, 100.0, 200.0)
POOL_SIZES = (4, 16, 64, 256)
HEARTBEAT_VIEW_COUNTS = (10, 50, 200, 1_000)
CLAIM_COUNTS = (1, 8, 32, 96)
RECORD_LINE_COUNTS = (500, 1_000, 2_000, 4_000)
ANSWER_HOST_COUNTS = (5, 17, 60, 200)
SERVICE_COUNTS = (10, 50, 100, 200)
US_PER_S = 1e6
WORK_MS = 5.0


def cpu_seconds(process: psutil.Process) -> float:
    """Return the CPU time of a process in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


async def measure_idle_fleet(hosts: int) -> tuple[float, float, float]:
    """Measure entry hosts without requests.

    Args:
        hosts: Number of entry hosts.

    Returns:
        Cores per entry host, and store reads and store writes per second of
        all entry hosts together.
    """
    async with SiteProcesses() as site:
        await site.start_platform()
        await site.start_upstreams("dial-watch", "amman", ["u1", "u2"])
        await site.publish(settings_text())
        zones = ("amman", "irbid", "zarqa")
        hosts_and_zones = [(f"e{n}", zones[n % 3]) for n in range(hosts)]
        await site.start_hosts(hosts_and_zones)
        await site.wait_grantors(30_000.0)
        await asyncio.sleep(3.0)
        pids = [
            site.processes[name].process.pid for name, _ in hosts_and_zones
        ]
        processes = [psutil.Process(i) for i in pids]
        calls_before = await get_store_calls(site)
        cpu_before = sum(cpu_seconds(p) for p in processes)
        await asyncio.sleep(MEASURE_DURATION_S)
        cores = (
            (sum(cpu_seconds(p) for p in processes) - cpu_before)
            / MEASURE_DURATION_S
            / hosts
        )
        calls_after = await get_store_calls(site)
        reads = calls_after.get("read", 0) - calls_before.get("read", 0)
        writes = calls_after.get("write", 0) - calls_before.get("write", 0)
        return cores, reads / MEASURE_DURATION_S, writes / MEASURE_DURATION_S


async def get_store_calls(site: SiteProcesses) -> dict[str, int]:
    """Return the number of store calls by kind, as counted by the store."""
    async with site.session.get(
        f"http://{site.platform_address}/control/calls"
    ) as response:
        calls: dict[str, int] = await response.json()
        return calls


async def measure_host_list(count: int) -> tuple[float, float]:
    """Measure one entry host with a long host list.

    Args:
        count: Number of upstreams in the list.

    Returns:
        Resident memory in megabytes, and cores.
    """
    async with SiteProcesses() as site:
        await site.start_platform()
        services = {
            f"s{n}": {"paths": [f"/s{n}"]} for n in range(max(1, count // 20))
        }
        zones: dict[str, dict[str, str]] = {f"z{n}": {} for n in range(3)}
        await site.publish(
            settings_text(services=services, availability_zones=zones)
        )
        upstreams = tuple(
            Upstream(f"u{n}", "127.0.0.1:1", f"s{n // 20}", f"z{n % 3}")
            for n in range(count)
        )
        await site.set_host_list(replace(site.listing, upstreams=upstreams))
        await site.start_host("e1", "z0")
        await site.wait_revision(1)
        await asyncio.sleep(4.0)
        process = psutil.Process(site.processes["e1"].process.pid)
        cpu_before = cpu_seconds(process)
        await asyncio.sleep(MEASURE_DURATION_S)
        cores = (cpu_seconds(process) - cpu_before) / MEASURE_DURATION_S
        return process.memory_info().rss / 1e6, cores


async def measure_request_path() -> tuple[LinearFit, LinearFit]:
    """Measure CPU time per request and store writes per claimed request.

    A claimed request carries an idempotency key.
    """
    async with SiteProcesses() as site:
        await site.start_platform()
        names = [f"u{n}" for n in range(6)]
        await site.start_upstreams(
            "dial-watch", "amman", names, work_ms=WORK_MS
        )
        await site.publish(settings_text())
        await site.start_hosts([("e1", "amman"), ("e2", "amman")])
        await site.wait_grantors(20_000.0)
        host_addresses = [site.address("e1"), site.address("e2")]
        await load.send_arrivals(
            load.draw_arrivals(150.0, 5_000.0, WORK_MS, 0.0, SEED),
            lambda: host_addresses,
            "/dial-watch/x",
            5_000.0,
        )
        process = psutil.Process(site.processes["e1"].process.pid)
        points: list[tuple[float, float]] = []
        for rate in REQUEST_RATES_PER_S:
            arrivals = load.draw_arrivals(rate, 5_000.0, WORK_MS, 0.5, SEED)
            cpu_before = cpu_seconds(process)
            await load.send_arrivals(
                arrivals, lambda: host_addresses[:1], "/dial-watch/x", 5_000.0
            )
            cores = (cpu_seconds(process) - cpu_before) / 5.0
            points.append((len(arrivals) / 5.0, cores))
        request_path_fit = fit_line(
            "request path", "core at requests/s", points
        )
        return request_path_fit, await measure_claims(site)


async def measure_claims(site: SiteProcesses) -> LinearFit:
    """Measure store writes of concurrent requests with idempotency keys."""
    points: list[tuple[float, float]] = []
    for claim_count in CLAIM_COUNTS:
        before = int((await site.metrics("e1")).get("once_writes", "0"))
        await asyncio.gather(
            *(
                site.request(
                    "e1",
                    "POST",
                    "/dial-watch/x",
                    headers={"Idempotency-Key": f"{claim_count}-{n}"},
                )
                for n in range(claim_count)
            )
        )
        await asyncio.sleep(0.5)
        after = int((await site.metrics("e1")).get("once_writes", "0"))
        points.append((float(claim_count), float(after - before)))
    return fit_line("once-claims", "writes at requests side by side", points)


def measure_grantor() -> LinearFit:
    """Measure asking for, granting and returning a permit by pool size."""
    points: list[tuple[float, float]] = []
    for size in POOL_SIZES:
        grantor = Grantor(
            "s@z", PermitSettings(), ColdStartSettings(), Takeover(1), 0.0
        )
        upstreams = [Upstream(f"u{n}", "", "s", "z") for n in range(size)]
        grantor.known = {
            u.name: UpstreamView("s@z", u.name, True, 4, "", 0.0)
            for u in upstreams
        }
        grantor.set_upstreams(upstreams, 4, 0.0)
        rounds = 2_000
        started_at = time.process_time()
        for number in range(rounds):
            now = 5_000.0 + number
            effects = grantor.ask("h", Ask("s@z", number + 1, 1e4), now)
            grant = next(g for g in map(_grant_of, effects) if g is not None)
            message = Return(
                "s@z", grant.permit, grant.upstream, Verdict.GOOD, 10.0
            )
            grantor.take_back("h", message, now)
        mean_cost = (time.process_time() - started_at) / rounds * 1e6
        points.append((float(size), mean_cost))
    return fit_line("grantor", "us a permit at upstreams in the pool", points)


def _grant_of(effect: ToHolder) -> Grant | None:
    return effect.message if isinstance(effect.message, Grant) else None


def measure_heartbeat() -> LinearFit:
    """Measure the size of a heartbeat by the number of upstreams in it."""
    points: list[tuple[float, float]] = []
    rng = random.Random(SEED)
    for count in HEARTBEAT_VIEW_COUNTS:
        views = tuple(
            UpstreamView(
                f"service-{n % 20}@zone-{n % 3}",
                f"upstream-{n}",
                True,
                4,
                f"{rng.getrandbits(64):016x}",
                0.0,
            )
            for n in range(count)
        )
        heartbeat = Heartbeat("entry-1", 7, False, 12.0, views)
        batch = peer_codec.pack_holder_batch("entry-1", (), heartbeat, 1_000.0)
        points.append((float(count), float(batch.ByteSize())))
    return fit_line("heartbeat", "bytes at upstreams told", points)


def measure_record() -> LinearFit:
    """Measure adding and writing record lines by their number."""
    points: list[tuple[float, float]] = []
    with open(os.devnull, "w", encoding="utf-8") as devnull:
        handler = decision_handler(devnull)
        with handler.applicationbound():
            for count in RECORD_LINE_COUNTS:
                record = DecisionLog(Clock(), Metrics(), count)
                started_at = time.process_time()
                for number in range(count):
                    record.add(
                        "route", str(number), "s", "u", "z", 1, "permit"
                    )
                record.write(count)
                points.append(
                    (
                        float(count),
                        (time.process_time() - started_at) * MS_PER_S,
                    )
                )
    return fit_line("record", "ms at lines", points)


def measure_address_answers() -> LinearFit:
    """Measure choosing addresses by the number of entry hosts."""
    points: list[tuple[float, float]] = []
    rng = random.Random(SEED)
    rounds = 500
    for count in ANSWER_HOST_COUNTS:
        hosts = [
            EntryHost(f"e{n}", "a", "p", f"z{n % 3}") for n in range(count)
        ]
        started_at = time.process_time()
        for _ in range(rounds):
            host_order.answer(hosts, frozenset(), "z1", rng)
        mean_cost = (time.process_time() - started_at) / rounds * US_PER_S
        points.append((float(count), mean_cost))
    return fit_line("address answers", "us an answer at entry hosts", points)


def measure_settings() -> tuple[LinearFit, LinearFit]:
    """Measure checking a revision, and its size, by number of services."""
    times: list[tuple[float, float]] = []
    sizes: list[tuple[float, float]] = []
    for count in SERVICE_COUNTS:
        services = {
            f"service-{n}": {"paths": [f"/s{n}"]} for n in range(count)
        }
        text = settings_text(services=services)
        rounds = 20
        started_at = time.process_time()
        for _ in range(rounds):
            validation.validate_text(text, "capacity")
        mean_cost = (time.process_time() - started_at) / rounds * MS_PER_S
        times.append((float(count), mean_cost))
        sizes.append((float(count), len(text) / 1e3))
    return (
        fit_line("settings check", "ms a revision at services", times),
        fit_line("settings size", "KB a revision at services", sizes),
    )


async def measure_all() -> dict[str, LinearFit]:
    """Measure every cost and return the fitted lines by name."""
    idle = [(n, *await measure_idle_fleet(n)) for n in FLEET_SIZES]
    host_lists = [(n, *await measure_host_list(n)) for n in HOST_LIST_SIZES]
    request_path_fit, claims_fit = await measure_request_path()
    fits = [
        fit_line(
            "idle daemon", "core at entry hosts", [(i[0], i[1]) for i in idle]
        ),
        fit_line(
            "store reads",
            "a second at entry hosts",
            [(i[0], i[2]) for i in idle],
        ),
        fit_line(
            "store writes",
            "a second at entry hosts",
            [(i[0], i[3]) for i in idle],
        ),
        fit_line(
            "memory",
            "MB at upstreams listed",
            [(i[0], i[1]) for i in host_lists],
        ),
        fit_line(
            "list and views",
            "core at upstreams listed",
            [(i[0], i[2]) for i in host_lists],
        ),
        request_path_fit,
        claims_fit,
        measure_grantor(),
        measure_heartbeat(),
        measure_record(),
        measure_address_answers(),
        *measure_settings(),
    ]
    return {f.name: f for f in fits}


def main() -> None:
    """Parse the command line, measure, print and update the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--print-only", action="store_true")
    arguments = parser.parse_args()
    text = measured_section(uvloop.run(measure_all()))
    print(text)
    if not arguments.print_only:
        update_page(text)


if __name__ == "__main__":
    main()
