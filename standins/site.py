"""Runs a whole site as separate processes on loopback, for tests and bench.

The platform, the upstreams and the entry hosts are started with ports that
the system chooses, and told about each other afterwards.
"""

import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import json
import os
import pathlib
import re
import signal
import sys
import tempfile
from typing import Any

import aiohttp

from wigeongw.adapters.etcd_store import EtcdStore
from wigeongw.adapters.host_list import LISTING
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Revision
from wigeongw.core.records import Upstream
from wigeongw.settings import revisions

PREFIX = "wigeongw/"
ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVING = re.compile(
    r"Serving clients at (\S+), peers at (\S+), administration at (\S+)\."
)
START_MOST_MS = 20_000.0
POLL_MS = 20.0


class SiteError(Exception):
    """A process of the site did not do what was waited for."""


@dataclass
class Process:
    """One process, with the lines that it wrote."""

    name: str
    process: asyncio.subprocess.Process
    lines: list[str] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)
    paused: bool = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Freeze the process."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.paused = False
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process without a word."""
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        self.signal(signal.SIGTERM)

    async def wait(self, most_ms: float = START_MOST_MS) -> int:
        """Wait for the end and return the exit code."""
        async with asyncio.timeout(seconds(most_ms)):
            return await self.process.wait()

    async def line(self, pattern: re.Pattern[str]) -> re.Match[str]:
        """Wait for a line that matches.

        Raises:
            SiteError: when none comes.
        """
        clock = Clock()
        ends_at = clock.now() + START_MOST_MS
        while clock.now() < ends_at:
            for line in self.lines:
                found = pattern.search(line)
                if found:
                    return found
            if self.process.returncode is not None:
                break
            await asyncio.sleep(seconds(POLL_MS))
        raise SiteError(f"{self.name}: {self.lines[-20:]}")


class SiteProcesses:
    """A site; leaving its context ends every process."""

    def __init__(self) -> None:
        self.stack = AsyncExitStack()
        self.processes: dict[str, Process] = {}
        self.listing = HostListing()
        self.admin: dict[str, str] = {}
        self.platform = ""
        self.folder = pathlib.Path()
        self.program: tuple[str, ...] = (sys.executable, "-m", "wigeongw")
        self.environment: dict[str, str] = {}

    async def __aenter__(self) -> "SiteProcesses":
        """Open a client session and a folder for files."""
        temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.stack.enter_context(temporary))
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=60.0),
            )
        )
        self.store = EtcdStore(self.session, "")
        return self

    async def __aexit__(self, *failure: object) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.process.wait()
            await asyncio.gather(*process.readers, return_exceptions=True)
        await self.stack.aclose()

    # Starting

    async def start_platform(self, lag_ms: float = 100.0) -> None:
        """Start the stand-in for store and host list."""
        process = await self._start(
            "platform",
            sys.executable,
            "-m",
            "standins.platform",
            "--lag-ms",
            str(lag_ms),
        )
        found = await process.line(re.compile(r"\{.*\}"))
        self.platform = json.loads(found[0])["address"]
        self.store = EtcdStore(self.session, f"http://{self.platform}")

    async def start_upstreams(
        self,
        service: str,
        availability_zone: str,
        names: Iterable[str],
        **rules: float,
    ) -> None:
        """Start upstreams in one process, named like the first of them."""
        wanted = list(names)
        options: list[str] = []
        for rule, value in rules.items():
            options += [f"--{rule.replace('_', '-')}", str(value)]
        process = await self._start(
            wanted[0],
            sys.executable,
            "-m",
            "standins.upstream",
            *wanted,
            *options,
        )
        found = await process.line(re.compile(r"\{.*\}"))
        added = tuple(
            Upstream(name, address, service, availability_zone)
            for name, address in json.loads(found[0]).items()
        )
        await self.list_hosts(
            replace(self.listing, upstreams=self.listing.upstreams + added)
        )

    async def start_host(
        self,
        name: str,
        availability_zone: str,
        listed: bool = True,
        trace_file: str = "",
    ) -> None:
        """Start an entry host and put it on the list."""
        path = self.folder / f"{name}.toml"
        values = {
            "name": name,
            "availability_zone": availability_zone,
            "address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "store": f"http://{self.platform}",
            "host_list": f"http://{self.platform}/hosts",
            "record_file": str(self.record_file(name)),
            "trace_file": trace_file,
        }
        path.write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())
        )
        process = await self._start(
            name, *self.program, "serve", "--host-settings", str(path)
        )
        found = await process.line(SERVING)
        self.admin[name] = found[3]
        if listed:
            host = EntryHost(name, found[1], found[2], availability_zone)
            hosts = (*self.listing.entry_hosts, host)
            await self.list_hosts(replace(self.listing, entry_hosts=hosts))

    async def start_hosts(self, placed: Iterable[tuple[str, str]]) -> None:
        """Start several entry hosts at once."""
        async with asyncio.TaskGroup() as group:
            for name, zone in placed:
                group.create_task(self.start_host(name, zone))

    def record_file(self, name: str) -> pathlib.Path:
        """Return where an entry host writes its record."""
        return self.folder / f"{name}.record"

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run a wigeongw command; return exit code and all output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wigeongw",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    # The platform

    async def list_hosts(self, listing: HostListing) -> None:
        """Set the host list; it shows after its lag."""
        self.listing = listing
        body = LISTING.dump_python(listing, mode="json")
        await self.post(f"http://{self.platform}/control/hosts", body)

    async def mark_leaving(self, name: str) -> None:
        """Show an upstream as leaving on the list."""
        upstreams = tuple(
            replace(u, state=HostState.LEAVING) if u.name == name else u
            for u in self.listing.upstreams
        )
        await self.list_hosts(replace(self.listing, upstreams=upstreams))

    async def store_faults(self, **faults: float | bool) -> None:
        """Switch faults of the platform; those not named are off."""
        await self.post(f"http://{self.platform}/control/faults", faults)

    async def lapse_leases(self) -> None:
        """End all leases in the store."""
        await self.post(f"http://{self.platform}/control/lapse", {})

    async def publish(self, text: str) -> Revision:
        """Publish settings as an operator does, without telling hosts."""
        base = await revisions.read_in_force(self.store, PREFIX)
        offered = revisions.next_revision(
            base.revision, text, "test", "test", Clock().wall()
        )
        return await revisions.publish(self.store, PREFIX, base, offered)

    # Upstreams

    def upstream_address(self, name: str) -> str:
        """Return an upstream's address."""
        found = (u for u in self.listing.upstreams if u.name == name)
        return next(found).address

    async def control(
        self, upstream: str, action: str, body: Any = None
    ) -> Any:
        """Call an upstream's control interface."""
        address = self.upstream_address(upstream)
        return await self.post(f"http://{address}/control/{action}", body)

    async def seen(self, upstream: str) -> dict[str, Any]:
        """Return what an upstream really did."""
        found: dict[str, Any] = await self.control(upstream, "seen", {})
        return found

    async def all_seen(self) -> dict[str, dict[str, Any]]:
        """Return what every upstream really did."""
        return {
            u.name: await self.seen(u.name) for u in self.listing.upstreams
        }

    # Entry hosts

    def address(self, name: str) -> str:
        """Return an entry host's address for clients."""
        found = (h for h in self.listing.entry_hosts if h.name == name)
        return next(found).address

    async def status(self, name: str) -> dict[str, Any]:
        """Return what an entry host believes."""
        async with self.session.get(
            f"http://{self.admin[name]}/status"
        ) as response:
            found: dict[str, Any] = await response.json()
            return found

    async def metrics(self, name: str) -> dict[str, str]:
        """Return an entry host's counters and timings by name."""
        async with self.session.get(
            f"http://{self.admin[name]}/metrics"
        ) as response:
            text = await response.text()
        pairs = (line.split(" count=") for line in text.splitlines())
        found: dict[str, str] = {}
        for pair in pairs:
            if len(pair) == 2:
                found[pair[0]] = pair[1]
            else:
                name_of, _, value = pair[0].rpartition(" ")
                found[name_of] = value
        return found

    async def wait_warm(self, name: str, most_ms: float = 30_000.0) -> None:
        """Wait until an entry host knows every open upstream as warm."""

        def warm(found: dict[str, Any]) -> bool:
            return all(
                u["state"] != "cold"
                for pool in found["pools"]
                for u in pool["upstreams"]
            )

        await self.wait_status(name, warm, most_ms)

    async def wait_status(
        self, name: str, wanted: Any, most_ms: float = 10_000.0
    ) -> dict[str, Any]:
        """Wait until an entry host's status is as wanted.

        Raises:
            SiteError: when it does not become so.
        """
        clock = Clock()
        ends_at = clock.now() + most_ms
        while True:
            found = await self.status(name)
            if wanted(found):
                return found
            if clock.now() >= ends_at:
                raise SiteError(f"{name}: {json.dumps(found)}")
            await asyncio.sleep(seconds(POLL_MS))

    async def wait_revision(
        self, number: int, names: Iterable[str] = (), most_ms: float = 10_000.0
    ) -> None:
        """Wait until entry hosts have a revision in force."""
        for name in names or list(self.admin):
            await self.wait_status(
                name, lambda found: found["revision"] >= number, most_ms
            )

    async def wait_fences(self, most_ms: float = 10_000.0) -> None:
        """Wait until every pool has a fenced grantor that heard everybody."""
        clock = Clock()
        ends_at = clock.now() + most_ms
        while clock.now() < ends_at:
            fenced: set[str] = set()
            pools: set[str] = set()
            for name in self.admin:
                found = await self.status(name)
                pools |= {p["pool"] for p in found["pools"]}
                fenced |= {
                    p["pool"]
                    for p in found["pools"]
                    if p["fenced"] and p["settled"]
                }
            if pools and pools == fenced:
                return
            await asyncio.sleep(seconds(POLL_MS))
        raise SiteError("not every pool has a fenced grantor")

    async def grantor(self, pool: str) -> str:
        """Return who owns a pool's fence, as the store says."""
        snapshot = await self.store.read(f"{PREFIX}live/fences/{pool}")
        return snapshot.entries[0].value.decode()

    async def get(
        self, host: str, path: str, **options: Any
    ) -> aiohttp.ClientResponse:
        """Send a GET and read the whole answer."""
        return await self.request(host, "GET", path, **options)

    async def request(
        self, host: str, method: str, path: str, **options: Any
    ) -> aiohttp.ClientResponse:
        """Send a request and read the whole answer."""
        url = f"http://{self.address(host)}{path}"
        response = await self.session.request(method, url, **options)
        await response.read()
        return response

    async def post(self, url: str, body: Any) -> Any:
        """Send JSON to a control interface."""
        async with self.session.post(url, json=body) as response:
            return json.loads(await response.read())

    # Inside

    async def _start(self, name: str, *command: str) -> Process:
        started = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={**os.environ, **self.environment},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        process = Process(name, started)
        for stream in (started.stdout, started.stderr):
            assert stream is not None
            reader = asyncio.create_task(_read(stream, process.lines))
            process.readers.append(reader)
        self.processes[name] = process
        return process


async def _read(stream: asyncio.StreamReader, lines: list[str]) -> None:
    while True:
        line = await stream.readline()
        if not line:
            return
        lines.append(line.decode(errors="replace").rstrip())


def settings_text(**tables: Any) -> str:
    """Return settings of a small site, quick to warm up and to stop.

    Args:
        tables: values that replace or extend whole top-level tables.
    """
    from wigeongw.settings.document import render

    base: dict[str, Any] = {
        "site": "test",
        "availability_zones": {
            zone: {"distance_ms": 0.1} for zone in ("amman", "irbid", "zarqa")
        },
        "services": {
            "dial-watch": {"paths": ["/dial-watch"]},
            "regulator": {"paths": ["/regulator"]},
        },
        "cold_start": {"work_per_step": 3},
        "addresses": {"lifetime_ms": 1000.0},
    }
    return render({**base, **tables})
