"""Puts an entry host together and runs it from start to graceful stop."""

import asyncio
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import replace
import random
import socket
from typing import Any

import logbook

from wigeongw.adapters import http_server
from wigeongw.adapters import http_upstream
from wigeongw.adapters.http_server import EmbeddedServer
from wigeongw.adapters.http_upstream import HttpUpstreams
from wigeongw.adapters.peer_links import PeerLinks
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.records import EntryHost
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.front_door import FrontDoor
from wigeongw.daemon.measurer import Measurer
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.once_desk import OnceDesk
from wigeongw.daemon.own_answers import Addresses
from wigeongw.daemon.own_answers import admin_app
from wigeongw.daemon.own_answers import client_app
from wigeongw.daemon.own_answers import MetricsText
from wigeongw.daemon.own_answers import SettingsText
from wigeongw.daemon.own_answers import Status
from wigeongw.daemon.permit_desk import PermitDesk
from wigeongw.daemon.record import Record
from wigeongw.daemon.site_keeper import SiteKeeper
from wigeongw.daemon.store_keeper import StoreKeeper
from wigeongw.decisions.site import Site
from wigeongw.decisions.trace import Write
from wigeongw.ports.host_list import HostList
from wigeongw.ports.store import Store
from wigeongw.settings.model import AddressSettings
from wigeongw.settings.model import HostSettings

DRAIN_LOOK_MS = 20.0
CLOSE_AFTER_SHARE = 0.5

log = logbook.Logger("host")


@dataclass(frozen=True)
class Platform:
    """What the platform gives an entry host."""

    store: Store
    host_list: HostList


@dataclass(frozen=True, slots=True)
class Bound:
    """Where an entry host listens, with the ports that were chosen."""

    address: str
    peer_address: str
    admin_address: str


