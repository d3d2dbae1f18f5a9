"""Runs a whole site as separate processes on loopback, for tests and bench.

The platform, the upstreams and the entry hosts listen on ports that the
system chooses. They learn each other's addresses from the host list.
"""

import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
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

from standins.site_process import collect_lines
from standins.site_process import POLL_INTERVAL_MS
from standins.site_process import Process
from standins.site_process import SiteError
from wigeongw.adapters.etcd_store import EtcdStore
from wigeongw.adapters.host_list import HOST_LISTING_ADAPTER
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
# Log line of an entry host that has started.
SERVING_LINE = re.compile(
    r"Serving clients at (\S+), peers at (\S+), administration at (\S+)\."
)


class SiteProcesses:
    """A site; leaving its context kills every process.

    Attributes:
        processes: The processes by name. The upstreams that share a process
            are listed under the name of the first.
        listing: The host list that was set last.
        admin_addresses: Administration addresses of the entry hosts by name.
        platform_address: Address of the platform stand-in.
        folder: Temporary folder for files of the site.
        host_command: Command line prefix of an entry host.
        extra_environment: Environment variables added for every process.
        store: Client of the store.
    """

    def __init__(self) -> None:
        self.exit_stack = AsyncExitStack()
        self.processes: dict[str, Process] = {}
        self.listing = HostListing()
        self.admin_addresses: dict[str, str] = {}
        self.platform_address = ""
        self.folder = pathlib.Path()
        self.host_command: tuple[str, ...] = (sys.executable, "-m", "wigeongw")
        self.extra_environment: dict[str, str] = {}

    async def __aenter__(self) -> "SiteProcesses":
        """Open a client session and a temporary folder."""
        temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.exit_stack.enter_context(temporary))
        self.session = await self.exit_stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=60.0),
            )
        )
        self.store = EtcdStore(self.session, "")
        return self

    async def __aexit__(self, *failure: object) -> None:
        """Kill all processes and close the session."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.process.wait()
            await asyncio.gather(*process.reader_tasks, return_exceptions=True)
        await self.exit_stack.aclose()

    # Start of processes

    async def start_platform(self, lag_ms: float = 100.0) -> None:
        """Start the stand-in for the store and the host list.

        Args:
            lag_ms: Lag of the host list in milliseconds.
        """
        process = await self._start(
            "platform",
            sys.executable,
            "-m",
            "standins.platform",
            "--lag-ms",
            str(lag_ms),
        )
        match = await process.wait_line(re.compile(r"\{.*\}"))
        self.platform_address = json.loads(match[0])["address"]
        self.store = EtcdStore(self.session, f"http://{self.platform_address}")

    async def start_upstreams(
        self,
        service: str,
        availability_zone: str,
        names: Iterable[str],
        **options: float,
    ) -> None:
        """Start upstreams in one process and add them to the host list.

        Args:
            service: Service of the upstreams.
            availability_zone: Their availability zone.
            names: Names of the upstreams; the first one also names the
                process.
            options: Options of ``standins.upstream`` with underscores.
        """
        upstream_names = list(names)
        flags: list[str] = []
        for option, value in options.items():
            flags += [f"--{option.replace('_', '-')}", str(value)]
        process = await self._start(
            upstream_names[0],
            sys.executable,
            "-m",
            "standins.upstream",
            *upstream_names,
            *flags,
        )
        match = await process.wait_line(re.compile(r"\{.*\}"))
        started = tuple(
            Upstream(name, address, service, availability_zone)
            for name, address in json.loads(match[0]).items()
        )
        await self.set_host_list(
            replace(self.listing, upstreams=self.listing.upstreams + started)
        )

    async def start_host(
        self,
        name: str,
        availability_zone: str,
        listed: bool = True,
        trace_file: str = "",
        **options: Any,
    ) -> None:
        """Start an entry host and wait until it serves.

        Args:
            name: Name of the host.
            availability_zone: Its availability zone.
            listed: Whether to add the host to the host list.
            trace_file: Path of the trace; empty for none.
            options: Further settings of the host.
        """
        path = self.folder / f"{name}.toml"
        settings = {
            "name": name,
            "availability_zone": availability_zone,
            "address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "store": f"http://{self.platform_address}",
            "host_list": f"http://{self.platform_address}/hosts",
            "record_file": str(self.record_file(name)),
            "trace_file": trace_file,
            **options,
        }
        path.write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in settings.items())
        )
        process = await self._start(
            name, *self.host_command, "serve", "--host-settings", str(path)
        )
        match = await process.wait_line(SERVING_LINE)
        self.admin_addresses[name] = match[3]
        if listed:
            host = EntryHost(name, match[1], match[2], availability_zone)
            hosts = (*self.listing.entry_hosts, host)
            await self.set_host_list(replace(self.listing, entry_hosts=hosts))

    async def start_hosts(
        self, hosts_and_zones: Iterable[tuple[str, str]]
    ) -> None:
        """Start several entry hosts concurrently.

        Args:
            hosts_and_zones: Name and availability zone of each host.
        """
        async with asyncio.TaskGroup() as group:
            for name, zone in hosts_and_zones:
                group.create_task(self.start_host(name, zone))

    def record_file(self, name: str) -> pathlib.Path:
        """Return the path of an entry host's record."""
        return self.folder / f"{name}.record"

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run a wigeongw command.

        Returns:
            Exit code, and standard output and standard error together.
        """
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

    # Platform

    async def set_host_list(self, listing: HostListing) -> None:
        """Set the host list, which the platform serves after its lag."""
        self.listing = listing
        body = HOST_LISTING_ADAPTER.dump_python(listing, mode="json")
        await self.post(f"http://{self.platform_address}/control/hosts", body)

    async def mark_leaving(self, name: str) -> None:
        """Mark an upstream as leaving in the host list."""
        upstreams = tuple(
            replace(u, state=HostState.LEAVING) if u.name == name else u
            for u in self.listing.upstreams
        )
        await self.set_host_list(replace(self.listing, upstreams=upstreams))

    async def set_platform_faults(self, **faults: float | bool) -> None:
        """Set faults of the platform; faults that are not named are off."""
        await self.post(
            f"http://{self.platform_address}/control/faults", faults
        )

    async def expire_all_leases(self) -> None:
        """End all leases in the store at once."""
        await self.post(f"http://{self.platform_address}/control/lapse", {})

    async def copy_store(self) -> None:
        """Keep a copy that the store can come back from."""
        await self.post(f"http://{self.platform_address}/control/copy", {})

    async def restore_store(self) -> None:
        """Bring the store back from the copy."""
        await self.post(f"http://{self.platform_address}/control/restore", {})

    async def publish(self, text: str) -> Revision:
        """Publish settings as an operator does, without notifying hosts."""
        current = await revisions.read_current_revision(self.store, PREFIX)
        revision = revisions.next_revision(
            current.revision, text, "test", "test", Clock().wall()
        )
        return await revisions.publish(self.store, PREFIX, current, revision)

    # Upstreams

    def upstream_address(self, name: str) -> str:
        """Return an upstream's address."""
        matches = (u for u in self.listing.upstreams if u.name == name)
        return next(matches).address

    async def control(
        self, upstream: str, action: str, body: Any = None
    ) -> Any:
        """Call the control interface of an upstream.

        Args:
            upstream: Name of the upstream.
            action: Last segment of the path below ``/control/``.
            body: JSON body of the call.
        """
        address = self.upstream_address(upstream)
        return await self.post(f"http://{address}/control/{action}", body)

    async def upstream_counters(self, upstream: str) -> dict[str, Any]:
        """Return the counters of an upstream."""
        counters: dict[str, Any] = await self.control(upstream, "seen", {})
        return counters

    async def all_upstream_counters(self) -> dict[str, dict[str, Any]]:
        """Return the counters of every upstream by name."""
        return {
            u.name: await self.upstream_counters(u.name)
            for u in self.listing.upstreams
        }

    # Entry hosts

    def address(self, name: str) -> str:
        """Return an entry host's address for clients."""
        matches = (h for h in self.listing.entry_hosts if h.name == name)
        return next(matches).address

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status document of an entry host."""
        async with self.session.get(
            f"http://{self.admin_addresses[name]}/status"
        ) as response:
            document: dict[str, Any] = await response.json()
            return document

    async def metrics(self, name: str) -> dict[str, str]:
        """Return an entry host's counters and timings by name."""
        async with self.session.get(
            f"http://{self.admin_addresses[name]}/metrics"
        ) as response:
            text = await response.text()
        pairs = (line.split(" count=") for line in text.splitlines())
        metrics: dict[str, str] = {}
        for pair in pairs:
            if len(pair) == 2:
                metrics[pair[0]] = pair[1]
            else:
                metric, _, value = pair[0].rpartition(" ")
                metrics[metric] = value
        return metrics

    async def wait_warm(self, name: str, timeout_ms: float = 30_000.0) -> None:
        """Wait until an entry host reports no upstream as cold."""

        def all_warm(status: dict[str, Any]) -> bool:
            return all(
                u["state"] != "cold"
                for pool in status["pools"]
                for u in pool["upstreams"]
            )

        await self.wait_status(name, all_warm, timeout_ms)

    async def wait_status(
        self, name: str, predicate: Any, timeout_ms: float = 10_000.0
    ) -> dict[str, Any]:
        """Wait until the status of an entry host satisfies a predicate.

        Args:
            name: Name of the host.
            predicate: Called with each status document; returns whether to
                stop waiting.
            timeout_ms: Time to wait in milliseconds.

        Returns:
            The first status document that satisfies the predicate.

        Raises:
            SiteError: if none does in time.
        """
        clock = Clock()
        ends_at = clock.now() + timeout_ms
        while True:
            status = await self.status(name)
            if predicate(status):
                return status
            if clock.now() >= ends_at:
                raise SiteError(
                    f"{name}: status not as expected after {timeout_ms} ms: "
                    f"{json.dumps(status)}"
                )
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))

    async def wait_revision(
        self,
        number: int,
        names: Iterable[str] = (),
        timeout_ms: float = 10_000.0,
    ) -> None:
        """Wait until entry hosts apply a revision or a later one.

        Args:
            number: Number of the revision.
            names: Names of the hosts; all by default.
            timeout_ms: Time to wait for each host in milliseconds.
        """
        for name in names or list(self.admin_addresses):
            await self.wait_status(
                name, lambda status: status["revision"] >= number, timeout_ms
            )

    async def wait_grantors(self, timeout_ms: float = 10_000.0) -> None:
        """Wait until every pool has a fenced and settled grantor.

        A grantor is settled when it has heard from every host.

        Raises:
            SiteError: if a pool has none in time.
        """
        clock = Clock()
        ends_at = clock.now() + timeout_ms
        while clock.now() < ends_at:
            fenced: set[str] = set()
            pools: set[str] = set()
            for name in self.admin_addresses:
                status = await self.status(name)
                pools |= {p["pool"] for p in status["pools"]}
                fenced |= {
                    p["pool"]
                    for p in status["pools"]
                    if p["fenced"] and p["settled"]
                }
            if pools and pools == fenced:
                return
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))
        raise SiteError(
            "not every pool has a fenced and settled grantor after "
            f"{timeout_ms} ms"
        )

    async def grantor(self, pool: str) -> str:
        """Return the host that holds a pool's fence according to the store."""
        snapshot = await self.store.read(f"{PREFIX}live/fences/{pool}")
        return snapshot.entries[0].value.decode()

    async def get(
        self, host: str, path: str, **options: Any
    ) -> aiohttp.ClientResponse:
        """Send a GET to an entry host and read the complete response."""
        return await self.request(host, "GET", path, **options)

    async def request(
        self, host: str, method: str, path: str, **options: Any
    ) -> aiohttp.ClientResponse:
        """Send a request to an entry host and read the complete response."""
        url = f"http://{self.address(host)}{path}"
        response = await self.session.request(method, url, **options)
        await response.read()
        return response

    async def post(self, url: str, body: Any) -> Any:
        """Send JSON to a control interface and return its JSON response."""
        async with self.session.post(url, json=body) as response:
            return json.loads(await response.read())

    # Implementation

    async def _start(self, name: str, *command: str) -> Process:
        child = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={**os.environ, **self.extra_environment},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        process = Process(name, child)
        for stream in (child.stdout, child.stderr):
            assert stream is not None
            reader = asyncio.create_task(collect_lines(stream, process.lines))
            process.reader_tasks.append(reader)
        self.processes[name] = process
        return process


def settings_text(**tables: Any) -> str:
    """Return settings of a small site that warms up and stops quickly.

    Args:
        tables: Top-level tables, which replace or extend the defaults.
    """
    from wigeongw.settings.document import render

    defaults: dict[str, Any] = {
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
    return render({**defaults, **tables})
