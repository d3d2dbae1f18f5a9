"""Links between entry hosts over grpclib.

Each ordered pair of hosts has one stream. What is queued while a message is
on its way goes out together with the next one, so batches grow with load and
an idle system pays no wait.
"""

import asyncio
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Generic
from typing import TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server
from grpclib.server import Stream
import logbook

from wigeongw.adapters import peer_codec as codec
from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.adapters.peer_pb.peer_grpc import PeerBase
from wigeongw.adapters.peer_pb.peer_grpc import PeerStub
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.records import EntryHost
from wigeongw.core.records import Revision
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.ports.errors import PeerError
from wigeongw.ports.peers import Heartbeat
from wigeongw.ports.peers import PeerEvents

RECONNECT_MS = 200.0
CALL_TIMEOUT_MS = 1_000.0
QUEUE_MOST = 20_000
FLOOD_MOST = 50_000

FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    PeerError,
)

M = TypeVar("M")

log = logbook.Logger("peers")


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Outbox(Generic[M]):
    """Messages that wait to be sent together."""

    def __init__(self) -> None:
        self.messages: list[M] = []
        self.ready = asyncio.Event()

    def put(self, message: M) -> None:
        """Queue a message; the oldest go when the peer does not keep up."""
        self.messages.append(message)
        if len(self.messages) > QUEUE_MOST:
            del self.messages[0]
        self.ready.set()

    async def take(self) -> list[M]:
        """Wait until there is something, and take all of it."""
        await self.ready.wait()
        self.ready.clear()
        taken, self.messages = self.messages, []
        return taken


class Link:
    """The stream that this entry host opens to another."""

    def __init__(
        self, me: str, peer: EntryHost, events: PeerEvents, clock: Clock
    ) -> None:
        self.me = me
        self.peer = peer
        self.events = events
        self.clock = clock
        self.outbox: Outbox[HolderMessage] = Outbox()
        self.beat: Heartbeat | None = None
        self.up = False
        self.stub: PeerStub | None = None

    def send(self, message: HolderMessage) -> None:
        """Queue a message; dropped while the link is down."""
        if self.up:
            self.outbox.put(message)

    def send_beat(self, beat: Heartbeat) -> None:
        """Queue a heartbeat in place of an unsent older one."""
        self.beat = beat
        self.outbox.ready.set()

    async def run(self) -> None:
        """Keep the link open for ever."""
        while True:
            try:
                await self._session()
            except FAILURES as error:
                log.debug("Link to {} broke: {!r}.", self.peer.name, error)
            finally:
                self._set_up(False)
            await asyncio.sleep(seconds(RECONNECT_MS))

    async def fetch(self, above: int) -> Revision | None:
        """Ask for the settings in force over there.

        Returns:
            A revision above a number, or None.
        """
        if self.stub is None:
            return None
        try:
            answer = await self.stub.FetchSettings(
                pb.SettingsQuery(above=above),
                timeout=seconds(CALL_TIMEOUT_MS),
            )
        except FAILURES as error:
            log.info("Settings of {} not had: {!r}.", self.peer.name, error)
            return None
        return codec.unpack_revision(answer) if answer.number else None

    async def _session(self) -> None:
        host, port = split_address(self.peer.peer_address)
        async with AsyncExitStack() as stack:
            channel = Channel(host, port)
            stack.callback(channel.close)
            stub = PeerStub(channel)
            stream = await stack.enter_async_context(stub.Exchange.open())
            async with asyncio.timeout(seconds(CALL_TIMEOUT_MS)):
                await stream.send_message(pb.HolderBatch(host=self.me))
            self.stub = stub
            stack.callback(setattr, self, "stub", None)
            self._set_up(True)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send(stream))
                group.create_task(self._receive(stream))

    async def _send(self, stream: Stream) -> None:
        while True:
            messages = await self.outbox.take()
            beat, self.beat = self.beat, None
            batch = codec.holder_batch(
                self.me, messages, beat, self.clock.now()
            )
            await stream.send_message(batch)

    async def _receive(self, stream: Stream) -> None:
        while True:
            batch = await stream.recv_message()
            if batch is None:
                raise PeerError("the stream ended")
            self.events.on_grantor(
                self.peer.name, codec.grantor_messages(batch)
            )

    def _set_up(self, up: bool) -> None:
        if up == self.up:
            return
        self.up = up
        self.outbox.messages.clear()
        self.events.on_link(self.peer.name, up)


