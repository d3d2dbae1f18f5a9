"""Builds an entry host and runs it until it has stopped gracefully."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import replace
import random
import socket
from typing import Any

import logbook

from wigeongw.adapters import allocator
from wigeongw.adapters import http_server
from wigeongw.adapters import http_upstream_client
from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import CloseReason
from wigeongw.adapters.client_resources import Connection
from wigeongw.adapters.http_server import EmbeddedServer
from wigeongw.adapters.http_upstream_client import HttpUpstreamClient
from wigeongw.adapters.peer_links import PeerLinks
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import EntryHost
from wigeongw.core.restart_backoff import RepeatedFailure
from wigeongw.core.site import ClientLimits
from wigeongw.core.task_supervisor import TaskFunction
from wigeongw.core.task_supervisor import TaskSupervisor
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.frontend import Frontend
from wigeongw.daemon.idempotency_manager import IdempotencyManager
from wigeongw.daemon.load_report_poller import LoadReportPoller
from wigeongw.daemon.local_resources import AddressesResource
from wigeongw.daemon.local_resources import admin_app
from wigeongw.daemon.local_resources import client_app
from wigeongw.daemon.local_resources import MetricsResource
from wigeongw.daemon.local_resources import SettingsResource
from wigeongw.daemon.local_resources import StatusResource
from wigeongw.daemon.permit_manager import PermitManager
from wigeongw.daemon.site_tracker import SiteTracker
from wigeongw.daemon.slow_clients import SlowClients
from wigeongw.daemon.store_sync import StoreSync
from wigeongw.decisions.memory_ledger import MemoryLedger
from wigeongw.decisions.site_state import SiteState
from wigeongw.decisions.trace import WriteLine
from wigeongw.ports.host_list import HostList
from wigeongw.ports.store import Store
from wigeongw.settings.schema import AddressSettings
from wigeongw.settings.schema import HostSettings

DRAIN_POLL_INTERVAL_MS = 20.0
# Fraction of the time to live of addresses after which a stopping host tells
# clients to close their connections.
CLOSE_AFTER_FRACTION = 0.5

log = logbook.Logger("host")


@dataclass(frozen=True)
class Platform:
    """The platform services that an entry host uses."""

    store: Store
    host_list: HostList


@dataclass(frozen=True, slots=True)
class BoundAddresses:
    """The addresses on which an entry host listens.

    A port that was configured as 0 is replaced by the port that the system
    chose.
    """

    address: str
    peer_address: str
    admin_address: str


class EntryHostDaemon:
    """One entry host; everything it opens is owned by one exit stack.

    Attributes:
        site_tracker: tracker of the state of the site.
        stop_requested: set when a graceful stop was requested.
        bound: addresses that are listened on; None before ``run``.
        ready: set once all addresses are listened on.
    """

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        write_trace: WriteLine | None = None,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.decision_log = DecisionLog(
            clock, self.metrics, settings.record_most
        )
        me = EntryHost(
            settings.name,
            settings.address,
            settings.peer_address,
            settings.availability_zone,
        )
        self.site_tracker = SiteTracker(
            SiteState(me), clock, self.decision_log
        )
        self.peers = PeerLinks(me.name, self.site_tracker, clock)
        self.permit_manager = PermitManager(
            self.site_tracker.site,
            self.peers,
            clock,
            rng,
            self.decision_log,
            self.metrics,
            write_trace,
        )
        self.site_tracker.connect(self.permit_manager, self.peers)
        self.idempotency = IdempotencyManager(
            platform.store,
            settings.prefix,
            settings.name,
            clock,
            rng,
            self.metrics,
        )
        self.store_sync = StoreSync(
            platform.store,
            platform.host_list,
            settings.prefix,
            self.site_tracker,
            clock,
            rng,
        )
        self.supervisor = TaskSupervisor(
            clock, self.metrics, self._log_task_failure
        )
        ledger: MemoryLedger[Connection] = MemoryLedger(
            lambda: settings.memory_most_bytes
        )
        self.client_resources = ClientResources(
            ClientLimits,
            ledger,
            settings.descriptors_most,
            self._count_closed_client,
        )
        self.slow_clients = SlowClients(clock)
        self.stop_requested = asyncio.Event()
        self.bound: BoundAddresses | None = None
        self.ready = asyncio.Event()
        self.frontend: Frontend | None = None

    def request_stop(self) -> None:
        """Request a graceful stop; further calls are only logged."""
        if self.stop_requested.is_set():
            log.info("Already stopping.")
            return
        log.info("Stopping gracefully.")
        self.stop_requested.set()

    async def run(self) -> None:
        """Serve until a requested stop has completed.

        Raises:
            OSError: when an address cannot be bound.
        """
        allocator.return_large_blocks()
        async with AsyncExitStack() as stack:
            servers = await self._open_servers(stack)
            assert self.bound is not None
            log.info(
                "Serving clients at {}, peers at {}, administration at {}.",
                self.bound.address,
                self.bound.peer_address,
                self.bound.admin_address,
            )
            self.ready.set()
            await self.stop_requested.wait()
            await self._drain(servers)
        log.info("Stopped.")

    async def _open_servers(
        self, stack: AsyncExitStack
    ) -> list[EmbeddedServer]:
        client_socket = http_server.bind(self.settings.address)
        stack.callback(client_socket.close)
        admin_socket = http_server.bind(self.settings.admin_address)
        stack.callback(admin_socket.close)
        upstream_client = await self._open_upstreams(stack)
        peer_address = await self.peers.start(
            self.settings.peer_address, stack
        )
        self._set_addresses(client_socket, admin_socket, peer_address)
        frontend = self._build_frontend(upstream_client)
        load_report_poller = LoadReportPoller(
            self.permit_manager,
            self.site_tracker,
            upstream_client,
            self.clock,
            self.metrics,
        )
        status = StatusResource(
            self.permit_manager,
            frontend.dispatcher,
            load_report_poller,
            self.stop_requested.is_set,
            self.clock,
        )
        admin = admin_app(
            status,
            MetricsResource(self.metrics),
            SettingsResource(self._settings_text),
        )
        for function in self._background_tasks(load_report_poller):
            self._start_task(stack, function)
        return [
            self._start_server(
                stack, frontend, client_socket, self.client_resources
            ),
            self._start_server(stack, admin, admin_socket),
        ]

    async def _open_upstreams(
        self, stack: AsyncExitStack
    ) -> HttpUpstreamClient:
        keep_alive_session = http_upstream_client.new_session(
            reuse_connections=True
        )
        single_use_session = http_upstream_client.new_session(
            reuse_connections=False
        )
        await stack.enter_async_context(keep_alive_session)
        await stack.enter_async_context(single_use_session)
        return HttpUpstreamClient(
            keep_alive_session, single_use_session, self.clock
        )

    def _set_addresses(
        self,
        client_socket: socket.socket,
        admin_socket: socket.socket,
        peer_address: str,
    ) -> None:
        """Store the bound addresses, with the ports that the system chose."""
        self.bound = BoundAddresses(
            http_server.bound_address(client_socket),
            peer_address,
            http_server.bound_address(admin_socket),
        )
        me = replace(
            self.site_tracker.site.me,
            address=self.bound.address,
            peer_address=peer_address,
        )
        self.site_tracker.site = replace(self.site_tracker.site, me=me)
        self.permit_manager.site = self.site_tracker.site

    def _build_frontend(self, upstream_client: HttpUpstreamClient) -> Frontend:
        dispatcher = Dispatcher(
            self.permit_manager,
            upstream_client,
            self.clock,
            self.decision_log,
            self.metrics,
            self.site_tracker.on_upstream_leaving,
            self.slow_clients.end_longest,
        )
        addresses = AddressesResource(
            lambda: self.site_tracker.site,
            self.stop_requested.is_set,
            self.clock,
            self.rng,
        )
        self.frontend = Frontend(
            client_app(addresses),
            dispatcher,
            self.idempotency,
            self.clock,
            self.rng,
            self.metrics,
            self.settings.name,
            self.client_resources,
            self.slow_clients,
        )
        return self.frontend

    def _background_tasks(
        self, load_report_poller: LoadReportPoller
    ) -> list[TaskFunction]:
        return [
            self.decision_log.run,
            self.store_sync.run_watch,
            self.store_sync.run_reads,
            self.store_sync.run_lease,
            self.store_sync.run_fences,
            self.store_sync.run_host_list,
            self.site_tracker.run,
            self.permit_manager.run,
            self.idempotency.run,
            load_report_poller.run,
        ]

    def _start_task(
        self, stack: AsyncExitStack, function: TaskFunction
    ) -> None:
        """Run a task until the stack closes, again when it fails."""
        task = asyncio.create_task(self.supervisor.run(function))
        stack.push_async_callback(_cancel_task, task)

    @staticmethod
    def _log_task_failure(task: str, failure: RepeatedFailure) -> None:
        log.error(
            "Task {} failed {} times without progress, next start in "
            "{:.0f} ms: {}.",
            task,
            failure.count,
            failure.delay_ms,
            failure.cause,
        )

    def _count_closed_client(self, reason: CloseReason) -> None:
        self.metrics.count("client_closed", reason.value)

    def _start_server(
        self,
        stack: AsyncExitStack,
        app: Any,
        sock: socket.socket,
        resources: ClientResources | None = None,
    ) -> EmbeddedServer:
        server = http_server.build(app, resources)
        task = asyncio.create_task(server.serve(sockets=[sock]))
        stack.push_async_callback(_stop_server, server, task)
        return server

    def _settings_text(self) -> str:
        revision = self.site_tracker.revision
        return revision.text if revision else ""

    async def _drain(self, servers: list[EmbeddedServer]) -> None:
        """Leave the site, finish requests in progress and stop the servers.

        Clients may use a cached address until its time to live has passed, so
        the host keeps serving for that time. In the second part of it, clients
        are told to close their connections.
        """
        self.site_tracker.announce_stop()
        await self.store_sync.release_lease()
        settings = self.site_tracker.site.settings
        address_settings = (
            settings.addresses if settings else AddressSettings()
        )
        lifetime_ms = address_settings.lifetime_ms
        await asyncio.sleep(seconds(lifetime_ms * CLOSE_AFTER_FRACTION))
        assert self.frontend is not None
        self.frontend.close_connections = True
        await asyncio.sleep(seconds(lifetime_ms * (1 - CLOSE_AFTER_FRACTION)))
        for server in servers:
            server.should_exit = True
        while self.frontend.in_progress:  # noqa: ASYNC110
            await asyncio.sleep(seconds(DRAIN_POLL_INTERVAL_MS))
        await self.idempotency.close()
        self.decision_log.write(len(self.decision_log.queue))


async def _cancel_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _stop_server(
    server: EmbeddedServer, task: asyncio.Task[None]
) -> None:
    """Let a server finish the requests in progress and stop."""
    server.should_exit = True
    await asyncio.gather(task, return_exceptions=True)