class EntryHostDaemon:
    """One entry host; everything it opens belongs to one exit stack."""

    def __init__(
        self,
        settings: HostSettings,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        write_trace: Write | None = None,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.record = Record(clock, self.metrics, settings.record_most)
        me = EntryHost(
            settings.name,
            settings.address,
            settings.peer_address,
            settings.availability_zone,
        )
        self.keeper = SiteKeeper(Site(me), clock, self.record)
        self.peers = PeerLinks(me.name, self.keeper, clock)
        self.desk = PermitDesk(
            self.keeper.site,
            self.peers,
            clock,
            rng,
            self.record,
            self.metrics,
            write_trace,
        )
        self.keeper.connect(self.desk, self.peers)
        self.once = OnceDesk(
            platform.store,
            settings.prefix,
            settings.name,
            clock,
            rng,
            self.metrics,
        )
        self.store_keeper = StoreKeeper(
            platform.store,
            platform.host_list,
            settings.prefix,
            self.keeper,
            clock,
            rng,
        )
        self.stop = asyncio.Event()
        self.bound: Bound | None = None
        self.ready = asyncio.Event()
        self.front: FrontDoor | None = None

    def request_stop(self) -> None:
        """Begin a graceful stop; a second call only logs."""
        if self.stop.is_set():
            log.info("Already stopping.")
            return
        log.info("Stopping gracefully.")
        self.stop.set()

    async def run(self) -> None:
        """Serve until a stop was asked for and has been carried out.

        Raises:
            OSError: when an address cannot be listened on.
        """
        async with AsyncExitStack() as stack:
            servers = await self._open(stack)
            assert self.bound is not None
            log.info(
                "Serving clients at {}, peers at {}, administration at {}.",
                self.bound.address,
                self.bound.peer_address,
                self.bound.admin_address,
            )
            self.ready.set()
            await self.stop.wait()
            await self._drain(servers)
        log.info("Stopped.")

    # Opening

    async def _open(self, stack: AsyncExitStack) -> list[EmbeddedServer]:
        client_socket = http_server.bind(self.settings.address)
        stack.callback(client_socket.close)
        admin_socket = http_server.bind(self.settings.admin_address)
        stack.callback(admin_socket.close)
        upstreams = await self._open_upstreams(stack)
        peer_address = await self.peers.start(
            self.settings.peer_address, stack
        )
        self._take_addresses(client_socket, admin_socket, peer_address)
        front = self._front_door(upstreams)
        measurer = Measurer(
            self.desk, self.keeper, upstreams, self.clock, self.metrics
        )
        status = Status(
            self.desk,
            front.dispatcher,
            measurer,
            self.stop.is_set,
            self.clock,
        )
        admin = admin_app(
            status, MetricsText(self.metrics), SettingsText(self._text)
        )
        for work in self._works(measurer):
            self._start(stack, work)
        return [
            self._serve(stack, front, client_socket),
            self._serve(stack, admin, admin_socket),
        ]

    async def _open_upstreams(self, stack: AsyncExitStack) -> HttpUpstreams:
        kept = http_upstream.new_session(keep=True)
        fresh = http_upstream.new_session(keep=False)
        await stack.enter_async_context(kept)
        await stack.enter_async_context(fresh)
        return HttpUpstreams(kept, fresh)

    def _take_addresses(
        self,
        client_socket: socket.socket,
        admin_socket: socket.socket,
        peer_address: str,
    ) -> None:
        """Note the ports that the system chose where 0 was set."""
        self.bound = Bound(
            http_server.address_of(client_socket),
            peer_address,
            http_server.address_of(admin_socket),
        )
        me = replace(
            self.keeper.site.me,
            address=self.bound.address,
            peer_address=peer_address,
        )
        self.keeper.site = replace(self.keeper.site, me=me)
        self.desk.site = self.keeper.site

    def _front_door(self, upstreams: HttpUpstreams) -> FrontDoor:
        dispatcher = Dispatcher(
            self.desk,
            upstreams,
            self.clock,
            self.record,
            self.metrics,
            self.keeper.note_leaving,
        )
        addresses = Addresses(
            lambda: self.keeper.site, self.stop.is_set, self.clock, self.rng
        )
        self.front = FrontDoor(
            client_app(addresses),
            dispatcher,
            self.once,
            self.clock,
            self.rng,
            self.metrics,
            self.settings.name,
        )
        return self.front

    def _works(self, measurer: Measurer) -> list[Coroutine[Any, Any, None]]:
        return [
            self.record.run(),
            self.store_keeper.run_watch(),
            self.store_keeper.run_reads(),
            self.store_keeper.run_lease(),
            self.store_keeper.run_fences(),
            self.store_keeper.run_host_list(),
            self.keeper.run(),
            self.desk.run(),
            self.once.run(),
            measurer.run(),
        ]

    def _start(
        self, stack: AsyncExitStack, work: Coroutine[Any, Any, None]
    ) -> None:
        """Run work until the stack closes; a task that fails stops us."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._ended)
        stack.push_async_callback(_cancel, task)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        log.error("A task ended: {!r}.", error)
        self.stop.set()

    def _serve(
        self, stack: AsyncExitStack, app: Any, sock: socket.socket
    ) -> EmbeddedServer:
        server = http_server.build(app)
        task = asyncio.create_task(server.serve(sockets=[sock]))
        stack.push_async_callback(_finish, server, task)
        return server

    def _text(self) -> str:
        revision = self.keeper.revision
        return revision.text if revision else ""

    # Stopping

    async def _drain(self, servers: list[EmbeddedServer]) -> None:
        """Leave the answers, serve out what clients keep, then close."""
        self.keeper.begin_stop()
        await self.store_keeper.give_up()
        settings = self.keeper.site.settings
        rules = settings.addresses if settings else AddressSettings()
        lifetime = rules.lifetime_ms
        await asyncio.sleep(seconds(lifetime * CLOSE_AFTER_SHARE))
        assert self.front is not None
        self.front.closing = True
        await asyncio.sleep(seconds(lifetime * (1 - CLOSE_AFTER_SHARE)))
        for server in servers:
            server.should_exit = True
        while self.front.in_progress:  # noqa: ASYNC110
            await asyncio.sleep(seconds(DRAIN_LOOK_MS))
        await self.once.close()
        self.record.write(len(self.record.lines))


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _finish(server: EmbeddedServer, task: asyncio.Task[None]) -> None:
    """Let a server finish what is in progress and close."""
    server.should_exit = True
    await asyncio.gather(task, return_exceptions=True)
