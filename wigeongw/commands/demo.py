"""``wigeongw demo``: a whole site in one process, to look at.

Three entry hosts share nine upstreams in three availability zones, with a
store in memory and a little load. Nothing is installed or configured.
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
from wigeongw.settings.model import HostSettings

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
SUMMARY_EVERY_MS = 2_000.0
STOP_MOST_MS = 5_000.0
READY_LOOK_MS = 20.0
FIRST_PORT = 8_600
SEED = 7


@dataclass(slots=True)
class Tally:
    """What the load has seen since the last summary."""

    answered: int = 0
    failed: int = 0
    total_ms: float = 0.0
    worst_ms: float = 0.0


def demo(
    seconds_to_run: Annotated[
        float,
        typer.Option("--seconds", help="Stop by itself; 0 runs on."),
    ] = 0.0,
    port: Annotated[
        int,
        typer.Option(help="Port of the first entry host; 0 for any."),
    ] = FIRST_PORT,
) -> None:
    """Run a whole site in this process until Ctrl-C.

    Exit codes: 0 after Ctrl-C or the given time.
    """
    uvloop.run(_demo(seconds_to_run, port))


async def _demo(seconds_to_run: float, port: int) -> None:
    clock = Clock()
    rng = random.Random(SEED)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    if seconds_to_run:
        loop.call_later(seconds_to_run, stop.set)
    async with AsyncExitStack() as stack:
        stack.enter_context(logbook.NullHandler().applicationbound())
        host_list = MemoryHostList(HostListing())
        store = MemoryStore(clock)
        await _publish(store, clock)
        upstreams = await _start_upstreams(stack)
        platform = Platform(store, host_list)
        runs: list[asyncio.Task[None]] = []
        daemons = await _start_hosts(stack, platform, clock, port, runs)
        host_list.listing = HostListing(
            tuple(_listed(d) for d in daemons), tuple(upstreams)
        )
        for daemon in daemons:
            await _until_listed(daemon)
        _greet(daemons)
        tally = Tally()
        works = (_load(daemons, tally, clock, rng), _show(daemons, tally))
        for work in works:
            _background(stack, work)
        await stop.wait()
        typer.echo("Stopping.")
        await _stop_hosts(daemons, runs)


async def _publish(store: MemoryStore, clock: Clock) -> None:
    base = await revisions.read_in_force(store, "wigeongw/")
    first = revisions.next_revision(
        None, SETTINGS, "demo", "the embedded default", clock.wall()
    )
    await revisions.publish(store, "wigeongw/", base, first)


async def _start_upstreams(stack: AsyncExitStack) -> list[Upstream]:
    """Start the stand-ins; they live outside the product's package."""
    from standins.upstream_http import Connection
    from standins.upstream_model import Rules
    from standins.upstream_model import UpstreamStandIn

    rules = Rules(cold_work=20, work_ms=12.0, sigma=0.6, stall_every_ms=5e3)
    listed: list[Upstream] = []
    loop = asyncio.get_running_loop()
    for zone in ZONES:
        for number in range(UPSTREAMS_PER_ZONE):
            name = f"{zone}-{number + 1}"
            stand_in = UpstreamStandIn(name, rules, SEED)
            sock = http_server.bind("127.0.0.1:0")
            server = await loop.create_server(
                functools.partial(Connection, stand_in),
                sock=sock,
            )
            stack.callback(server.close)
            address = http_server.address_of(sock)
            listed.append(Upstream(name, address, SERVICE, zone))
    return listed


async def _start_hosts(
    stack: AsyncExitStack,
    platform: Platform,
    clock: Clock,
    port: int,
    runs: list[asyncio.Task[None]],
) -> list[EntryHostDaemon]:
    daemons: list[EntryHostDaemon] = []
    for place, zone in enumerate(ZONES):
        own = port + place if port else 0
        settings = HostSettings(
            name=f"entry-{zone}",
            availability_zone=zone,
            address=f"127.0.0.1:{own}",
            peer_address="127.0.0.1:0",
            store="http://127.0.0.1:0",
            host_list="http://127.0.0.1:0",
        )
        rng = random.Random(f"{SEED}-{zone}")
        daemon = EntryHostDaemon(settings, platform, clock, rng)
        runs.append(_background(stack, daemon.run()))
        await daemon.ready.wait()
        daemons.append(daemon)
    return daemons


