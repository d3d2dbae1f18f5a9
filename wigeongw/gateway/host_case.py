"""Base class for tests of a whole host, with fake upstreams and a client."""

import asyncio
from collections.abc import Callable
import contextlib
from contextlib import AsyncExitStack
import os
import random
import select
import socket
import unittest

import aiohttp

from standins.free_ports import free_address
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import response_bytes
from standins.scripted_upstream import ScriptedUpstream
from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.native_dialect import NativeDialect
from wigeongw.core.clock import Clock
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import HostConfig
from wigeongw.core.site import Route
from wigeongw.core.site import RouteKind
from wigeongw.core.site import Service
from wigeongw.core.site import Share
from wigeongw.core.site import Target
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host import HostDependencies

NAMES = NativeDialect.names
SIGNATURE_HEADER = f"{NAMES.signature}: proof"
TIMEOUT_S = 10.0
SMALL_SEND_BUFFER_BYTES = 16 << 10
CLOCK = Clock()
ROUTE_KINDS = {
    "read": RouteKind.IDEMPOTENT,
    "write": RouteKind.NON_IDEMPOTENT,
    "fetch": RouteKind.DOWNLOAD,
}


def configuration(
    revision: int = 1,
    service: str = "s",
    timeout_ms: float = 2_000.0,
    objective_ms: float = 800.0,
) -> Configuration:
    """Return a configuration with one route of each kind.

    Args:
        revision: of the configuration.
        service: receives the requests of all routes.
        timeout_ms: of all routes.
        objective_ms: of all routes.
    """
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
        for name, kind in ROUTE_KINDS.items()
    )
    services = {
        name: Service(name, "/health", 100, 3_000.0, 9.0)
        for name in ("s", "other")
    }
    return Configuration(revision, routes, services, ClientLimits())


class FakeUpstream:
    """An upstream that answers probes and plays a script for requests.

    Attributes:
        script: response bytes written in order; b"HANG" waits for the test's
            timeout, b"PAUSE" waits 50 ms, b"CLOSE" closes the connection,
            b"ENDLESS" sends a piece again and again until the caller closes
            it, b"DONE" answers with success.
        endless_piece: the piece; empty to send nothing.
        endless_pause_s: pause after each piece.
        rate_limits: values of the rate limit header of each answer.
        arrivals: when each request arrived, without probes, monotonic
            milliseconds.
        load: running, waiting, slots and slowdown that it reports.
        cold_ms: remaining warm-up that it reports.
        silent: whether it accepts connections but does not respond.
        closed_by_caller: number of endless answers that the caller ended.
        most_taken: most bytes that the caller took of one of them; what the
            system takes ahead of it is little.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.script: list[bytes] = [b"DONE"]
        self.endless_piece = b"x" * 65_536
        self.endless_pause_s = 0.0
        self.rate_limits: tuple[str, ...] = ()
        self.arrivals: list[float] = []
        self.load = "0,0,4,1"
        self.cold_ms = 0
        self.silent = False
        self.closed_by_caller = 0
        self.most_taken = 0
        self.server = ScriptedUpstream(self._answer)

    def target(self, zone: str = "amman", service: str = "s") -> Target:
        """Return the upstream's catalog entry."""
        return Target(self.identity, service, self.server.address, zone, 4)

    @property
    def ran(self) -> list[ReceivedRequest]:
        """The requests that it received, without probes."""
        return [
            h for h in self.server.received_requests if h.target != "/health"
        ]

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.silent:
            await asyncio.sleep(TIMEOUT_S)
        if request.target == "/health":
            writer.write(
                response_bytes(
                    200,
                    b"",
                    f"{NAMES.instance}: {self.identity}",
                    f"wigeongw-load: {self.load}",
                    f"wigeongw-cold-ms: {self.cold_ms}",
                    *self._limit_lines(),
                )
            )
            return
        self.arrivals.append(CLOCK.now())
        for step in self.script:
            if step == b"HANG":
                await asyncio.sleep(TIMEOUT_S)
            elif step == b"PAUSE":
                await asyncio.sleep(0.05)
            elif step == b"ENDLESS":
                await self._write_until_closed(writer)
                return
            elif step == b"DONE":
                lines = (SIGNATURE_HEADER, *self._limit_lines())
                writer.write(response_bytes(200, b"done", *lines))
            elif step == b"CLOSE":
                writer.close()
                return
            else:
                writer.write(step)

    def _limit_lines(self) -> list[str]:
        return [f"{NAMES.rate_limit}: {value}" for value in self.rate_limits]

    async def _write_until_closed(self, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_SEND_BUFFER_BYTES
        )
        taken = 0
        with contextlib.suppress(ConnectionError):
            while not _is_closed_by_peer(writer):
                writer.write(self.endless_piece)
                await writer.drain()
                taken += len(self.endless_piece)
                self.most_taken = max(self.most_taken, taken)
                await asyncio.sleep(self.endless_pause_s)
        self.closed_by_caller += 1


