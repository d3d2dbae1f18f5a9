"""A site of real hosts on this machine, with everything around them."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import aiohttp

from clockworks import documents
from clockworks import examples
from clockworks import program
from clockworks.client_answers import READY_PATH
from clockworks.client_answers import RESOLVE_PATH
from clockworks.store_stand_in import StoreStandIn
from soak.callers import Caller
from soak.proxy import Proxy
from soak.records import Seen
from soak.upstreams import SoakUpstream
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.site import Bounds
from wigeongw.core.site import HostIdentity

ROOT = pathlib.Path(__file__).resolve().parents[1]
START = ROOT / "platform" / "start.py"
ZONES = ("amman", "irbid")
HOSTS = 4
UPSTREAMS = 3
CALLERS = 10
GRACE_S = 3.0
READY_WITHIN_S = 10.0
# Below the range of ports for outgoing connections.
OWN_PORTS = (12_000, 30_000)
# Signals that a process ignores and handles.
MASKS = ("SigIgn:", "SigCgt:")


def free_address() -> str:
    """Return an address that is free and stays so while its host is down.

    Ports that the system hands out itself would be taken by connections.
    """
    while True:
        port = random.randrange(*OWN_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"


class SoakHost:
    """One entry host: a process that comes and goes at fixed addresses."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.me = HostIdentity(
            name,
            zone,
            front=free_address(),
            readiness=free_address(),
            directory=free_address(),
            peer=free_address(),
            contact=free_address(),
            bounds=Bounds(grace_ms=GRACE_S * MS_PER_S),
        )
        self.settings = folder / f"{name}.json"
        self.output = folder / f"{name}.log"
        self.door: Proxy
        self.process: asyncio.subprocess.Process | None = None
        # Several faults may strike one host and each starts it again.
        self.starting = asyncio.Lock()

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self, seeds: tuple[str, ...]) -> None:
        """Write what the platform would."""
        document = examples.settings_of(
            replace(self.me, seeds=seeds), self.door.address
        )
        self.settings.write_text(json.dumps(document), encoding="utf-8")

    async def start(self) -> None:
        """Start the process unless it runs."""
        async with self.starting:
            if not self.runs:
                await self._start()

    async def _start(self) -> None:
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(START),
                env={
                    **os.environ,
                    program.SETTINGS_VARIABLE: str(self.settings),
                    "PYTHONPATH": str(ROOT),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.runs:
            self.process.send_signal(number)

    def hears(self, number: int) -> bool:
        """Say whether a signal would not end the process.

        For some hundredths of a second the interpreter itself is loaded, and
        no program can ask it not to end.
        """
        if self.process is None or not self.runs:
            return False
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        lines = path.read_text(encoding="utf-8").splitlines()
        masks = [line.split()[1] for line in lines if line.startswith(MASKS)]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    async def gone(self) -> int:
        """Wait for the process to end and return its code."""
        assert self.process is not None
        return await self.process.wait()

    async def end(self) -> None:
        """Kill the process if it runs."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Site:
    """The store, upstreams, hosts and callers of one play."""

    def __init__(
        self, seed: int, folder: pathlib.Path, stack: AsyncExitStack
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.stack = stack
        self.seen = Seen()
        self.store = StoreStandIn()
        self.version = 7
        self.upstreams = [
            SoakUpstream(
                f"i-{service}-{n}",
                service,
                ZONES[n % len(ZONES)],
                self.seen,
                self.rng,
            )
            for service in ("dial", "desk")
            for n in range(UPSTREAMS)
        ]
        self.hosts = [
            SoakHost(f"entry-{n}", ZONES[n % len(ZONES)], folder)
            for n in range(HOSTS)
        ]
        self.calling: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start everything and wait until every host is ready."""
        await self.store.start(self.stack)
        expiring = asyncio.create_task(self.store.expire())
        self.stack.callback(expiring.cancel)
        for upstream in self.upstreams:
            await upstream.start(self.stack)
            await self.publish(upstream)
        await self.configure()
        seeds = tuple(host.me.contact for host in self.hosts[:2])
        for host in self.hosts:
            host.door = Proxy(self.store.address)
            await host.door.start(self.stack)
            host.write_settings(seeds)
            await host.start()
            self.stack.push_async_callback(host.end)
        await self.until_ready()
        fronts = {host.name: host.me.front for host in self.hosts}
        for number in range(CALLERS):
            caller = Caller(
                f"c{number}", fronts, self.seen, self.seed * 100 + number
            )
            task = asyncio.create_task(caller.run())
            self.calling.append(task)
            self.stack.callback(task.cancel)

    async def configure(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        document = examples.plain_configuration(self.version)
        await self.store.put(documents.CONFIGURATION_KEY, document)

    async def publish(
        self, upstream: SoakUpstream, draining: bool = False
    ) -> None:
        """Write an upstream's entry to the store."""
        key = documents.TARGET_PREFIX + upstream.identity
        await self.store.put(key, upstream.entry(draining))

    async def until_ready(self) -> None:
        """Wait until every host is ready; note those that are not."""
        ends = time.monotonic() + READY_WITHIN_S
        async with aiohttp.ClientSession() as session:
            for host in self.hosts:
                while not await self._is_ready(session, host):
                    if time.monotonic() > ends:
                        self.seen.mistakes.append(f"{host.name}: not ready")
                        break
                    await asyncio.sleep(0.05)

    async def addresses(self, host: SoakHost) -> set[str]:
        """Ask a host which addresses callers should use."""
        asked = f"{RESOLVE_PATH}?name=a.example"
        url = f"http://{host.me.directory}{asked}"
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    found: dict[str, Any] = await response.json()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.seen.mistakes.append(f"{host.name}: no answer: {error!r}")
            return set()
        return examples.named_addresses(found)

    async def _is_ready(
        self, session: aiohttp.ClientSession, host: SoakHost
    ) -> bool:
        try:
            async with asyncio.timeout(1.0):
                url = f"http://{host.me.readiness}{READY_PATH}"
                async with session.get(url) as response:
                    return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
