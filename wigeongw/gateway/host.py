"""Puts an entry host together and runs it from start to graceful stop."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
import random
from typing import Any

import aiohttp

from wigeongw.adapters import http_server
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.site import Bounds
from wigeongw.core.site import HostIdentity
from wigeongw.daemon.metrics import Metrics
from wigeongw.gateway.borrower import Borrower
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.forwarder import Forwarder
from wigeongw.gateway.front import Front
from wigeongw.gateway.own_answers import MetricsApp
from wigeongw.gateway.own_answers import Switch
from wigeongw.gateway.placer import Placer
from wigeongw.gateway.prober import Prober
from wigeongw.gateway.registrar import Registrar
from wigeongw.gateway.relay import RelayApp
from wigeongw.gateway.relay import RelayedCatalog
from wigeongw.gateway.relay import RelayLog
from wigeongw.gateway.sightings import SightingExchange
from wigeongw.gateway.state import HostState
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.dialect import Dialect

# After SIGTERM requests are taken for this part of the grace time: most
# clients have asked for new addresses by then.
STAY_SHARE = 0.58
# Kept free at the end of the grace time for closing.
LAST_MS = 250.0
# Before a task that failed runs again.
TASK_PAUSE_MS = 200.0


Work = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Surroundings:
    """What a platform gives a host, behind ports.

    Attributes:
        own_apps: builds the applications for the readiness and directory
            addresses from the host's state.
        session: for questions to other hosts.
    """

    catalog: Catalog
    dialect: Dialect
    own_apps: Any
    session: aiohttp.ClientSession


class GatewayHost:
    """One entry host; everything it opens belongs to one exit stack."""

    def __init__(
        self,
        me: HostIdentity,
        surroundings: Surroundings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.began = clock.now()
        self.log = DecisionLog(clock, me.name)
        self.state = HostState(me, clock, rng, self.log, Metrics())
        self.dialect = surroundings.dialect
        self.pool = UpstreamPool(clock, self.dialect.names.request_id)
        self.sightings = SightingExchange(self.state)
        self.prober = Prober(
            self.state, self.pool, self.dialect, self.sightings
        )
        self.relay_log = RelayLog()
        catalog = RelayedCatalog(
            self.state,
            surroundings.catalog,
            surroundings.session,
            self.relay_log,
        )
        self.follower = Follower(self.state, catalog, self.pool)
        self.borrower = Borrower(
            self.state, self.follower, surroundings.session
        )
        self.registrar = Registrar(self.state, catalog, self.follower)
        placer = Placer(self.state, self.prober)
        forwarder = Forwarder(
            self.state, placer, self.pool, self.dialect, self.sightings
        )
        self.front = Front(self.state, forwarder, self.dialect)
        self.own_apps = surroundings.own_apps
        self.stop = asyncio.Event()

    def request_stop(self) -> None:
        """Begin a graceful stop; a second call changes nothing."""
        self.stop.set()

    def take_bounds(self, bounds: Bounds) -> None:
        """Take over changed bounds."""
        if bounds != self.state.bounds:
            self.state.take_bounds(bounds)
            self.log.add("host", event="reload", bounds="changed")
            return
        self.log.add("host", event="reload", bounds="same")

    async def run(self) -> None:
        """Serve until a stop was asked for and has been carried out.

        Raises:
            OSError: when an address cannot be listened on.
        """
        async with AsyncExitStack() as stack:
            stack.callback(self.log.flush)
            stack.callback(self.pool.close)
            stack.callback(self.prober.close)
            for work in self._works():
                self._start(stack, work)
            if self.state.me.peer:
                await self.sightings.open(self.state.me.peer, stack)
            server = self._listen(stack)
            self.log.add(
                "host",
                event="start",
                took_ms=self.clock.now() - self.began,
                front=self.state.me.front,
            )
            await self.stop.wait()
            await self._drain(server)

    # Inside

    def _works(self) -> list[Work]:
        return [
            self.log.run,
            self.follower.run,
            self.follower.run_settling,
            self.borrower.run,
            self.registrar.run,
            self.pool.run,
        ]

    def _start(self, stack: AsyncExitStack, work: Work) -> None:
        """Run work until the stack closes."""
        task = asyncio.create_task(self._keep_running(work))
        stack.push_async_callback(_cancel, task)

    async def _keep_running(self, work: Work) -> None:
        """Run work again when it fails: requests are served without it."""
        while True:
            try:
                await work()
                return
            except Exception as error:
                self.state.metrics.count("task_failures_total")
                self.log.add(
                    "host",
                    event="task_failed",
                    task=work.__qualname__,
                    cause=repr(error),
                )
            await asyncio.sleep(seconds(TASK_PAUSE_MS))

    def _listen(self, stack: AsyncExitStack) -> http_server.EmbeddedServer:
        me = self.state.me
        apps = {
            split_address(me.front)[1]: self.front,
            **self.own_apps(self.state),
        }
        for own in filter(None, (me.peer, me.contact)):
            apps[split_address(own)[1]] = RelayApp(self.state, self.relay_log)
        if me.metrics_port:
            apps[me.metrics_port] = MetricsApp(self.state)
        address = split_address(me.front)[0]
        sockets = []
        for port in apps:
            sock = http_server.bind(f"{address}:{port}")
            stack.callback(sock.close)
            sockets.append(sock)
        protocol = http_server.bounded_by(self.front.limits)
        server = http_server.build(Switch(apps), protocol)
        task = asyncio.create_task(server.serve(sockets=sockets))
        stack.push_async_callback(_finish, server, task)
        return server

    async def _drain(self, server: http_server.EmbeddedServer) -> None:
        """Leave the answers, serve out what clients keep, then close."""
        began = self.clock.now()
        grace_ms = self.state.bounds.grace_ms
        self.log.add("host", event="stopping", grace_ms=grace_ms)
        self.state.stopping = True
        self.front.killed_at = began + grace_ms - LAST_MS
        withdrawing = asyncio.create_task(self.registrar.withdraw())
        await asyncio.sleep(seconds(grace_ms * STAY_SHARE))
        await self.front.idle(self.front.killed_at)
        server.should_exit = True
        await asyncio.gather(withdrawing, return_exceptions=True)
        self.log.add(
            "host", event="stopped", in_progress=self.front.in_progress
        )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _finish(
    server: http_server.EmbeddedServer, task: asyncio.Task[None]
) -> None:
    """Let a server finish what is in progress and close."""
    server.should_exit = True
    await asyncio.gather(task, return_exceptions=True)
