"""``wigeongw demo``: runs a complete site in one process.

Three entry hosts share nine upstreams in three availability zones. The store
is in memory, and a load generator sends requests. Nothing has to be installed
or configured.
"""

import asyncio
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
import functools
import random
import signal
import time
from typing import Annotated
from typing import Any

import aiohttp
import logbook
import typer
import uvloop

from wigeongw.adapters import http_server
from wigeongw.adapters.host_list import MemoryHostList
from wigeongw.adapters.memory_store import MemoryStore
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import Upstream
from wigeongw.daemon.entry_host import EntryHostDaemon
from wigeongw.daemon.entry_host import Platform
from wigeongw.settings import revisions
from wigeongw.settings.schema import HostSettings

ZONES = ("amman", "irbid", "zarqa")
SERVICE = "dial-watch"
SETTINGS = """
site = "demo"
[addresses]
lifetime_ms = 1000
[cold_start]
work_per_step = 10
[services.dial-watch]
paths = ["/dial-watch"]
[availability_zones.amman]
distance_ms = 0.1
[availability_zones.irbid]
distance_ms = 0.1
[availability_zones.zarqa]
distance_ms = 0.1
"""
UPSTREAMS_PER_ZONE = 3
REQUESTS_PER_S = 60.0
SUMMARY_INTERVAL_MS = 2_000.0
STOP_TIMEOUT_MS = 5_000.0
READY_POLL_INTERVAL_MS = 20.0
DEFAULT_PORT = 8_600
SEED = 7


@dataclass(slots=True)
class LoadStatistics:
    """Results of the generated requests since the last printed summary.

    Attributes:
        answered: responses with status 200.
        failed: connection errors and responses with any other status.
        total_ms: sum of the response times.
        worst_ms: the longest response time.
    """

    answered: int = 0
    failed: int = 0
    total_ms: float = 0.0
    worst_ms: float = 0.0


def demo(
    seconds_to_run: Annotated[
        float,
        typer.Option(
            "--seconds", help="Stop after this time; 0 runs until Ctrl-C."
        ),
    ] = 0.0,
    port: Annotated[
        int,
        typer.Option(
            help="Port of the first entry host, the others use the next "
            "ports; 0 for any free ports."
        ),
    ] = DEFAULT_PORT,
) -> None:
    """Run a complete site in this process until Ctrl-C.

    Exit codes: 0 after Ctrl-C or the given time.
    """
    uvloop.run(_run_demo(seconds_to_run, port))


async def _run_demo(seconds_to_run: float, port: int) -> None:
    clock = Clock()
    rng = random.Random(SEED)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    if seconds_to_run:
        loop.call_later(seconds_to_run, stop.set)
    async with AsyncExitStack() as stack:
        stack.enter_context(logbook.NullHandler().applicationbound())
        host_list = MemoryHostList(HostListing())
        store = MemoryStore(clock)
        await _publish_settings(store, clock)
        upstreams = await _start_upstreams(stack)
        platform = Platform(store, host_list)
        daemon_tasks: list[asyncio.Task[None]] = []
        daemons = await _start_hosts(
            stack, platform, clock, port, daemon_tasks
        )
        host_list.listing = HostListing(
            tuple(_host_entry(d) for d in daemons), tuple(upstreams)
        )
        for daemon in daemons:
            await _wait_until_ready(daemon)
        _print_instructions(daemons)
        statistics = LoadStatistics()
        coroutines = (
            _generate_load(daemons, statistics, clock, rng),
            _print_summaries(daemons, statistics),
        )
        for coroutine in coroutines:
            _start_background_task(stack, coroutine)
        await stop.wait()
        typer.echo("Stopping.")
        await _stop_hosts(daemons, daemon_tasks)


async def _publish_settings(store: MemoryStore, clock: Clock) -> None:
    base = await revisions.read_current_revision(store, "wigeongw/")
    first = revisions.next_revision(
        None, SETTINGS, "demo", "the embedded default", clock.wall()
    )
    await revisions.publish(store, "wigeongw/", base, first)


async def _start_upstreams(stack: AsyncExitStack) -> list[Upstream]:
    """Start simulated upstreams and return their host list entries."""
    # Imported here because standins is not part of the wigeongw package.
    from standins.upstream_http import Connection
    from standins.upstream_model import UpstreamOptions
    from standins.upstream_model import UpstreamStandIn

    options = UpstreamOptions(
        cold_work=20, work_ms=12.0, sigma=0.6, stall_every_ms=5e3
    )
    upstreams: list[Upstream] = []
    loop = asyncio.get_running_loop()
    for zone in ZONES:
        for number in range(UPSTREAMS_PER_ZONE):
            name = f"{zone}-{number + 1}"
            stand_in = UpstreamStandIn(name, options, SEED)
            sock = http_server.bind("127.0.0.1:0")
            server = await loop.create_server(
                functools.partial(Connection, stand_in),
                sock=sock,
            )
            stack.callback(server.close)
            address = http_server.bound_address(sock)
            upstreams.append(Upstream(name, address, SERVICE, zone))
    return upstreams


