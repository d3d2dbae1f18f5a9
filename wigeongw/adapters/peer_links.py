"""Links between entry hosts.

Rare calls use gRPC through grpclib: the port of the stream, and settings. The
stream of batches uses frames over TCP, because HTTP/2 in Python cost more
processor time than the request path (docs/design/peer-stream.md).
"""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from contextlib import AsyncExitStack

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server
from grpclib.server import Stream
import logbook

from wigeongw.adapters import peer_codec as codec
from wigeongw.adapters.http_server import bind
from wigeongw.adapters.http_server import bound_address
from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.adapters.peer_pb.peer_grpc import PeerBase
from wigeongw.adapters.peer_pb.peer_grpc import PeerStub
from wigeongw.adapters.peer_stream import GrantorProtocol
from wigeongw.adapters.peer_stream import HolderProtocol
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.records import EntryHost
from wigeongw.core.records import Revision
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.ports.errors import PeerError
from wigeongw.ports.peers import Heartbeat
from wigeongw.ports.peers import PeerEvents

PROTOCOL_VERSION = 1
RECONNECT_DELAY_MS = 200.0
CALL_TIMEOUT_MS = 1_000.0

CALL_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    PeerError,
)

log = logbook.Logger("peers")


class PeerService(PeerBase):
    """The gRPC service for calls from other entry hosts."""

    def __init__(self, own_host: str, events: PeerEvents, port: int) -> None:
        self.own_host = own_host
        self.events = events
        self.port = port

    async def Meet(self, stream: Stream) -> None:
        """Return the port on which this host accepts streams."""
        await stream.recv_message()
        await stream.send_message(
            pb.MeetAnswer(
                host=self.own_host, version=PROTOCOL_VERSION, port=self.port
            )
        )

    async def FetchSettings(self, stream: Stream) -> None:
        """Return the settings in force, or an empty revision if not newer."""
        query = await stream.recv_message()
        newer_revision = self.events.revision_above(query.above)
        empty = pb.Revision()
        response = (
            codec.pack_revision(newer_revision) if newer_revision else empty
        )
        await stream.send_message(response)

    async def OfferSettings(self, stream: Stream) -> None:
        """Accept a settings revision; return the number then in force."""
        offer = await stream.recv_message()
        number = self.events.on_revision(codec.unpack_revision(offer))
        await stream.send_message(
            pb.SettingsState(host=self.own_host, revision=number)
        )


class PeerLink:
    """The outgoing stream to another entry host, reopened when it closes.

    Attributes:
        protocol: the open stream's protocol, or None while it is down.
    """

    def __init__(
        self, own_host: str, peer: EntryHost, events: PeerEvents, clock: Clock
    ) -> None:
        self.own_host = own_host
        self.peer = peer
        self.events = events
        self.clock = clock
        self.protocol: HolderProtocol | None = None

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            try:
                await self._run_stream()
            except CALL_ERRORS as error:
                log.debug(
                    "Stream to peer {} failed: {!r}.", self.peer.name, error
                )
            await asyncio.sleep(seconds(RECONNECT_DELAY_MS))

    async def fetch(self, above: int) -> Revision | None:
        """Fetch the peer's settings if their revision is above a number.

        Returns:
            The revision, or None if there is no newer one or the call failed.
        """
        try:
            with _open_stub(self.peer) as stub:
                response = await stub.FetchSettings(
                    pb.SettingsQuery(above=above),
                    timeout=seconds(CALL_TIMEOUT_MS),
                )
        except CALL_ERRORS as error:
            log.info(
                "Cannot fetch settings from peer {}: {!r}.",
                self.peer.name,
                error,
            )
            return None
        return codec.unpack_revision(response) if response.number else None

    async def _run_stream(self) -> None:
        port = await self._fetch_stream_port()
        host, _ = split_address(self.peer.peer_address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds(CALL_TIMEOUT_MS)):
            transport, protocol = await loop.create_connection(
                lambda: HolderProtocol(
                    self.own_host, self.peer.name, self.events, self.clock
                ),
                host,
                port,
            )
        self.protocol = protocol
        try:
            self.events.on_link_changed(self.peer.name, True)
            await protocol.closed
        finally:
            self.protocol = None
            transport.abort()
            self.events.on_link_changed(self.peer.name, False)

    async def _fetch_stream_port(self) -> int:
        """Return the port on which the peer accepts streams.

        Raises:
            PeerError: if another host answers, or the peer's version does
                not support this stream.
        """
        with _open_stub(self.peer) as stub:
            response = await stub.Meet(
                pb.MeetQuery(host=self.own_host, version=PROTOCOL_VERSION),
                timeout=seconds(CALL_TIMEOUT_MS),
            )
        if (
            response.version < PROTOCOL_VERSION
            or response.host != self.peer.name
        ):
            raise PeerError(
                f"expected host {self.peer.name} with version "
                f"{PROTOCOL_VERSION} or later, but {response.host} answered "
                f"with version {response.version}"
            )
        return int(response.port)


