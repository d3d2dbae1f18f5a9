"""Faults and planned operations that a soak run draws at random.

Each is a coroutine that injects the fault, waits and reverts it.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import time
from typing import Any

import aiohttp

from clockworks import documents
from clockworks import sample_documents
from soak.proxy import LinkState
from soak.run_history import Disturbance
from soak.site import GRACE_PERIOD_S
from soak.site import Site
from soak.site import SoakHost
from soak.upstreams import Behavior
from soak.upstreams import HEADER_NAMES

# Entries of other writers: bytes that cannot be read, and odd fields.
ODD_ENTRIES: tuple[Any, ...] = (
    b"[" * 4_000,
    b"\xff",
    sample_documents.target_entry(born=10**400),
    sample_documents.target_entry(address="127.0.0.1:70000"),
    sample_documents.target_entry(address="no.such.name.example:80"),
    sample_documents.target_entry(zone="\ud800"),
)
WATCH_CUT_INTERVAL_S = 0.02
UPLOADS_AT_ONCE = 3
UPLOAD_BYTES = 48 << 20
UPLOAD_TIMEOUT_S = 3.0
UPLOAD_AUTHORITY = "b.example"
UPLOAD_TARGET = "/adjust/upload"
MAX_MEMORY_BYTES = 300_000_000

Fault = Callable[[Site, float], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
PLANNED_FAULTS: set[str] = set()
MAX_KILL_DOWNTIME_S = 0.5
# Python and its libraries load within this time. A host that is told to stop
# while they load needs it on top of the grace period.
STOP_SLACK_S = 1.0


def register_fault(
    name: str, is_planned: bool = False
) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault under a name.

    Args:
        name: Name under which the fault is drawn and reported.
        is_planned: Whether the fault is a planned operation.
    """

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        if is_planned:
            PLANNED_FAULTS.add(name)
        return function

    return register


async def inject(name: str, site: Site, duration_s: float) -> None:
    """Inject one fault and record the time that it lasted."""
    began_at = time.monotonic()
    index = len(site.history.disturbances)
    is_planned = name in PLANNED_FAULTS
    # The end is unknown until the fault is over; until then the disturbance
    # covers every later time.
    ongoing = Disturbance(name, "", is_planned, began_at, float("inf"))
    site.history.disturbances.append(ongoing)
    await FAULTS[name](site, duration_s)
    site.history.disturbances[index] = Disturbance(
        name, "", is_planned, began_at, time.monotonic()
    )


def _random_host(site: Site) -> SoakHost:
    return site.rng.choice(site.hosts)


@register_fault("kill")
async def kill_host(site: Site, duration_s: float) -> None:
    """Kill a host and start it again."""
    host = _random_host(site)
    await host.kill()
    await asyncio.sleep(min(duration_s, MAX_KILL_DOWNTIME_S))
    await host.start()


@register_fault("pause")
async def pause_host(site: Site, duration_s: float) -> None:
    """Suspend the process of a host and resume it."""
    host = _random_host(site)
    host.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    host.send_signal(signal.SIGCONT)


@register_fault("stop", is_planned=True)
async def stop_host(site: Site, duration_s: float) -> None:
    """Ask a host to stop and start it again.

    The host must stop within its grace period, unless an unplanned fault
    occurred before.
    """
    host = _random_host(site)
    host.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_PERIOD_S + STOP_SLACK_S):
            await host.wait()
    except TimeoutError:
        undisturbed = not any(
            not d.is_planned for d in site.history.disturbances
        )
        if undisturbed:
            site.history.failures.append(f"{host.name}: did not stop in time")
        await host.kill()
    await host.start()


@register_fault("reload", is_planned=True)
async def reload_settings(site: Site, duration_s: float) -> None:
    """Tell every host to read its settings again."""
    for host in site.hosts:
        if host.handles_signal(signal.SIGHUP):
            host.send_signal(signal.SIGHUP)
    await asyncio.sleep(0)


@register_fault("configure", is_planned=True)
async def publish_configurations(site: Site, duration_s: float) -> None:
    """Publish two configurations in a row."""
    await site.publish_configuration()
    await asyncio.sleep(duration_s / 2)
    await site.publish_configuration()


