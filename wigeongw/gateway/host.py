"""Assembles an entry host and runs it until a graceful stop."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
import random
from typing import Any

import aiohttp

from wigeongw.adapters import allocator
from wigeongw.adapters import http_server
from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import CloseReason
from wigeongw.adapters.client_resources import Connection
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.loop_watch import LATE_MS
from wigeongw.core.loop_watch import watch_loop
from wigeongw.core.metrics import Metrics
from wigeongw.core.restart_backoff import RepeatedFailure
from wigeongw.core.site import HostConfig
from wigeongw.core.site import SiteLimits
from wigeongw.core.task_supervisor import TaskFunction
from wigeongw.core.task_supervisor import TaskSupervisor
from wigeongw.decisions import connection_limits
from wigeongw.decisions import memory_shares
from wigeongw.decisions.memory_ledger import MemoryLedger
from wigeongw.decisions.memory_shares import BufferLimits
from wigeongw.gateway.asgi import MetricsApp
from wigeongw.gateway.asgi import PortRouter
from wigeongw.gateway.availability_reader import AvailabilityReader
from wigeongw.gateway.borrower import Borrower
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.crash_watch import CrashWatch
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.era_catalog import EraCatalog
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.forwarder import Forwarder
from wigeongw.gateway.host_checker import HostChecker
from wigeongw.gateway.notice_exchange import NoticeExchange
from wigeongw.gateway.observation_exchange import ObservationExchange
from wigeongw.gateway.peer_reader import PeerReader
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.placer import Placer
from wigeongw.gateway.prober import Prober
from wigeongw.gateway.proxy_app import ProxyApp
from wigeongw.gateway.quota_limiter import QuotaLimiter
from wigeongw.gateway.rate_limit_reader import RateLimitReader
from wigeongw.gateway.rate_limiter import RateLimiter
from wigeongw.gateway.registrar import Registrar
from wigeongw.gateway.relay import RelayApp
from wigeongw.gateway.relayed_catalog import RelayedCatalog
from wigeongw.gateway.rollout_manager import RolloutManager
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.upstream_sender import UpstreamSender
from wigeongw.ports.catalog import Catalog
from wigeongw.ports.catalog import StatusStore
from wigeongw.ports.dialect import Dialect

# Share of the grace period after SIGTERM during which the host certainly
# accepts requests: by its end most clients have resolved the addresses again.
DRAIN_ACCEPT_SHARE = 0.58
# Time reserved at the end of the grace period for closing.
CLOSE_MARGIN_MS = 250.0
# A crowd may have many connections closed for the same reason.
CLOSED_LOG_INTERVAL_MS = 1_000.0


@dataclass(frozen=True)
class HostDependencies:
    """Dependencies that a platform provides to a host.

    Attributes:
        catalog: the platform's store.
        dialect: headers of the platform's clients and upstreams.
        platform_apps: takes the host's state and returns the ASGI
            applications for the readiness and directory ports.
        session: HTTP client for requests to other hosts.
        statuses: where the statuses of version changes are kept; None if the
            platform orders none.
    """

    catalog: Catalog
    dialect: Dialect
    platform_apps: Any
    session: aiohttp.ClientSession
    statuses: StatusStore | None = None


class GatewayHost:
    """An entry host; one exit stack owns everything that it opens."""

    def __init__(
        self,
        host_config: HostConfig,
        dependencies: HostDependencies,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.started_at = clock.now()
        self.log = DecisionLog(clock, host_config.name)
        self.state = GatewayState(host_config, clock, rng, self.log, Metrics())
        self.dialect = dependencies.dialect
        ledger: MemoryLedger[Connection] = MemoryLedger(
            lambda: self.state.host_config.memory_bytes
        )
        self.client_resources = ClientResources(
            lambda: self.proxy_app.admission.limits(),
            ledger,
            host_config.descriptors,
            self._log_closed_client,
        )
        self.pool = UpstreamPool(
            clock,
            self.dialect.names.request_id,
            self._response_limits,
            connection_limits.max_upstream_connections(
                host_config.descriptors
            ),
            self.client_resources,
        )
        self.peer_socket = PeerSocket(self.state.metrics)
        self.observations = ObservationExchange(self.state, self.peer_socket)
        limit_reader = RateLimitReader(self.state, self.dialect.names)
        self.notices = NoticeExchange(self.state, self.peer_socket)
        availability_reader = AvailabilityReader(
            self.state, self.dialect.names, self.notices
        )
        self.crash_watch = CrashWatch(self.state, self.notices)
        self.rollout_manager = RolloutManager(
            self.state, self.notices, dependencies.statuses
        )
        self.prober = Prober(
            self.state,
            self.pool,
            self.dialect,
            self.observations,
            limit_reader,
            availability_reader,
        )
        self.change_log = ChangeLog()
        catalog = RelayedCatalog(
            self.state,
            EraCatalog(self.state, dependencies.catalog),
            dependencies.session,
        )
        peer_reader = PeerReader(self.state, dependencies.session)
        self.follower = Follower(
            self.state, catalog, self.pool, self.change_log, peer_reader
        )
        self.borrower = Borrower(self.follower, peer_reader)
        self.registrar = Registrar(self.state, catalog, self.follower)
        self.host_checker = HostChecker(self.state)
        placer = Placer(self.state, self.prober)
        sender = UpstreamSender(
            self.state,
            self.pool,
            self.dialect,
            self.observations,
            limit_reader,
            RateLimiter(self.state, self.peer_socket),
            availability_reader,
            self.crash_watch,
        )
        forwarder = Forwarder(self.state, placer, sender, self.crash_watch)
        self.quotas = QuotaLimiter(self.state, self.peer_socket)
        self.proxy_app = ProxyApp(
            self.state,
            forwarder,
            self.dialect,
            self.client_resources,
            self.quotas,
        )
        self.platform_apps = dependencies.platform_apps
        self.supervisor = TaskSupervisor(
            clock, self.state.metrics, self._log_task_failure
        )
        self.stop_requested = asyncio.Event()
        self.closed_throttle = LogThrottle(CLOSED_LOG_INTERVAL_MS)

    def _response_limits(self) -> BufferLimits:
        return memory_shares.response_limits(
            self.state.host_config.memory_bytes, self.proxy_app.in_progress
        )

    def _log_closed_client(self, reason: CloseReason) -> None:
        self.state.metrics.count("client_closed_total", reason.value)
        if self.closed_throttle.allows(reason.value, self.clock.now()):
            ledger = self.client_resources.ledger
            self.log.add(
                "client",
                event="closed",
                reason=reason.value,
                connections=len(self.client_resources.table),
                unread_bytes=ledger.unread_total,
                undelivered_bytes=ledger.undelivered_total,
                upload_bytes=ledger.uploads,
                answer_bytes=ledger.answers.total,
            )

    def request_stop(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        self.stop_requested.set()

    def update_bounds(self, bounds: SiteLimits) -> None:
        """Apply changed limits of the site."""
        if bounds != self.state.bounds:
            self.state.update_bounds(bounds)
            self.log.add("host", event="reload", bounds="changed")
            return
        self.log.add("host", event="reload", bounds="same")

    async def run(self) -> None:
        """Serve until a graceful stop is complete.

        Raises:
            OSError: when an address cannot be bound.
        """
        allocator.return_large_blocks()
        async with AsyncExitStack() as stack:
            stack.callback(self.log.flush)
            stack.callback(self.pool.close)
            stack.callback(self.prober.close)
            for function in self._task_functions():
                self._start_task(stack, function)
            stack.callback(self.observations.close)
            stack.callback(self.notices.close)
            stack.callback(self.crash_watch.close)
            stack.callback(self.quotas.close)
            if self.state.host_config.peer:
                await self.peer_socket.open(self.state.host_config.peer, stack)
            server = self._listen(stack)
            self.log.add(
                "host",
                event="start",
                took_ms=self.clock.now() - self.started_at,
                front=self.state.host_config.front,
            )
            await self.stop_requested.wait()
            await self._drain(server)

    # Tasks and listeners

    def _task_functions(self) -> list[TaskFunction]:
        return [
            self.log.run,
            self.follower.run,
            self.follower.run_settling,
            self.borrower.run,
            self.registrar.run,
            self.pool.run,
            self.host_checker.run,
            self.crash_watch.run,
            self.rollout_manager.run,
            self._watch_loop,
        ]

    async def _watch_loop(self) -> None:
        await watch_loop(self.clock, self._on_loop_turn)

    def _on_loop_turn(self, late_ms: float) -> None:
        """Record how late the event loop is."""
        self.state.metrics.time(late_ms, "loop_late_ms")
        if late_ms >= LATE_MS:
            self.log.add("host", event="loop_late", late_ms=late_ms)

    def _start_task(
        self, stack: AsyncExitStack, function: TaskFunction
    ) -> None:
        """Run a task until the exit stack closes."""
        supervised = self.supervisor.run(function)
        stack.push_async_callback(_cancel, asyncio.create_task(supervised))

    def _log_task_failure(self, task: str, failure: RepeatedFailure) -> None:
        self.log.add(
            "host",
            event="task_failed",
            task=task,
            repeated=failure.count,
            delay_ms=failure.delay_ms,
            cause=failure.cause,
        )

    def _listen(self, stack: AsyncExitStack) -> http_server.EmbeddedServer:
        host_config = self.state.host_config
        apps = {
            split_address(host_config.front)[1]: self.proxy_app,
            **self.platform_apps(self.state),
        }
        for address in filter(None, (host_config.peer, host_config.contact)):
            apps[split_address(address)[1]] = RelayApp(
                self.state, self.change_log
            )
        if host_config.metrics_port:
            apps[host_config.metrics_port] = MetricsApp(
                self.state, self.crash_watch.suspects
            )
        ip = split_address(host_config.front)[0]
        sockets = []
        for port in apps:
            sock = http_server.bind(f"{ip}:{port}")
            stack.callback(sock.close)
            sockets.append(sock)
        server = http_server.build(PortRouter(apps), self.client_resources)
        task = asyncio.create_task(server.serve(sockets=sockets))
        stack.push_async_callback(_shut_down, server, task)
        return server

    async def _drain(self, server: http_server.EmbeddedServer) -> None:
        """Stop gracefully.

        The host withdraws its address, still serves clients that hold the
        address, and then closes.
        """
        drain_started_at = self.clock.now()
        grace_ms = self.state.bounds.grace_ms
        self.log.add("host", event="stopping", grace_ms=grace_ms)
        self.state.stopping = True
        deadline_at = drain_started_at + grace_ms - CLOSE_MARGIN_MS
        self.proxy_app.admission.drain_deadline = deadline_at
        withdrawal = asyncio.create_task(self.registrar.withdraw())
        await asyncio.sleep(seconds(grace_ms * DRAIN_ACCEPT_SHARE))
        await self.proxy_app.wait_until_idle(deadline_at)
        server.should_exit = True
        await asyncio.gather(withdrawal, return_exceptions=True)
        self.log.add(
            "host", event="stopped", in_progress=self.proxy_app.in_progress
        )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _shut_down(
    server: http_server.EmbeddedServer, task: asyncio.Task[None]
) -> None:
    """Let a server complete the requests in progress and close."""
    server.should_exit = True
    await asyncio.gather(task, return_exceptions=True)
