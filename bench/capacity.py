"""Measures how costs grow with size and updates docs/CAPACITY.md.

A line is fitted through at least four sizes for each cost, measured with small
stand-ins and a fixed seed; the fit and its largest residual are printed. The
cost at the size that the users require is extrapolated from these lines only.
"""

import argparse
import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
import os
import pathlib
import random
import time

import psutil
import uvloop

from bench import load
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

CAPACITY_PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
)
MEASURED_BEGIN = "<!-- measured: begin -->"
MEASURED_END = "<!-- measured: end -->"
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

# Size and limits that the users require. Calls and store reads are per second
# of the whole site; cores, RAM and KB per second are per entry host.
TARGET_CALLS = 490_000.0
TARGET_CALL_DEPTH = 19
TARGET_UPSTREAMS = 4_000
TARGET_CORE = 0.042
TARGET_RAM_MB = 128.0
TARGET_KB_PER_S = 22.0
TARGET_ADDED_MS_PER_CALL = 0.46
TARGET_SERVICES = 200
TARGET_CHANGES_PER_DAY = 2_800
S_PER_DAY = 86_400.0
REPLACEMENTS_PER_DAY = 950
TARGET_STORE_READS = 2_000.0
HEARTBEATS_PER_S = 4.0


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line that is fitted to measured points.

    Attributes:
        name: Name of the cost.
        unit: Unit of the cost and meaning of the size.
        points: Measured pairs of size and cost.
        intercept: Cost at size 0 according to the line.
        slope: Increase of the cost per unit of size.
        residual: Largest absolute distance of a point from the line.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost at a size according to the line."""
        return self.intercept + self.slope * size

    def table_row(self) -> str:
        """Return the row of the Markdown table."""
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"| {self.name} | {self.unit} | {points} | {self.intercept:.4g} | "
            f"{self.slope:.4g} | {self.residual:.2g} |"
        )


def fit_line(
    name: str, unit: str, points: Sequence[tuple[float, float]]
) -> LinearFit:
    """Fit a line by least squares.

    Args:
        name: Name of the cost.
        unit: Unit of the cost and meaning of the size.
        points: Measured pairs of size and cost.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares
    intercept = mean_y - slope * mean_x
    max_residual = max(abs(y - intercept - slope * x) for x, y in points)
    return LinearFit(name, unit, tuple(points), intercept, slope, max_residual)


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


def measured_section(fits: dict[str, LinearFit]) -> str:
    """Return the measured section of the page, with its markers."""
    lines = [
        MEASURED_BEGIN,
        "",
        "| what | unit | measured (size: value) "
        "| at zero | slope | residual |",
        "|---|---|---|---|---|---|",
        *(f.table_row() for f in fits.values()),
        "",
        *extrapolation_table(fits),
        "",
        MEASURED_END,
    ]
    return "\n".join(lines)