class HostCase(unittest.IsolatedAsyncioTestCase):
    """Runs hosts in this process, with two fake upstreams.

    Attributes:
        host_count: number of hosts; subclasses may set another one.
        hosts: the hosts.
        host: the first of them.
        host_tasks: the tasks that run the hosts.
    """

    host_count = 1

    async def asyncSetUp(self) -> None:
        """Start the upstreams, the client session and the hosts."""
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.catalog = MemoryCatalog()
        self.upstreams = [FakeUpstream("one"), FakeUpstream("two")]
        for upstream in self.upstreams:
            await upstream.server.start(self.stack)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.null_fd = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, self.null_fd)
        self.host_tasks: list[asyncio.Task[None]] = []
        self.hosts = [self._start_host(n) for n in range(self.host_count)]
        self.host = self.hosts[0]

    async def publish_all(
        self, timeout_ms: float = 2_000.0, objective_ms: float = 800.0
    ) -> None:
        """Publish a configuration and both upstreams, then wait for them."""
        targets = [u.target() for u in self.upstreams]
        published = configuration(1, "s", timeout_ms, objective_ms)
        await self.catalog.publish(published, *targets)
        await self.until(
            lambda: all(
                len(host.state.targets) == len(targets) for host in self.hosts
            )
        )

    async def until(
        self, condition: Callable[[], bool], timeout_s: float = TIMEOUT_S
    ) -> None:
        """Wait until a condition holds; fail if a host ends instead."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                for task in self.host_tasks:
                    if task.done() and not task.cancelled():
                        task.result()
                await asyncio.sleep(0.01)

    async def send(
        self,
        path: str,
        method: str = "GET",
        request_id: str = "id-1",
        host: str = "a.example",
        entry: GatewayHost | None = None,
        **options: object,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request and return the status, body and headers.

        Args:
            path: path of the request.
            method: its method.
            request_id: its ID.
            host: value of its Host header.
            entry: the host to send it to; the first one by default.
            **options: passed on to the HTTP client.
        """
        headers = {"Host": host, NAMES.request_id: request_id}
        address = (entry or self.host).state.host_config.front
        async with asyncio.timeout(TIMEOUT_S):
            async with self.session.request(
                method,
                f"http://{address}{path}",
                headers=headers,
                **options,  # type: ignore[arg-type]
            ) as response:
                body = await response.read()
                response_headers = {
                    k.lower(): v for k, v in response.headers.items()
                }
                return response.status, body, response_headers

    def ran_count(self) -> int:
        """Return how many requests the upstreams received."""
        return sum(len(u.ran) for u in self.upstreams)

    def _start_host(self, number: int) -> GatewayHost:
        """Start a host; several hosts exchange datagrams."""
        peer = free_address() if self.host_count > 1 else ""
        host_config = HostConfig(
            f"h{number}" if number else "h",
            "amman",
            free_address(),
            "127.0.0.1:1",
            "",
            peer,
        )
        dependencies = HostDependencies(
            self.catalog,
            NativeDialect(),
            lambda state: {},
            self.session,
            self.catalog,
        )
        host = GatewayHost(
            host_config, dependencies, Clock(), random.Random(5 + number)
        )
        host.log.fd = self.null_fd
        task = asyncio.create_task(host.run())
        self.host_tasks.append(task)
        self.stack.push_async_callback(_stop, task)
        return host


def _is_closed_by_peer(writer: asyncio.StreamWriter) -> bool:
    """Return whether the other side has closed, also without a write."""
    sock = writer.get_extra_info("socket")
    if writer.is_closing() or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def _stop(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