async def _start_hosts(
    stack: AsyncExitStack,
    platform: Platform,
    clock: Clock,
    port: int,
    daemon_tasks: list[asyncio.Task[None]],
) -> list[EntryHostDaemon]:
    """Start an entry host in each zone and add its task to daemon_tasks."""
    daemons: list[EntryHostDaemon] = []
    for index, zone in enumerate(ZONES):
        host_port = port + index if port else 0
        settings = HostSettings(
            name=f"entry-{zone}",
            availability_zone=zone,
            address=f"127.0.0.1:{host_port}",
            peer_address="127.0.0.1:0",
            store="http://127.0.0.1:0",
            host_list="http://127.0.0.1:0",
        )
        rng = random.Random(f"{SEED}-{zone}")
        daemon = EntryHostDaemon(settings, platform, clock, rng)
        daemon_tasks.append(_start_background_task(stack, daemon.run()))
        await daemon.ready.wait()
        daemons.append(daemon)
    return daemons


def _host_entry(daemon: EntryHostDaemon) -> EntryHost:
    """Return the host list entry of a running entry host."""
    assert daemon.bound is not None
    return EntryHost(
        daemon.settings.name,
        daemon.bound.address,
        daemon.bound.peer_address,
        daemon.settings.availability_zone,
    )


async def _wait_until_ready(daemon: EntryHostDaemon) -> None:
    """Wait until a daemon has settings and has read the host list."""
    await daemon.site_tracker.settings_ready.wait()
    while not daemon.site_tracker.site.listing.upstreams:  # noqa: ASYNC110
        await asyncio.sleep(seconds(READY_POLL_INTERVAL_MS))


def _print_instructions(daemons: list[EntryHostDaemon]) -> None:
    bound = daemons[0].bound
    assert bound is not None
    typer.echo(
        "Running 3 entry hosts and 9 upstreams in 3 zones. Commands to try:"
    )
    typer.echo(f"  curl -i http://{bound.address}/dial-watch/hands")
    typer.echo(f"  curl http://{bound.address}/.well-known/wigeongw/addresses")
    typer.echo(f"  wigeongw status {bound.admin_address}")
    typer.echo("Stop with Ctrl-C.")


async def _generate_load(
    daemons: list[EntryHostDaemon],
    statistics: LoadStatistics,
    clock: Clock,
    rng: random.Random,
) -> None:
    """Send requests to random entry hosts until cancelled.

    The intervals are exponentially distributed with a mean of
    1 / REQUESTS_PER_S seconds.
    """
    async with aiohttp.ClientSession() as session:
        in_flight: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            bound = rng.choice(daemons).bound
            assert bound is not None
            url = f"http://{bound.address}/dial-watch/hands"
            task = asyncio.create_task(
                _send_request(session, url, statistics, clock)
            )
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)


async def _send_request(
    session: aiohttp.ClientSession,
    url: str,
    statistics: LoadStatistics,
    clock: Clock,
) -> None:
    started_at = clock.now()
    try:
        async with session.get(url) as response:
            await response.read()
            is_success = response.status == 200
    except aiohttp.ClientError:
        is_success = False
    elapsed_ms = clock.now() - started_at
    statistics.answered += is_success
    statistics.failed += not is_success
    statistics.total_ms += elapsed_ms
    statistics.worst_ms = max(statistics.worst_ms, elapsed_ms)


async def _print_summaries(
    daemons: list[EntryHostDaemon], statistics: LoadStatistics
) -> None:
    """Print a summary and reset the statistics periodically.

    The state of the upstreams is the first entry host's view of it.
    """
    while True:
        await asyncio.sleep(seconds(SUMMARY_INTERVAL_MS))
        rate = statistics.answered / (SUMMARY_INTERVAL_MS / MS_PER_S)
        mean_ms = statistics.total_ms / max(
            1, statistics.answered + statistics.failed
        )
        views = daemons[0].site_tracker.site.upstreams.values()
        warm = sum(v.warm for v in views)
        limit = sum(v.limit for v in views)
        typer.echo(
            f"{time.strftime('%H:%M:%S')} {rate:5.0f} answers/s, "
            f"{statistics.failed} failed, mean {mean_ms:5.1f} ms, "
            f"worst {statistics.worst_ms:5.0f} ms, "
            f"{warm}/9 upstreams warm, {limit}/36 slots usable"
        )
        statistics.answered = statistics.failed = 0
        statistics.total_ms = statistics.worst_ms = 0.0


async def _stop_hosts(
    daemons: list[EntryHostDaemon], daemon_tasks: list[asyncio.Task[None]]
) -> None:
    """Stop the entry hosts and wait up to STOP_TIMEOUT_MS for them."""
    for daemon in daemons:
        daemon.request_stop()
    await asyncio.wait(daemon_tasks, timeout=seconds(STOP_TIMEOUT_MS))


def _start_background_task(
    stack: AsyncExitStack, coroutine: Coroutine[Any, Any, None]
) -> asyncio.Task[None]:
    """Run a coroutine as a task that is cancelled when the stack closes."""
    task = asyncio.create_task(coroutine)

    async def cancel() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    stack.push_async_callback(cancel)
    return task
