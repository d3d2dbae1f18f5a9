"""Measures how costs grow, and fills docs/CAPACITY.md.

Each slope is fitted through at least four sizes with small stand-ins and a
fixed seed; the fit and its largest residual are printed. What the size of the
users' letter needs is worked out from the slopes and nothing else.
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
from standins.site import settings_text
from standins.site import SiteProcesses
from wigeongw.adapters import peer_codec
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.records import EntryHost
from wigeongw.core.records import Upstream
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.record import handler_for
from wigeongw.daemon.record import Record
from wigeongw.decisions import addresses
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor import Takeover
from wigeongw.decisions.grantor import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.ports.peers import Heartbeat
from wigeongw.settings import check
from wigeongw.settings.model import ColdStartSettings
from wigeongw.settings.model import PermitSettings

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"
SEED = 4
IDLE_S = 5.0
HOSTS = (3, 6, 10, 14)
LISTED = (50, 500, 2_000, 4_000)
RATES = (25.0, 50.0, 100.0, 200.0)
POOLS = (4, 16, 64, 256)
VIEWS = (10, 50, 200, 1_000)
CLAIMS = (1, 8, 32, 96)
LINES = (500, 1_000, 2_000, 4_000)
HOSTS_TOLD = (5, 17, 60, 200)
SERVICES = (10, 50, 100, 200)
US_PER_S = 1e6
WORK_MS = 5.0

TARGET_CALLS = 490_000.0
TARGET_DEEP = 19
TARGET_UPSTREAMS = 4_000
TARGET_CORE = 0.042
TARGET_MB = 128.0
TARGET_KB = 22.0
TARGET_ADDED_MS = 0.46
TARGET_SERVICES = 200
TARGET_CHANGES = 2_800
S_PER_DAY = 86_400.0
REPLACED = 950
STORE_READS = 2_000.0
HEARTBEATS_PER_S = 4.0


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measured points."""

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    at_zero: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return what the line says for a size."""
        return self.at_zero + self.slope * size

    def row(self) -> str:
        """Return a row of the table."""
        shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"| {self.name} | {self.unit} | {shown} | {self.at_zero:.4g} | "
            f"{self.slope:.4g} | {self.residual:.2g} |"
        )


def fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    zero = mean_y - slope * mean_x
    worst = max(abs(y - zero - slope * x) for x, y in points)
    return Fit(name, unit, tuple(points), zero, slope, worst)


def core_of(process: psutil.Process) -> float:
    """Return processor seconds that a process has used."""
    times = process.cpu_times()
    return float(times.user + times.system)


async def idle_fleet(hosts: int) -> tuple[float, float, float]:
    """Measure an idle fleet.

    Returns:
        Cores a daemon, store reads and writes a second of the fleet.
    """
    async with SiteProcesses() as site:
        await site.start_platform()
        await site.start_upstreams("dial-watch", "amman", ["u1", "u2"])
        await site.publish(settings_text())
        zones = ("amman", "irbid", "zarqa")
        placed = [(f"e{n}", zones[n % 3]) for n in range(hosts)]
        await site.start_hosts(placed)
        await site.wait_fences(30_000.0)
        await asyncio.sleep(3.0)
        ids = [site.processes[name].process.pid for name, _ in placed]
        processes = [psutil.Process(i) for i in ids]
        calls = await store_calls(site)
        used = sum(core_of(p) for p in processes)
        await asyncio.sleep(IDLE_S)
        cores = (sum(core_of(p) for p in processes) - used) / IDLE_S / hosts
        later = await store_calls(site)
        reads = later.get("read", 0) - calls.get("read", 0)
        writes = later.get("write", 0) - calls.get("write", 0)
        return cores, reads / IDLE_S, writes / IDLE_S


async def store_calls(site: SiteProcesses) -> dict[str, int]:
    """Return the store's own count of calls."""
    async with site.session.get(
        f"http://{site.platform}/control/calls"
    ) as response:
        found: dict[str, int] = await response.json()
        return found