class Inbound(PeerBase):
    """Answers the streams that other entry hosts open."""

    def __init__(self, me: str, events: PeerEvents, clock: Clock) -> None:
        self.me = me
        self.events = events
        self.clock = clock
        self.outboxes: dict[str, Outbox[GrantorMessage]] = {}

    async def Exchange(self, stream: Stream) -> None:
        """Hear a holder and tell it what its grantor decides."""
        first = await stream.recv_message()
        if first is None or not first.host:
            raise GRPCError(Status.INVALID_ARGUMENT, "no host named")
        host = first.host
        outbox: Outbox[GrantorMessage] = Outbox()
        self.outboxes[host] = outbox
        sender = asyncio.create_task(self._send(stream, outbox))
        try:
            await self._hear(stream, host, first)
        except PeerError as error:
            log.warning("Host {} dropped: {}.", host, error)
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        finally:
            sender.cancel()
            if self.outboxes.get(host) is outbox:
                del self.outboxes[host]
                self.events.on_holder_lost(host)

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

    async def _hear(
        self, stream: Stream, host: str, first: pb.HolderBatch
    ) -> None:
        batch: pb.HolderBatch | None = first
        while batch is not None:
            if batch.host != host:
                raise PeerError(f"host named itself {batch.host!r} later")
            if len(batch.asks) + len(batch.returns) > FLOOD_MOST:
                raise PeerError("too many messages at once")
            if batch.HasField("heartbeat"):
                self.events.on_heartbeat(
                    codec.heartbeat_of(batch.heartbeat, self.clock.now())
                )
            messages = codec.holder_messages(batch)
            if messages:
                self.events.on_holder(host, messages)
            batch = await stream.recv_message()

    async def _send(
        self, stream: Stream, outbox: Outbox[GrantorMessage]
    ) -> None:
        try:
            while True:
                messages = await outbox.take()
                await stream.send_message(codec.grantor_batch(messages))
        except FAILURES as error:
            log.debug("Answers to a holder broke off: {!r}.", error)


class GrpcPeers:
    """All links of one entry host, owned by an exit stack."""

    def __init__(self, me: str, events: PeerEvents, clock: Clock) -> None:
        self.me = me
        self.events = events
        self.clock = clock
        self.inbound = Inbound(me, events, clock)
        self.server = Server([self.inbound])
        self.links: dict[str, Link] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.fetching: set[asyncio.Task[None]] = set()

    async def start(self, address: str, stack: AsyncExitStack) -> str:
        """Listen, until the stack closes.

        Returns:
            The address listened on, with the port that was chosen for 0.
        """
        host, port = split_address(address)
        await self.server.start(host, port, reuse_address=True)
        stack.push_async_callback(self._close)
        listener = self.server._server
        bound = listener.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

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
        """Queue a message for a grantor."""
        link = self.links.get(host)
        if link is not None:
            link.send(message)

    def to_holder(self, host: str, message: GrantorMessage) -> None:
        """Queue a message for a holder."""
        outbox = self.inbound.outboxes.get(host)
        if outbox is not None:
            outbox.put(message)

    def beat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat for every host."""
        for link in self.links.values():
            link.send_beat(heartbeat)

    def fetch_settings(self, host: str, above: int) -> None:
        """Ask a host for the settings in force there."""
        link = self.links.get(host)
        if link is None:
            return
        task = asyncio.create_task(self._fetch(link, above))
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def _fetch(self, link: Link, above: int) -> None:
        revision = await link.fetch(above)
        if revision is not None:
            self.events.on_revision(revision)

    async def _close(self) -> None:
        tasks = [*self.tasks.values(), *self.fetching]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.server.close()
        await self.server.wait_closed()


async def offer_settings(
    peer: EntryHost, revision: Revision, timeout_ms: float
) -> int:
    """Hand an accepted revision to one entry host.

    Returns:
        The revision in force there afterwards.

    Raises:
        PeerError: when the host did not answer in time.
    """
    host, port = split_address(peer.peer_address)
    channel = Channel(host, port)
    try:
        stub = PeerStub(channel)
        answer = await stub.OfferSettings(
            codec.pack_revision(revision), timeout=seconds(timeout_ms)
        )
    except FAILURES as error:
        raise PeerError(f"{peer.name}: {error!r}") from error
    finally:
        channel.close()
    return int(answer.revision)
