"""Writes measured costs, and what follows from them, to docs/CAPACITY.md."""

import pathlib

from bench.linear_fit import LinearFit
from wigeongw.core.clock import MS_PER_S

CAPACITY_PAGE = (
    pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"
)
MEASURED_BEGIN = "<!-- measured: begin -->"
MEASURED_END = "<!-- measured: end -->"

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