async def listed(count: int) -> tuple[float, float]:
    """Measure one daemon with a long host list.

    Returns:
        Resident megabytes and cores.
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
        used = core_of(process)
        await asyncio.sleep(IDLE_S)
        cores = (core_of(process) - used) / IDLE_S
        return process.memory_info().rss / 1e6, cores


async def request_path() -> tuple[Fit, Fit]:
    """Measure processor time a request, and writes a claimed request."""
    async with SiteProcesses() as site:
        await site.start_platform()
        names = [f"u{n}" for n in range(6)]
        await site.start_upstreams(
            "dial-watch", "amman", names, work_ms=WORK_MS
        )
        await site.publish(settings_text())
        await site.start_hosts([("e1", "amman"), ("e2", "amman")])
        await site.wait_fences(20_000.0)
        known = [site.address("e1"), site.address("e2")]
        await load.run(
            load.plan(150.0, 5_000.0, WORK_MS, 0.0, SEED),
            lambda: known,
            "/dial-watch/x",
            5_000.0,
        )
        process = psutil.Process(site.processes["e1"].process.pid)
        points: list[tuple[float, float]] = []
        for rate in RATES:
            arrivals = load.plan(rate, 5_000.0, WORK_MS, 0.5, SEED)
            used = core_of(process)
            await load.run(
                arrivals, lambda: known[:1], "/dial-watch/x", 5_000.0
            )
            cores = (core_of(process) - used) / 5.0
            points.append((len(arrivals) / 5.0, cores))
        per_call = fit("request path", "core at requests/s", points)
        return per_call, await claims(site)


async def claims(site: SiteProcesses) -> Fit:
    """Measure store writes of keyed requests sent side by side."""
    points: list[tuple[float, float]] = []
    for width in CLAIMS:
        before = int((await site.metrics("e1")).get("once_writes", "0"))
        await asyncio.gather(
            *(
                site.request(
                    "e1",
                    "POST",
                    "/dial-watch/x",
                    headers={"Idempotency-Key": f"{width}-{n}"},
                )
                for n in range(width)
            )
        )
        await asyncio.sleep(0.5)
        after = int((await site.metrics("e1")).get("once_writes", "0"))
        points.append((float(width), float(after - before)))
    return fit("once-claims", "writes at requests side by side", points)


def grantor_cost() -> Fit:
    """Measure an ask, its grant and its return against the pool's size."""
    points: list[tuple[float, float]] = []
    for size in POOLS:
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
        began = time.process_time()
        for number in range(rounds):
            now = 5_000.0 + number
            out = grantor.ask("h", Ask("s@z", number + 1, 1e4), now)
            grant = next(g for g in map(_grant, out) if g is not None)
            back = Return(
                "s@z", grant.permit, grant.upstream, Verdict.GOOD, 10.0
            )
            grantor.take_back("h", back, now)
        spent = (time.process_time() - began) / rounds * 1e6
        points.append((float(size), spent))
    return fit("grantor", "us a permit at upstreams in the pool", points)


def _grant(effect: ToHolder) -> Grant | None:
    return effect.message if isinstance(effect.message, Grant) else None


def heartbeat_size() -> Fit:
    """Measure the bytes of a heartbeat against the upstreams it tells."""
    points: list[tuple[float, float]] = []
    rng = random.Random(SEED)
    for count in VIEWS:
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
        beat = Heartbeat("entry-1", 7, False, 12.0, views)
        batch = peer_codec.holder_batch("entry-1", (), beat, 1_000.0)
        points.append((float(count), float(batch.ByteSize())))
    return fit("heartbeat", "bytes at upstreams told", points)


def record_cost() -> Fit:
    """Measure queueing and writing record lines."""
    points: list[tuple[float, float]] = []
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        handler = handler_for(nowhere)
        with handler.applicationbound():
            for count in LINES:
                record = Record(Clock(), Metrics(), count)
                began = time.process_time()
                for number in range(count):
                    record.add(
                        "route", str(number), "s", "u", "z", 1, "permit"
                    )
                record.write(count)
                points.append(
                    (float(count), (time.process_time() - began) * MS_PER_S)
                )
    return fit("record", "ms at lines", points)


def address_cost() -> Fit:
    """Measure choosing addresses against the entry hosts there are."""
    points: list[tuple[float, float]] = []
    rng = random.Random(SEED)
    rounds = 500
    for count in HOSTS_TOLD:
        hosts = [
            EntryHost(f"e{n}", "a", "p", f"z{n % 3}") for n in range(count)
        ]
        began = time.process_time()
        for _ in range(rounds):
            addresses.answer(hosts, frozenset(), "z1", rng)
        spent = (time.process_time() - began) / rounds * US_PER_S
        points.append((float(count), spent))
    return fit("address answers", "us an answer at entry hosts", points)


def settings_cost() -> tuple[Fit, Fit]:
    """Measure checking a revision, and its size, against services."""
    times: list[tuple[float, float]] = []
    sizes: list[tuple[float, float]] = []
    for count in SERVICES:
        services = {
            f"service-{n}": {"paths": [f"/s{n}"]} for n in range(count)
        }
        text = settings_text(services=services)
        rounds = 20
        began = time.process_time()
        for _ in range(rounds):
            check.from_text(text, "capacity")
        spent = (time.process_time() - began) / rounds * MS_PER_S
        times.append((float(count), spent))
        sizes.append((float(count), len(text) / 1e3))
    return (
        fit("settings check", "ms a revision at services", times),
        fit("settings size", "KB a revision at services", sizes),
    )


async def measure() -> dict[str, Fit]:
    """Measure every slope."""
    idle = [(n, *await idle_fleet(n)) for n in HOSTS]
    lists = [(n, *await listed(n)) for n in LISTED]
    path, once = await request_path()
    fits = [
        fit(
            "idle daemon", "core at entry hosts", [(i[0], i[1]) for i in idle]
        ),
        fit(
            "store reads",
            "a second at entry hosts",
            [(i[0], i[2]) for i in idle],
        ),
        fit(
            "store writes",
            "a second at entry hosts",
            [(i[0], i[3]) for i in idle],
        ),
        fit("memory", "MB at upstreams listed", [(i[0], i[1]) for i in lists]),
        fit(
            "list and views",
            "core at upstreams listed",
            [(i[0], i[2]) for i in lists],
        ),
        path,
        once,
        grantor_cost(),
        heartbeat_size(),
        record_cost(),
        address_cost(),
        *settings_cost(),
    ]
    return {f.name: f for f in fits}


