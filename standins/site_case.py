"""What tests of a whole site share."""

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

from standins.site import settings_text
from standins.site import SiteProcesses

ZONES = ("amman", "irbid", "zarqa")
SERVICE = "dial-watch"


@dataclass
class Load:
    """What a stretch of load has seen."""

    good: int = 0
    bad: list[str] = field(default_factory=list)


class SiteCase(unittest.IsolatedAsyncioTestCase):
    """A site with one service; attributes say how it is laid out."""

    zones: Sequence[str] = ZONES
    upstreams_per_zone = 2
    hosts_per_zone = 1
    rules: dict[str, float] = {"work_ms": 5.0}
    tables: dict[str, Any] = {}
    lag_ms = 100.0

    async def asyncSetUp(self) -> None:
        """Start everything and wait until it has settled."""
        self.site = await self.enterAsyncContext(SiteProcesses())
        await self.site.start_platform(self.lag_ms)
        for zone in self.zones:
            names = [f"{zone}-{n + 1}" for n in range(self.upstreams_per_zone)]
            await self.site.start_upstreams(SERVICE, zone, names, **self.rules)
        await self.site.publish(self.text())
        self.hosts = [
            f"entry-{zone}-{n + 1}"
            for zone in self.zones
            for n in range(self.hosts_per_zone)
        ]
        placed = [(name, name.split("-")[1]) for name in self.hosts]
        await self.site.start_hosts(placed)
        await self.site.wait_revision(1)
        await self.site.wait_fences(20_000.0)

    def text(self, **tables: Any) -> str:
        """Return the site's settings with some tables replaced."""
        zones = {zone: {"distance_ms": 0.1} for zone in self.zones}
        standard = {
            "availability_zones": zones,
            "services": {SERVICE: {"paths": [f"/{SERVICE}"]}},
        }
        return settings_text(**{**standard, **self.tables, **tables})

    @asynccontextmanager
    async def load(
        self, hosts: Iterable[str] = (), width: int = 8, path: str = "state"
    ) -> AsyncIterator[Load]:
        """Send requests side by side without pause while the block runs."""
        found = Load()
        names = list(hosts) or self.hosts
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(self._send(names, n, path, found, stop))
            for n in range(width)
        ]
        try:
            yield found
        finally:
            stop.set()
            await asyncio.gather(*tasks)

    async def warm_up(self) -> None:
        """Send load until every upstream is warm."""
        async with self.load():
            await self.site.wait_warm(self.hosts[0])

    async def send(
        self, host: str, method: str, path: str, **options: Any
    ) -> tuple[int, str, bytes]:
        """Send one request; return status, outcome and body."""
        found = await self.site.request(host, method, path, **options)
        outcome = found.headers.get("Wigeongw-Outcome", "")
        return found.status, outcome, await found.read()

    async def ran(self, key: str = "") -> int:
        """Return how often anything, or anything with a key, ran."""
        seen = await self.site.all_seen()
        if key:
            return sum(s["keys"].get(key, 0) for s in seen.values())
        return sum(sum(s["ran"].values()) for s in seen.values())

    async def _send(
        self,
        hosts: Sequence[str],
        number: int,
        path: str,
        found: Load,
        stop: asyncio.Event,
    ) -> None:
        turn = number
        while not stop.is_set():
            host = hosts[turn % len(hosts)]
            turn += 1
            target = f"/{SERVICE}/{path}-{number}-{turn}"
            try:
                answer = await self.site.get(host, target)
                body = json.loads(await answer.read())
            except (aiohttp.ClientError, ValueError) as error:
                found.bad.append(f"{host}: {error!r}")
                await asyncio.sleep(0.01)
                continue
            if answer.status == 200 and body["path"] == target:
                found.good += 1
            else:
                found.bad.append(f"{host}: {answer.status} {body}")
                await asyncio.sleep(0.01)