@register_fault("drain", is_planned=True)
async def drain_upstream(site: Site, duration_s: float) -> None:
    """Mark an upstream as draining and then as active again."""
    upstream = site.rng.choice(site.upstreams)
    await site.publish_upstream(upstream, draining=True)
    await asyncio.sleep(duration_s)
    await site.publish_upstream(upstream)


@register_fault("store")
async def disturb_store(site: Site, duration_s: float) -> None:
    """Make the store silent, overloaded, slow or lose responses."""
    faults = site.store.faults
    kind = site.rng.choice(("silent", "busy", "slow", "lost"))
    faults.silent = kind == "silent"
    faults.status = 503 if kind == "busy" else 0
    faults.slow_s = 0.3 if kind == "slow" else 0.0
    faults.lose_answers = 5 if kind == "lost" else 0
    await asyncio.sleep(duration_s)
    faults.silent, faults.status = False, 0
    faults.slow_s, faults.lose_answers = 0.0, 0


@register_fault("history")
async def compact_history(site: Site, duration_s: float) -> None:
    """Change the configuration and make the store forget its history."""
    await site.publish_configuration()
    site.store.discard_history()
    await asyncio.sleep(0)


@register_fault("door")
async def disturb_store_link(site: Site, duration_s: float) -> None:
    """Disturb the connections of one host to the store.

    They become slow, lose all bytes or only the responses, or are reset.
    """
    proxy = _random_host(site).store_proxy
    proxy.set_state(
        site.rng.choice([s for s in LinkState if s is not LinkState.OPEN])
    )
    await asyncio.sleep(duration_s)
    proxy.set_state(LinkState.OPEN)


@register_fault("way")
async def disturb_upstream_link(site: Site, duration_s: float) -> None:
    """Disturb the connections to one upstream.

    They become slow, lose all bytes or only the responses, or are reset.
    """
    proxy = site.rng.choice(site.upstreams).proxy
    proxy.set_state(
        site.rng.choice([s for s in LinkState if s is not LinkState.OPEN])
    )
    await asyncio.sleep(duration_s)
    proxy.set_state(LinkState.OPEN)


@register_fault("habit")
async def misbehave(site: Site, duration_s: float) -> None:
    """Make an upstream misbehave while its health checks still pass."""
    upstream = site.rng.choice(site.upstreams)
    upstream.behavior = site.rng.choice(
        [b for b in Behavior if b is not Behavior.NORMAL]
    )
    await asyncio.sleep(duration_s)
    upstream.behavior = Behavior.NORMAL


@register_fault("entry", is_planned=True)
async def write_odd_entry(site: Site, duration_s: float) -> None:
    """Write an entry that names no upstream among those of the upstreams."""
    key = f"{documents.TARGET_PREFIX}odd-{site.rng.randrange(100)}"
    await site.store.put(key, site.rng.choice(ODD_ENTRIES))
    await asyncio.sleep(duration_s)
    await site.store.delete([key])


@register_fault("watch", is_planned=True)
async def cut_watches(site: Site, duration_s: float) -> None:
    """Cut the watches that wait, again and again."""
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        site.store.cut_watches()
        await asyncio.sleep(WATCH_CUT_INTERVAL_S)


@register_fault("upload", is_planned=True)
async def send_large_bodies(site: Site, duration_s: float) -> None:
    """Send large bodies to one host, which must stay within its memory."""
    host = _random_host(site)
    number = site.rng.getrandbits(32)
    uploads = [
        _upload(host, f"upload-{number}-{index}")
        for index in range(UPLOADS_AT_ONCE)
    ]
    await asyncio.gather(*uploads)
    used_bytes = host.memory_bytes()
    if used_bytes > MAX_MEMORY_BYTES:
        site.history.failures.append(
            f"{host.name}: uses {used_bytes} bytes after uploads"
        )


async def _upload(host: SoakHost, request_id: str) -> None:
    """Send one large body and read the answer, if any."""
    url = f"http://{host.host_config.front}{UPLOAD_TARGET}"
    timeout = aiohttp.ClientTimeout(total=UPLOAD_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.post(
                url,
                data=bytes(UPLOAD_BYTES),
                headers={
                    "Host": UPLOAD_AUTHORITY,
                    HEADER_NAMES.request_id: request_id,
                },
            ) as response:
                await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        # The host may be down, or another fault may break the upload.
        return