def extrapolation_table(fits: dict[str, LinearFit]) -> list[str]:
    """Return the table of the costs at the size that the users require.

    Each entry host has one core and uses half of it.

    Args:
        fits: Fitted lines by name.
    """
    cpu_s_per_call = fits["request path"].slope
    cores = TARGET_CALLS * cpu_s_per_call
    hosts = cores / 0.5
    heartbeat = fits["heartbeat"]
    upstreams_per_heartbeat = TARGET_UPSTREAMS / hosts
    mesh_bytes_per_s = (
        heartbeat.at(upstreams_per_heartbeat) * HEARTBEATS_PER_S * hosts
    )
    mesh_cores = fits["idle daemon"].at(hosts)
    gossip_bytes_per_s = (
        heartbeat.at(upstreams_per_heartbeat) * HEARTBEATS_PER_S * 3
    )
    rows = [
        (
            "processor time a call",
            f"{cpu_s_per_call * MS_PER_S:.2f} ms",
            "-",
            "-",
        ),
        (
            "entry hosts for 490,000 calls/s, one core each, half used",
            f"{hosts:,.0f}",
            "-",
            "-",
        ),
        (
            "heartbeats to everybody, bytes a daemon",
            f"{mesh_bytes_per_s / 1e3:,.0f} KB/s",
            f"{TARGET_KB_PER_S:g} KB/s",
            f"{mesh_bytes_per_s / 1e3 / TARGET_KB_PER_S:,.1f}",
        ),
        (
            "heartbeats to everybody, core a daemon",
            f"{mesh_cores:.2f}",
            f"{TARGET_CORE:g}",
            f"{mesh_cores / TARGET_CORE:,.1f}",
        ),
        (
            "heartbeats by gossip to 3, bytes a daemon",
            f"{gossip_bytes_per_s / 1e3:,.2f} KB/s",
            f"{TARGET_KB_PER_S:g} KB/s",
            f"{gossip_bytes_per_s / 1e3 / TARGET_KB_PER_S:,.3f}",
        ),
        (
            "memory with 4,000 upstreams listed",
            f"{fits['memory'].at(TARGET_UPSTREAMS):.0f} MB",
            f"{TARGET_RAM_MB:g} MB",
            f"{fits['memory'].at(TARGET_UPSTREAMS) / TARGET_RAM_MB:.2f}",
        ),
        (
            "list and views with 4,000 upstreams",
            f"{fits['list and views'].at(TARGET_UPSTREAMS):.3f} core",
            f"{TARGET_CORE:g}",
            f"{fits['list and views'].at(TARGET_UPSTREAMS) / TARGET_CORE:.1f}",
        ),
        (
            "store writes, every host its own lease",
            f"{fits['store writes'].at(hosts):,.0f}/s",
            "300/s",
            f"{fits['store writes'].at(hosts) / 300:.1f}",
        ),
        (
            "store reads, every host its own",
            f"{fits['store reads'].at(hosts):,.0f}/s",
            f"{TARGET_STORE_READS:,.0f}/s",
            f"{fits['store reads'].at(hosts) / TARGET_STORE_READS:.2f}",
        ),
        (
            "waiting watches, one a host",
            f"{hosts:,.0f}",
            "-",
            "-",
        ),
        (
            "grantor, permits a core second at 20 upstreams a pool",
            f"{1e6 / fits['grantor'].at(20):,.0f}",
            "-",
            "-",
        ),
        (
            "added at 19 deep, at least 19 x the processor time",
            f"{cpu_s_per_call * MS_PER_S * TARGET_CALL_DEPTH:.1f} ms",
            f"{TARGET_ADDED_MS_PER_CALL * TARGET_CALL_DEPTH:.1f} ms",
            f"{cpu_s_per_call * MS_PER_S / TARGET_ADDED_MS_PER_CALL:.1f}",
        ),
    ]
    check_ms = fits["settings check"].at(TARGET_SERVICES)
    changes = TARGET_CHANGES_PER_DAY / S_PER_DAY
    size_kb = fits["settings size"].at(TARGET_SERVICES)
    rows += [
        (
            "settings checked whole, 2,800 changes a day",
            f"{check_ms * changes / MS_PER_S:.5f} core",
            f"{TARGET_CORE:g}",
            f"{check_ms * changes / MS_PER_S / TARGET_CORE:.3f}",
        ),
        (
            "settings fetched whole, 2,800 changes a day",
            f"{size_kb * changes:.2f} KB/s",
            f"{TARGET_KB_PER_S:g} KB/s",
            f"{size_kb * changes / TARGET_KB_PER_S:.3f}",
        ),
        (
            "record, a line a call at 490,000 calls/s, core a daemon",
            f"{fits['record'].slope / MS_PER_S * TARGET_CALLS / hosts:.3f}",
            "-",
            "-",
        ),
        (
            "address answer with every entry host in it",
            f"{fits['address answers'].at(hosts) / MS_PER_S:.2f} ms",
            "-",
            "-",
        ),
        (
            "replacements, 950 a day: one every",
            f"{S_PER_DAY / REPLACEMENTS_PER_DAY:.0f} s",
            "-",
            "-",
        ),
    ]
    return [
        "| worked out for the letter's size | need today | target | ratio |",
        "|---|---|---|---|",
        *(f"| {a} | {b} | {c} | {d} |" for a, b, c, d in rows),
    ]


def update_page(text: str) -> None:
    """Replace the measured section of docs/CAPACITY.md."""
    page = CAPACITY_PAGE.read_text(encoding="utf-8")
    before, _, rest = page.partition(MEASURED_BEGIN)
    _, _, after = rest.partition(MEASURED_END)
    CAPACITY_PAGE.write_text(before + text + after, encoding="utf-8")


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