def _listed(daemon: EntryHostDaemon) -> EntryHost:
    assert daemon.bound is not None
    return EntryHost(
        daemon.settings.name,
        daemon.bound.address,
        daemon.bound.peer_address,
        daemon.settings.availability_zone,
    )


async def _until_listed(daemon: EntryHostDaemon) -> None:
    """Wait until a daemon has settings and has read the host list."""
    await daemon.keeper.revised.wait()
    while not daemon.keeper.site.listing.upstreams:  # noqa: ASYNC110
        await asyncio.sleep(seconds(READY_LOOK_MS))


def _greet(daemons: list[EntryHostDaemon]) -> None:
    bound = daemons[0].bound
    assert bound is not None
    typer.echo("A site of 3 entry hosts and 9 upstreams in 3 zones runs.")
    typer.echo(f"Try: curl -i http://{bound.address}/dial-watch/hands")
    typer.echo(
        f"Ask: curl http://{bound.address}/.well-known/wigeongw/addresses"
    )
    typer.echo(f"See: wigeongw status {bound.admin_address}")
    typer.echo("Stop it with Ctrl-C.")


async def _load(
    daemons: list[EntryHostDaemon],
    tally: Tally,
    clock: Clock,
    rng: random.Random,
) -> None:
    """Send requests at random times, for ever."""
    async with aiohttp.ClientSession() as session:
        asking: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            bound = rng.choice(daemons).bound
            assert bound is not None
            url = f"http://{bound.address}/dial-watch/hands"
            task = asyncio.create_task(_ask(session, url, tally, clock))
            asking.add(task)
            task.add_done_callback(asking.discard)


async def _ask(
    session: aiohttp.ClientSession, url: str, tally: Tally, clock: Clock
) -> None:
    began = clock.now()
    try:
        async with session.get(url) as response:
            await response.read()
            good = response.status == 200
    except aiohttp.ClientError:
        good = False
    took = clock.now() - began
    tally.answered += good
    tally.failed += not good
    tally.total_ms += took
    tally.worst_ms = max(tally.worst_ms, took)


async def _show(daemons: list[EntryHostDaemon], tally: Tally) -> None:
    """Print a line about the site now and then, for ever."""
    while True:
        await asyncio.sleep(seconds(SUMMARY_EVERY_MS))
        rate = tally.answered / (SUMMARY_EVERY_MS / MS_PER_S)
        mean = tally.total_ms / max(1, tally.answered + tally.failed)
        views = daemons[0].keeper.site.upstreams.values()
        warm = sum(v.warm for v in views)
        limit = sum(v.limit for v in views)
        typer.echo(
            f"{time.strftime('%H:%M:%S')} {rate:5.0f} answers/s, "
            f"{tally.failed} failed, mean {mean:5.1f} ms, "
            f"worst {tally.worst_ms:5.0f} ms, "
            f"{warm}/9 upstreams warm, {limit}/36 slots open"
        )
        tally.answered = tally.failed = 0
        tally.total_ms = tally.worst_ms = 0.0


async def _stop_hosts(
    daemons: list[EntryHostDaemon], runs: list[asyncio.Task[None]]
) -> None:
    for daemon in daemons:
        daemon.request_stop()
    await asyncio.wait(runs, timeout=seconds(STOP_MOST_MS))


def _background(
    stack: AsyncExitStack, work: Coroutine[Any, Any, None]
) -> asyncio.Task[None]:
    """Run work until the stack closes."""
    task = asyncio.create_task(work)

    async def end() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    stack.push_async_callback(end)
    return task