def table(fits: dict[str, Fit]) -> str:
    """Return the measured part of the page."""
    lines = [
        BEGIN,
        "",
        "| what | unit | measured (size: value) "
        "| at zero | slope | residual |",
        "|---|---|---|---|---|---|",
        *(f.row() for f in fits.values()),
        "",
        *worked_out(fits),
        "",
        END,
    ]
    return "\n".join(lines)


def worked_out(fits: dict[str, Fit]) -> list[str]:
    """Return what the letter's size needs, from the slopes."""
    per_call = fits["request path"].slope
    cores = TARGET_CALLS * per_call
    fleet = cores / 0.5
    beat = fits["heartbeat"]
    told = TARGET_UPSTREAMS / fleet
    mesh_bytes = beat.at(told) * HEARTBEATS_PER_S * fleet
    mesh_core = fits["idle daemon"].at(fleet)
    fanout_bytes = beat.at(told) * HEARTBEATS_PER_S * 3
    rows = [
        ("processor time a call", f"{per_call * MS_PER_S:.2f} ms", "-", "-"),
        (
            "entry hosts for 490,000 calls/s, one core each, half used",
            f"{fleet:,.0f}",
            "-",
            "-",
        ),
        (
            "heartbeats to everybody, bytes a daemon",
            f"{mesh_bytes / 1e3:,.0f} KB/s",
            f"{TARGET_KB:g} KB/s",
            f"{mesh_bytes / 1e3 / TARGET_KB:,.1f}",
        ),
        (
            "heartbeats to everybody, core a daemon",
            f"{mesh_core:.2f}",
            f"{TARGET_CORE:g}",
            f"{mesh_core / TARGET_CORE:,.1f}",
        ),
        (
            "heartbeats by gossip to 3, bytes a daemon",
            f"{fanout_bytes / 1e3:,.2f} KB/s",
            f"{TARGET_KB:g} KB/s",
            f"{fanout_bytes / 1e3 / TARGET_KB:,.3f}",
        ),
        (
            "memory with 4,000 upstreams listed",
            f"{fits['memory'].at(TARGET_UPSTREAMS):.0f} MB",
            f"{TARGET_MB:g} MB",
            f"{fits['memory'].at(TARGET_UPSTREAMS) / TARGET_MB:.2f}",
        ),
        (
            "list and views with 4,000 upstreams",
            f"{fits['list and views'].at(TARGET_UPSTREAMS):.3f} core",
            f"{TARGET_CORE:g}",
            f"{fits['list and views'].at(TARGET_UPSTREAMS) / TARGET_CORE:.1f}",
        ),
        (
            "store writes, every host its own lease",
            f"{fits['store writes'].at(fleet):,.0f}/s",
            "300/s",
            f"{fits['store writes'].at(fleet) / 300:.1f}",
        ),
        (
            "store reads, every host its own",
            f"{fits['store reads'].at(fleet):,.0f}/s",
            f"{STORE_READS:,.0f}/s",
            f"{fits['store reads'].at(fleet) / STORE_READS:.2f}",
        ),
        (
            "waiting watches, one a host",
            f"{fleet:,.0f}",
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
            f"{per_call * MS_PER_S * TARGET_DEEP:.1f} ms",
            f"{TARGET_ADDED_MS * TARGET_DEEP:.1f} ms",
            f"{per_call * MS_PER_S / TARGET_ADDED_MS:.1f}",
        ),
    ]
    check_ms = fits["settings check"].at(TARGET_SERVICES)
    changes = TARGET_CHANGES / S_PER_DAY
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
            f"{TARGET_KB:g} KB/s",
            f"{size_kb * changes / TARGET_KB:.3f}",
        ),
        (
            "record, a line a call at 490,000 calls/s, core a daemon",
            f"{fits['record'].slope / MS_PER_S * TARGET_CALLS / fleet:.3f}",
            "-",
            "-",
        ),
        (
            "address answer with every entry host in it",
            f"{fits['address answers'].at(fleet) / MS_PER_S:.2f} ms",
            "-",
            "-",
        ),
        (
            "replacements, 950 a day: one every",
            f"{S_PER_DAY / REPLACED:.0f} s",
            "-",
            "-",
        ),
    ]
    return [
        "| worked out for the letter's size | need today | target | ratio |",
        "|---|---|---|---|",
        *(f"| {a} | {b} | {c} | {d} |" for a, b, c, d in rows),
    ]


def fill(text: str) -> None:
    """Put the measured part into the page."""
    page = PAGE.read_text(encoding="utf-8")
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    PAGE.write_text(before + text + after, encoding="utf-8")


def main() -> None:
    """Measure, print and fill the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--print-only", action="store_true")
    arguments = parser.parse_args()
    text = table(uvloop.run(measure()))
    print(text)
    if not arguments.print_only:
        fill(text)


if __name__ == "__main__":
    main()
