"""Links between entry hosts: grpclib for questions, frames for the stream.

grpclib carries what is asked now and then: where the stream is, and settings.
The stream itself is frames over TCP, for the way through HTTP/2 in Python
cost more processor time than the request path (docs/design/peer-stream.md).
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
from wigeongw.adapters.http_server import address_of
from wigeongw.adapters.http_server import bind
from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.adapters.peer_pb.peer_grpc import PeerBase
from wigeongw.adapters.peer_pb.peer_grpc import PeerStub
from wigeongw.adapters.peer_stream import GrantorSide
from wigeongw.adapters.peer_stream import HolderSide
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

VERSION = 1
RECONNECT_MS = 200.0
CALL_TIMEOUT_MS = 1_000.0

FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    PeerError,
)

log = logbook.Logger("peers")


class Questions(PeerBase):
    """Answers what other entry hosts ask now and then."""

    def __init__(self, me: str, events: PeerEvents, port: int) -> None:
        self.me = me
        self.events = events
        self.port = port

    async def Meet(self, stream: Stream) -> None:
        """Tell where the stream is opened."""
        await stream.recv_message()
        await stream.send_message(
            pb.MeetAnswer(host=self.me, version=VERSION, port=self.port)
        )

    async def FetchSettings(self, stream: Stream) -> None:
        """Answer with the revision in force, if it is higher."""
        query = await stream.recv_message()
        found = self.events.revision_above(query.above)
        empty = pb.Revision()
        answer = codec.pack_revision(found) if found else empty
        await stream.send_message(answer)

    async def OfferSettings(self, stream: Stream) -> None:
        """Take in a revision and answer with the one in force."""
        offer = await stream.recv_message()
        number = self.events.on_revision(codec.unpack_revision(offer))
        await stream.send_message(
            pb.SettingsState(host=self.me, revision=number)
        )


class Link:
    """The stream that this entry host opens to another, kept open."""

    def __init__(
        self, me: str, peer: EntryHost, events: PeerEvents, clock: Clock
    ) -> None:
        self.me = me
        self.peer = peer
        self.events = events
        self.clock = clock
        self.side: HolderSide | None = None

    async def run(self) -> None:
        """Open the stream, and again whenever it broke, for ever."""
        while True:
            try:
                await self._session()
            except FAILURES as error:
                log.debug("No link to {}: {!r}.", self.peer.name, error)
            await asyncio.sleep(seconds(RECONNECT_MS))

    async def fetch(self, above: int) -> Revision | None:
        """Ask for the settings in force over there.

        Returns:
            A revision above a number, or None.
        """
        try:
            with _opened(self.peer) as stub:
                answer = await stub.FetchSettings(
                    pb.SettingsQuery(above=above),
                    timeout=seconds(CALL_TIMEOUT_MS),
                )
        except FAILURES as error:
            log.info("Settings of {} not had: {!r}.", self.peer.name, error)
            return None
        return codec.unpack_revision(answer) if answer.number else None

    async def _session(self) -> None:
        port = await self._meet()
        host, _ = split_address(self.peer.peer_address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds(CALL_TIMEOUT_MS)):
            transport, side = await loop.create_connection(
                lambda: HolderSide(
                    self.me, self.peer.name, self.events, self.clock
                ),
                host,
                port,
            )
        self.side = side
        try:
            self.events.on_link(self.peer.name, True)
            await side.lost
        finally:
            self.side = None
            transport.abort()
            self.events.on_link(self.peer.name, False)

    async def _meet(self) -> int:
        """Ask where the stream is.

        Raises:
            PeerError: when the host speaks a version without this stream.
        """
        with _opened(self.peer) as stub:
            answer = await stub.Meet(
                pb.MeetQuery(host=self.me, version=VERSION),
                timeout=seconds(CALL_TIMEOUT_MS),
            )
        if answer.version < VERSION or answer.host != self.peer.name:
            raise PeerError(f"met {answer.host} version {answer.version}")
        return int(answer.port)


class PeerLinks:
    """All links of one entry host, owned by an exit stack."""

    def __init__(self, me: str, events: PeerEvents, clock: Clock) -> None:
        self.me = me
        self.events = events
        self.clock = clock
        self.links: dict[str, Link] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.sides: dict[str, GrantorSide] = {}
        self.fetching: set[asyncio.Task[None]] = set()

    async def start(self, address: str, stack: AsyncExitStack) -> str:
        """Listen, until the stack closes.

        Returns:
            The address listened on, with the port that was chosen for 0.

        Raises:
            OSError: when the address cannot be had.
        """
        host, _ = split_address(address)
        stream_socket = bind(f"{host}:0")
        stack.callback(stream_socket.close)
        _, port = split_address(address_of(stream_socket))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: GrantorSide(
                self.events, self.clock, self._opened, self._closed
            ),
            sock=stream_socket,
        )
        stack.callback(listener.close)
        question_socket = bind(address)
        stack.callback(question_socket.close)
        server = Server([Questions(self.me, self.events, port)])
        await server.start(sock=question_socket)
        stack.push_async_callback(self._close, server)
        return address_of(question_socket)

    def set_hosts(self, hosts: Sequence[EntryHost]) -> None:
        """Open links to new hosts and close those to hosts that are gone."""
        wanted = {h.name: h for h in hosts if h.name != self.me}
        for name, link in list(self.links.items()):
            now = wanted.get(name)
            if now is None or now.peer_address != link.peer.peer_address:
                del self.links[name]
                self.tasks.pop(name).cancel()
        for name, peer in wanted.items():
            if name not in self.links:
                link = Link(self.me, peer, self.events, self.clock)
                self.links[name] = link
                self.tasks[name] = asyncio.create_task(link.run())

    def to_grantor(self, host: str, message: HolderMessage) -> None:
        """Queue a message for a grantor; dropped while the link is down."""
        link = self.links.get(host)
        if link is not None and link.side is not None:
            link.side.send(message)

    def to_holder(self, host: str, message: GrantorMessage) -> None:
        """Queue a message for a holder; dropped when it is not there."""
        side = self.sides.get(host)
        if side is not None:
            side.send(message)

    def beat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat for every host."""
        for link in self.links.values():
            if link.side is not None:
                link.side.beat(heartbeat)

    def fetch_settings(self, host: str, above: int) -> None:
        """Ask a host for the settings in force there."""
        link = self.links.get(host)
        if link is None:
            return
        task = asyncio.create_task(self._fetch(link, above))
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    def _opened(self, side: GrantorSide) -> None:
        self.sides[side.host] = side

    def _closed(self, side: GrantorSide) -> None:
        if self.sides.get(side.host) is side:
            del self.sides[side.host]
            self.events.on_holder_lost(side.host)

    async def _fetch(self, link: Link, above: int) -> None:
        revision = await link.fetch(above)
        if revision is not None:
            self.events.on_revision(revision)

    async def _close(self, server: Server) -> None:
        tasks = [*self.tasks.values(), *self.fetching]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for side in list(self.sides.values()):
            side.transport.abort()
        server.close()
        await server.wait_closed()


@contextlib.contextmanager
def _opened(peer: EntryHost) -> Iterator[PeerStub]:
    """Open a channel to an entry host until the block ends."""
    host, port = split_address(peer.peer_address)
    channel = Channel(host, port)
    try:
        yield PeerStub(channel)
    finally:
        channel.close()


async def offer_settings(
    peer: EntryHost, revision: Revision, timeout_ms: float
) -> int:
    """Hand an accepted revision to one entry host.

    Returns:
        The revision in force there afterwards.

    Raises:
        PeerError: when the host did not answer in time.
    """
    try:
        with _opened(peer) as stub:
            answer = await stub.OfferSettings(
                codec.pack_revision(revision), timeout=seconds(timeout_ms)
            )
    except FAILURES as error:
        raise PeerError(f"{peer.name}: {error!r}") from error
    return int(answer.revision)
