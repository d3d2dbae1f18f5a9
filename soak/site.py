"""A site of real entry hosts on this machine, with store and upstreams."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any

import aiohttp

from clockworks import documents
from clockworks import program
from clockworks import sample_documents
from clockworks.platform_apps import READY_PATH
from clockworks.platform_apps import RESOLVE_PATH
from clockworks.store_stand_in import StoreStandIn
from soak.clients import SoakClient
from soak.proxy import Proxy
from soak.run_history import RunHistory
from soak.upstreams import SoakUpstream
from standins.free_ports import free_address
from standins.free_ports import free_port
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.site import HostConfig
from wigeongw.core.site import SiteLimits

ROOT = pathlib.Path(__file__).resolve().parents[1]
START_SCRIPT = ROOT / "platform" / "start.py"
ZONES = ("amman", "irbid")
HOST_COUNT = 4
UPSTREAMS_PER_SERVICE = 3
CLIENT_COUNT = 10
GRACE_PERIOD_S = 3.0
READY_TIMEOUT_S = 10.0
BYTES_PER_KIB = 1_024
# Fields of /proc/PID/status: masks of the ignored and the handled signals.
SIGNAL_MASK_FIELDS = ("SigIgn:", "SigCgt:")


class SoakHost:
    """One entry host: a process that is restarted at fixed addresses.

    Attributes:
        name: Name of the host.
        host_config: Addresses, zone and bounds of the host.
        settings_file: Path of the settings that the host reads.
        log_file: Path to which the output of the host is appended.
        store_proxy: Proxy through which the host reaches the store.
        process: The current or last process; None before the first start.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.host_config = HostConfig(
            name,
            zone,
            front=free_address(),
            readiness=free_address(),
            directory=free_address(),
            peer=free_address(),
            contact=free_address(),
            bounds=SiteLimits(grace_ms=GRACE_PERIOD_S * MS_PER_S),
            metrics_port=free_port(),
        )
        self.settings_file = folder / f"{name}.json"
        self.log_file = folder / f"{name}.log"
        self.store_proxy: Proxy
        self.process: asyncio.subprocess.Process | None = None
        # Overlapping faults on one host each start it again; the lock keeps
        # them from starting two processes.
        self.start_lock = asyncio.Lock()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self, seeds: tuple[str, ...]) -> None:
        """Write the settings file that the platform would provide.

        Args:
            seeds: Contact addresses of the hosts to join first.
        """
        document = sample_documents.host_settings_document(
            replace(self.host_config, seeds=seeds), self.store_proxy.address
        )
        self.settings_file.write_text(json.dumps(document), encoding="utf-8")

    async def start(self) -> None:
        """Start the process unless it runs."""
        async with self.start_lock:
            if not self.is_running:
                await self._start()

    async def _start(self) -> None:
        with self.log_file.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(START_SCRIPT),
                str(self.host_config.metrics_port),
                env={
                    **os.environ,
                    program.SETTINGS_PATH_VARIABLE: str(self.settings_file),
                    "PYTHONPATH": str(ROOT),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def handles_signal(self, number: int) -> bool:
        """Return whether the process ignores or handles a signal.

        For some hundredths of a second after its start, while the
        interpreter is loaded, the default action ends the process, and no
        program can prevent that.
        """
        if self.process is None or not self.is_running:
            return False
        masks = [
            line.split()[1]
            for line in self._status_lines()
            if line.startswith(SIGNAL_MASK_FIELDS)
        ]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def memory_bytes(self) -> int:
        """Return the most memory that the process has used; 0 when it ended.

        Only resident memory counts.
        """
        if self.process is None or not self.is_running:
            return 0
        lines = self._status_lines()
        sizes = [ln.split()[1] for ln in lines if ln.startswith("VmHWM:")]
        return int(sizes[0]) * BYTES_PER_KIB if sizes else 0

    def _status_lines(self) -> list[str]:
        """Return the status of the process; nothing when it is gone.

        It may be gone although its exit code is not known yet.
        """
        assert self.process is not None
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        try:
            return path.read_text(encoding="utf-8").splitlines()
        except (FileNotFoundError, ProcessLookupError):
            return []

    async def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        assert self.process is not None
        return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it runs, also when it is suspended."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Site:
    """The store, upstreams, hosts and clients of one run.

    Attributes:
        rng: Random choices of the faults and the upstreams.
        seed: Seed of the run.
        history: What clients and upstreams observe.
        version: Version of the configuration published last.
        client_tasks: Tasks of the clients.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, stack: AsyncExitStack
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.stack = stack
        self.history = RunHistory()
        self.store = StoreStandIn()
        self.version = 7
        self.upstreams = [
            SoakUpstream(
                f"i-{service}-{n}",
                service,
                ZONES[n % len(ZONES)],
                self.history,
                self.rng,
            )
            for service in ("dial", "desk")
            for n in range(UPSTREAMS_PER_SERVICE)
        ]
        self.hosts = [
            SoakHost(f"entry-{n}", ZONES[n % len(ZONES)], folder)
            for n in range(HOST_COUNT)
        ]
        self.client_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start store, upstreams and hosts; once these are ready, clients."""
        await self.store.start(self.stack)
        expiry_task = asyncio.create_task(self.store.expire_leases())
        self.stack.callback(expiry_task.cancel)
        for upstream in self.upstreams:
            await upstream.start(self.stack)
            await self.publish_upstream(upstream)
        await self.publish_configuration()
        seeds = tuple(host.host_config.contact for host in self.hosts[:2])
        for host in self.hosts:
            host.store_proxy = Proxy(self.store.address)
            await host.store_proxy.start(self.stack)
            host.write_settings(seeds)
            await host.start()
            self.stack.push_async_callback(host.kill)
        await self.wait_until_ready()
        host_addresses = {
            host.name: host.host_config.front for host in self.hosts
        }
        for number in range(CLIENT_COUNT):
            client = SoakClient(
                f"c{number}",
                host_addresses,
                self.history,
                self.seed * 100 + number,
            )
            task = asyncio.create_task(client.run())
            self.client_tasks.append(task)
            self.stack.callback(task.cancel)

    async def publish_configuration(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        document = sample_documents.configuration_without_split(self.version)
        await self.store.put(documents.CONFIGURATION_KEY, document)

    async def publish_upstream(
        self, upstream: SoakUpstream, draining: bool = False
    ) -> None:
        """Write the entry of an upstream to the store."""
        key = documents.TARGET_PREFIX + upstream.instance_id
        await self.store.put(key, upstream.store_entry(draining))

    async def wait_until_ready(self) -> None:
        """Wait until every host is ready; record those that are not."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for host in self.hosts:
                while not await self._is_ready(session, host):
                    if time.monotonic() > ends_at:
                        self.history.failures.append(f"{host.name}: not ready")
                        break
                    await asyncio.sleep(0.05)

    async def resolve_addresses(self, host: SoakHost) -> set[str]:
        """Ask a host for the entry host addresses that clients should use.

        Returns:
            The addresses; an empty set, and a recorded failure, when the
            host does not answer.
        """
        path = f"{RESOLVE_PATH}?name=a.example"
        url = f"http://{host.host_config.directory}{path}"
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    document: dict[str, Any] = await response.json()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.history.failures.append(
                f"{host.name}: no answer to the address query: {error!r}"
            )
            return set()
        return sample_documents.resolved_addresses(document)

    async def _is_ready(
        self, session: aiohttp.ClientSession, host: SoakHost
    ) -> bool:
        try:
            async with asyncio.timeout(1.0):
                url = f"http://{host.host_config.readiness}{READY_PATH}"
                async with session.get(url) as response:
                    return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
