"""Base class for tests that run a whole site as separate processes."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any
import unittest

import aiohttp

from standins.site_processes import settings_text
from standins.site_processes import SiteProcesses

ZONES = ("amman", "irbid", "zarqa")
SERVICE = "dial-watch"


@dataclass
class LoadResult:
    """Result of a period of load.

    Attributes:
        success_count: Number of requests with a correct response.
        failures: Descriptions of the requests without one.
    """

    success_count: int = 0
    failures: list[str] = field(default_factory=list)


class SiteCase(unittest.IsolatedAsyncioTestCase):
    """Starts a site with one service; class attributes describe the site.

    Attributes:
        zones: Availability zones of the site.
        upstreams_per_zone: Number of upstreams in each zone.
        hosts_per_zone: Number of entry hosts in each zone.
        upstream_options: Options of ``standins.upstream`` with underscores.
        settings_tables: Top-level tables that replace the default settings.
        lag_ms: Lag of the host list in milliseconds.
        site: The running site.
        hosts: Names of the entry hosts.
    """

    zones: Sequence[str] = ZONES
    upstreams_per_zone = 2
    hosts_per_zone = 1
    upstream_options: dict[str, float] = {"work_ms": 5.0}
    settings_tables: dict[str, Any] = {}
    lag_ms = 100.0

    async def asyncSetUp(self) -> None:
        """Start the site and wait until every pool has a settled grantor."""
        self.site = await self.enterAsyncContext(SiteProcesses())
        await self.site.start_platform(self.lag_ms)
        for zone in self.zones:
            names = [f"{zone}-{n + 1}" for n in range(self.upstreams_per_zone)]
            await self.site.start_upstreams(
                SERVICE, zone, names, **self.upstream_options
            )
        await self.site.publish(self.render_settings())
        self.hosts = [
            f"entry-{zone}-{n + 1}"
            for zone in self.zones
            for n in range(self.hosts_per_zone)
        ]
        hosts_and_zones = [(name, name.split("-")[1]) for name in self.hosts]
        await self.site.start_hosts(hosts_and_zones)
        await self.site.wait_revision(1)
        await self.site.wait_grantors(20_000.0)

    def render_settings(self, **tables: Any) -> str:
        """Return the settings of the site, with some tables replaced.

        Args:
            tables: Top-level tables, which replace those of the class.
        """
        zones = {zone: {"distance_ms": 0.1} for zone in self.zones}
        defaults = {
            "availability_zones": zones,
            "services": {SERVICE: {"paths": [f"/{SERVICE}"]}},
        }
        return settings_text(**{**defaults, **self.settings_tables, **tables})

    @asynccontextmanager
    async def load(
        self,
        hosts: Iterable[str] = (),
        concurrency: int = 8,
        path: str = "state",
    ) -> AsyncIterator[LoadResult]:
        """Send requests while the block runs.

        Args:
            hosts: Names of the entry hosts to use in turn; all by default.
            concurrency: Number of requests in flight at a time.
            path: Start of the last path segment of each request.
        """
        result = LoadResult()
        names = list(hosts) or self.hosts
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(
                self._send_until_stopped(names, n, path, result, stop)
            )
            for n in range(concurrency)
        ]
        try:
            yield result
        finally:
            stop.set()
            await asyncio.gather(*tasks)

    async def warm_up(self) -> None:
        """Send load until the first entry host reports no cold upstream."""
        async with self.load():
            await self.site.wait_warm(self.hosts[0])

    async def send(
        self, host: str, method: str, path: str, **options: Any
    ) -> tuple[int, str, bytes]:
        """Send one request to an entry host.

        Returns:
            Status, outcome header (empty when missing) and body.
        """
        response = await self.site.request(host, method, path, **options)
        outcome = response.headers.get("Wigeongw-Outcome", "")
        return response.status, outcome, await response.read()

    async def count_executions(self, key: str = "") -> int:
        """Return the number of requests that upstreams began to execute.

        Args:
            key: Idempotency key of the requests to count; all by default.
        """
        counters = await self.site.all_upstream_counters()
        if key:
            return sum(s["keys"].get(key, 0) for s in counters.values())
        return sum(sum(s["ran"].values()) for s in counters.values())

    async def _send_until_stopped(
        self,
        hosts: Sequence[str],
        worker: int,
        path: str,
        result: LoadResult,
        stop: asyncio.Event,
    ) -> None:
        request_number = worker
        while not stop.is_set():
            host = hosts[request_number % len(hosts)]
            request_number += 1
            target = f"/{SERVICE}/{path}-{worker}-{request_number}"
            try:
                response = await self.site.get(host, target)
                body = json.loads(await response.read())
            except (aiohttp.ClientError, ValueError) as error:
                result.failures.append(f"{host}: {error!r}")
                await asyncio.sleep(0.01)
                continue
            if response.status == 200 and body["path"] == target:
                result.success_count += 1
            else:
                result.failures.append(f"{host}: {response.status} {body}")
                await asyncio.sleep(0.01)
