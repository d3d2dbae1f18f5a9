"""Faults that a play draws, each a coroutine that ends what it began."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import time

from soak.proxy import Link
from soak.records import Trouble
from soak.site import GRACE_S
from soak.site import Site
from soak.site import SoakHost
from soak.upstreams import Habit

Fault = Callable[[Site, float], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
PLANNED: set[str] = set()
KILLED_FOR_S = 0.5
# Python and its libraries start within this time.
STOP_SLACK_S = 1.0


def fault(name: str, planned: bool = False) -> Callable[[Fault], Fault]:
    """Register a fault under its name."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        if planned:
            PLANNED.add(name)
        return function

    return register


async def strike(name: str, site: Site, for_s: float) -> None:
    """Play one fault and note when it was."""
    began = time.monotonic()
    place = len(site.seen.troubles)
    planned = name in PLANNED
    # Until it is over it may last any time.
    open_end = Trouble(name, "", planned, began, float("inf"))
    site.seen.troubles.append(open_end)
    await FAULTS[name](site, for_s)
    site.seen.troubles[place] = Trouble(
        name, "", planned, began, time.monotonic()
    )


def _a_host(site: Site) -> SoakHost:
    return site.rng.choice(site.hosts)


@fault("kill")
async def kill(site: Site, for_s: float) -> None:
    """A host is killed and starts again."""
    host = _a_host(site)
    await host.end()
    await asyncio.sleep(min(for_s, KILLED_FOR_S))
    await host.start()


@fault("pause")
async def pause(site: Site, for_s: float) -> None:
    """A host is frozen and wakes again."""
    host = _a_host(site)
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    host.signal(signal.SIGCONT)


@fault("stop", planned=True)
async def stop(site: Site, for_s: float) -> None:
    """A host is asked to stop, does so in time, and starts again."""
    host = _a_host(site)
    host.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S + STOP_SLACK_S):
            await host.gone()
    except TimeoutError:
        calm = not any(not t.planned for t in site.seen.troubles)
        if calm:
            site.seen.mistakes.append(f"{host.name}: did not stop in time")
        await host.end()
    await host.start()


@fault("reload", planned=True)
async def reload(site: Site, for_s: float) -> None:
    """Hosts are told to read their settings again."""
    for host in site.hosts:
        if host.hears(signal.SIGHUP):
            host.signal(signal.SIGHUP)
    await asyncio.sleep(0)


@fault("configure", planned=True)
async def configure(site: Site, for_s: float) -> None:
    """Operators publish two configurations in a row."""
    await site.configure()
    await asyncio.sleep(for_s / 2)
    await site.configure()


@fault("drain", planned=True)
async def drain(site: Site, for_s: float) -> None:
    """An upstream leaves and comes back."""
    upstream = site.rng.choice(site.upstreams)
    await site.publish(upstream, draining=True)
    await asyncio.sleep(for_s)
    await site.publish(upstream)


@fault("store")
async def store(site: Site, for_s: float) -> None:
    """The store is silent, refuses, is slow or loses answers."""
    faults = site.store.faults
    how = site.rng.choice(("silent", "busy", "slow", "lost"))
    faults.silent = how == "silent"
    faults.status = 503 if how == "busy" else 0
    faults.slow_s = 0.3 if how == "slow" else 0.0
    faults.lose_answers = 5 if how == "lost" else 0
    await asyncio.sleep(for_s)
    faults.silent, faults.status = False, 0
    faults.slow_s, faults.lose_answers = 0.0, 0


@fault("history")
async def history(site: Site, for_s: float) -> None:
    """The store forgets its history around a change."""
    await site.configure()
    site.store.forget()
    await asyncio.sleep(0)


@fault("door")
async def door(site: Site, for_s: float) -> None:
    """One host's way to the store is cut, slow or reset."""
    proxy = _a_host(site).door
    proxy.set(
        site.rng.choice([link for link in Link if link is not Link.OPEN])
    )
    await asyncio.sleep(for_s)
    proxy.set(Link.OPEN)


@fault("way")
async def way(site: Site, for_s: float) -> None:
    """The way to one upstream is cut, slow or reset."""
    proxy = site.rng.choice(site.upstreams).proxy
    proxy.set(
        site.rng.choice([link for link in Link if link is not Link.OPEN])
    )
    await asyncio.sleep(for_s)
    proxy.set(Link.OPEN)


@fault("habit")
async def habit(site: Site, for_s: float) -> None:
    """An upstream misbehaves while its health is good."""
    upstream = site.rng.choice(site.upstreams)
    upstream.habit = site.rng.choice(
        [one for one in Habit if one is not Habit.WELL]
    )
    await asyncio.sleep(for_s)
    upstream.habit = Habit.WELL
