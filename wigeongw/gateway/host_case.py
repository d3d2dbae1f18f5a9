"""What tests of a whole host share: scripted upstreams and a client."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
import os
import random
import socket
import unittest

import aiohttp

from standins.scripted import Heard
from standins.scripted import ScriptedUpstream
from standins.scripted import text
from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.own_dialect import OwnDialect
from wigeongw.core.clock import Clock
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import HostIdentity
from wigeongw.core.site import Route
from wigeongw.core.site import RouteKind
from wigeongw.core.site import Service
from wigeongw.core.site import Share
from wigeongw.core.site import Target
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import Surroundings

NAMES = OwnDialect.names
SIGNED = f"{NAMES.signature}: proof"
WAIT_S = 10.0
ALL_KINDS = {
    "read": RouteKind.IDEMPOTENT,
    "write": RouteKind.NON_IDEMPOTENT,
    "fetch": RouteKind.DOWNLOAD,
}


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def configuration(
    revision: int = 1,
    service: str = "s",
    timeout_ms: float = 2_000.0,
    objective_ms: float = 800.0,
) -> Configuration:
    """Return a configuration with a route of each kind."""
    routes = tuple(
        Route(
            name,
            "a.example",
            f"/{name}/",
            kind,
            (Share(service, 1.0),),
            timeout_ms,
            objective_ms,
            2,
            1,
        )
        for name, kind in ALL_KINDS.items()
    )
    services = {
        name: Service(name, "/health", 100, 3_000.0, 9.0)
        for name in ("s", "other")
    }
    return Configuration(revision, routes, services, ClientLimits())


class Upstream:
    """A scripted upstream that answers probes well.

    Attributes:
        pieces: what it answers to requests; b"HANG" waits, b"CLOSE" closes.
        load: running, waiting, slots and slowdown that it reports.
        silent: it takes connections but answers nothing.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.pieces: list[bytes] = [text(200, b"done", SIGNED)]
        self.load = "0,0,4,1"
        self.cold_ms = 0
        self.silent = False
        self.server = ScriptedUpstream(self._answer)

    def target(self, zone: str = "amman", service: str = "s") -> Target:
        """Return its entry in the catalog."""
        return Target(self.identity, service, self.server.address, zone, 4)

    @property
    def ran(self) -> list[Heard]:
        """The requests that it heard, without probes."""
        return [h for h in self.server.heard if h.target != "/health"]

    async def _answer(
        self, heard: Heard, writer: asyncio.StreamWriter
    ) -> None:
        if self.silent:
            await asyncio.sleep(WAIT_S)
        if heard.target == "/health":
            writer.write(
                text(
                    200,
                    b"",
                    f"{NAMES.instance}: {self.identity}",
                    f"wigeongw-load: {self.load}",
                    f"wigeongw-cold-ms: {self.cold_ms}",
                )
            )
            return
        for piece in self.pieces:
            if piece == b"HANG":
                await asyncio.sleep(WAIT_S)
            elif piece == b"PAUSE":
                await asyncio.sleep(0.05)
            elif piece == b"CLOSE":
                writer.close()
                return
            else:
                writer.write(piece)


class HostCase(unittest.IsolatedAsyncioTestCase):
    """One host in this process with two upstreams."""

    async def asyncSetUp(self) -> None:
        """Start everything."""
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.catalog = MemoryCatalog()
        self.upstreams = [Upstream("one"), Upstream("two")]
        for upstream in self.upstreams:
            await upstream.server.start(self.stack)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.host = self._new_host()
        self.running = asyncio.create_task(self.host.run())
        self.stack.push_async_callback(self._stop)

    async def publish_all(
        self, timeout_ms: float = 2_000.0, objective_ms: float = 800.0
    ) -> None:
        """Publish a configuration and both upstreams, wait until known."""
        targets = [u.target() for u in self.upstreams]
        found = configuration(1, "s", timeout_ms, objective_ms)
        await self.catalog.publish(found, *targets)
        await self.until(lambda: len(self.host.state.targets) == len(targets))

    async def until(
        self, holds: Callable[[], bool], within_s: float = WAIT_S
    ) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(within_s):
            while not holds():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def send(
        self,
        path: str,
        method: str = "GET",
        identity: str = "id-1",
        host: str = "a.example",
        **options: object,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request; return status, body and headers."""
        headers = {"Host": host, NAMES.request_id: identity}
        async with asyncio.timeout(WAIT_S):
            async with self.session.request(
                method,
                f"http://{self.host.state.me.front}{path}",
                headers=headers,
                **options,  # type: ignore[arg-type]
            ) as response:
                body = await response.read()
                found = {k.lower(): v for k, v in response.headers.items()}
                return response.status, body, found

    def ran(self) -> int:
        """Return how many requests reached an upstream."""
        return sum(len(u.ran) for u in self.upstreams)

    def _new_host(self) -> GatewayHost:
        me = HostIdentity(
            "h", "amman", f"127.0.0.1:{free_port()}", "127.0.0.1:1", ""
        )
        surroundings = Surroundings(
            self.catalog, OwnDialect(), lambda state: {}, self.session
        )
        host = GatewayHost(me, surroundings, Clock(), random.Random(5))
        quiet = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, quiet)
        host.log.stream = quiet
        return host

    async def _stop(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