class PeerLinks:
    """All links of one entry host.

    Attributes:
        links: outgoing links by host name; this host is the holder.
        grantor_protocols: incoming streams by the holder's host name.
    """

    def __init__(
        self, own_host: str, events: PeerEvents, clock: Clock
    ) -> None:
        self.own_host = own_host
        self.events = events
        self.clock = clock
        self.links: dict[str, PeerLink] = {}
        self.link_tasks: dict[str, asyncio.Task[None]] = {}
        self.grantor_protocols: dict[str, GrantorProtocol] = {}
        self.fetch_tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str, stack: AsyncExitStack) -> str:
        """Listen for calls and streams until the stack is closed.

        Args:
            address: ``ip:port`` for gRPC calls; port 0 picks a free port.
            stack: closes the sockets and all links.

        Returns:
            The ``ip:port`` that is bound.

        Raises:
            OSError: if the address is in use or not available.
        """
        host, _ = split_address(address)
        stream_socket = bind(f"{host}:0")
        stack.callback(stream_socket.close)
        _, port = split_address(bound_address(stream_socket))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: GrantorProtocol(
                self.events,
                self.clock,
                self._on_holder_opened,
                self._on_holder_closed,
            ),
            sock=stream_socket,
        )
        stack.callback(listener.close)
        rpc_socket = bind(address)
        stack.callback(rpc_socket.close)
        server = Server([PeerService(self.own_host, self.events, port)])
        await server.start(sock=rpc_socket)
        stack.push_async_callback(self._close, server)
        return bound_address(rpc_socket)

    def set_hosts(self, hosts: Sequence[EntryHost]) -> None:
        """Open links to added hosts and close links to removed hosts."""
        peers_by_name = {h.name: h for h in hosts if h.name != self.own_host}
        for name, link in list(self.links.items()):
            current = peers_by_name.get(name)
            if (
                current is None
                or current.peer_address != link.peer.peer_address
            ):
                del self.links[name]
                self.link_tasks.pop(name).cancel()
        for name, peer in peers_by_name.items():
            if name not in self.links:
                link = PeerLink(self.own_host, peer, self.events, self.clock)
                self.links[name] = link
                self.link_tasks[name] = asyncio.create_task(link.run())

    def send_to_grantor(self, host: str, message: HolderMessage) -> None:
        """Queue a message for a grantor, or drop it if the link is down."""
        link = self.links.get(host)
        if link is not None and link.protocol is not None:
            link.protocol.send(message)

    def send_to_holder(self, host: str, message: GrantorMessage) -> None:
        """Queue a message for a holder, or drop it if it has no stream."""
        protocol = self.grantor_protocols.get(host)
        if protocol is not None:
            protocol.send(message)

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat for every linked host."""
        for link in self.links.values():
            if link.protocol is not None:
                link.protocol.send_heartbeat(heartbeat)

    def fetch_settings(self, host: str, above: int) -> None:
        """Fetch settings above a revision number from a host in a task."""
        link = self.links.get(host)
        if link is None:
            return
        task = asyncio.create_task(self._fetch(link, above))
        self.fetch_tasks.add(task)
        task.add_done_callback(self.fetch_tasks.discard)

    def _on_holder_opened(self, protocol: GrantorProtocol) -> None:
        self.grantor_protocols[protocol.host] = protocol

    def _on_holder_closed(self, protocol: GrantorProtocol) -> None:
        if self.grantor_protocols.get(protocol.host) is protocol:
            del self.grantor_protocols[protocol.host]
            self.events.on_holder_disconnected(protocol.host)

    async def _fetch(self, link: PeerLink, above: int) -> None:
        revision = await link.fetch(above)
        if revision is not None:
            self.events.on_revision(revision)

    async def _close(self, server: Server) -> None:
        tasks = [*self.link_tasks.values(), *self.fetch_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for protocol in list(self.grantor_protocols.values()):
            protocol.transport.abort()
        server.close()
        await server.wait_closed()


@contextlib.contextmanager
def _open_stub(peer: EntryHost) -> Iterator[PeerStub]:
    """Yield a gRPC stub for an entry host and close its channel after use."""
    host, port = split_address(peer.peer_address)
    channel = Channel(host, port)
    try:
        yield PeerStub(channel)
    finally:
        channel.close()


async def offer_settings(
    peer: EntryHost, revision: Revision, timeout_ms: float
) -> int:
    """Send an accepted settings revision to an entry host.

    Returns:
        The number of the revision then in force on that host.

    Raises:
        PeerError: if the call failed or timed out.
    """
    try:
        with _open_stub(peer) as stub:
            response = await stub.OfferSettings(
                codec.pack_revision(revision), timeout=seconds(timeout_ms)
            )
    except CALL_ERRORS as error:
        raise PeerError(
            f"cannot offer revision {revision.number} to {peer.name}: "
            f"{error!r}"
        ) from error
    return int(response.revision)
