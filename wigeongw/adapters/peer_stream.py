"""The stream of batches between two entry hosts, as frames over TCP.

Everything queued during one turn of the event loop leaves as one frame, so
batches grow with load and an idle system pays no wait.
"""

import asyncio
from collections.abc import Callable
import struct
from typing import Any
from typing import Protocol

from google.protobuf.message import DecodeError
import logbook

from wigeongw.adapters import peer_codec as codec
from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.core.clock import Clock
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.ports.errors import PeerError
from wigeongw.ports.peers import Heartbeat
from wigeongw.ports.peers import PeerEvents

LENGTH = struct.Struct(">I")
FRAME_MOST_BYTES = 4 << 20
BACKLOG_MOST_BYTES = 8 << 20

log = logbook.Logger("peers")


class Batch(Protocol):
    """A protobuf message as far as frames need it."""

    def SerializeToString(self) -> bytes:
        """Return the message as bytes."""


class Frames(asyncio.Protocol):
    """Cuts a connection's bytes into frames; both sides build on it."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.received = bytearray()
        self.flushing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Hand over whole frames; a peer that sends nonsense is dropped."""
        self.received += data
        try:
            self._take_frames()
        except (PeerError, DecodeError, ValueError) as error:
            self.drop(str(error))

    def take_frame(self, frame: bytes) -> None:
        """Take one frame in."""
        raise NotImplementedError

    def next_batch(self) -> Batch | None:
        """Return what waits to be sent, or None."""
        raise NotImplementedError

    def drop(self, reason: str) -> None:
        """Close the connection for a reason."""
        if self.transport is not None and not self.transport.is_closing():
            peer = self.transport.get_extra_info("peername")
            log.warning("Peer at {} dropped: {}.", peer, reason)
            self.transport.abort()

    def flush_soon(self) -> None:
        """Send what waits at the end of this turn of the event loop."""
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        if self.transport is None or self.transport.is_closing():
            return
        batch = self.next_batch()
        if batch is None:
            return
        raw = batch.SerializeToString()
        self.transport.write(LENGTH.pack(len(raw)) + raw)
        if self.transport.get_write_buffer_size() > BACKLOG_MOST_BYTES:
            self.drop("it does not read")

    def _take_frames(self) -> None:
        begin = 0
        while len(self.received) - begin >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.received, begin)
            if size > FRAME_MOST_BYTES:
                raise PeerError(f"a frame of {size} bytes")
            end = begin + LENGTH.size + size
            if len(self.received) < end:
                break
            self.take_frame(bytes(self.received[begin + LENGTH.size : end]))
            begin = end
        del self.received[:begin]


class HolderSide(Frames):
    """The opener's end: sends as a holder, hears a grantor."""

    def __init__(
        self,
        me: str,
        peer: str,
        events: PeerEvents,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.me = me
        self.peer = peer
        self.events = events
        self.clock = clock
        self.messages: list[HolderMessage] = []
        self.heartbeat: Heartbeat | None = None
        self.lost = asyncio.get_running_loop().create_future()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell who waits for the end."""
        if not self.lost.done():
            self.lost.set_result(None)

    def send(self, message: HolderMessage) -> None:
        """Queue a message."""
        self.messages.append(message)
        self.flush_soon()

    def beat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat in place of an unsent older one."""
        self.heartbeat = heartbeat
        self.flush_soon()

    def next_batch(self) -> Batch | None:
        """Pack what waits."""
        messages, self.messages = self.messages, []
        heartbeat, self.heartbeat = self.heartbeat, None
        return codec.holder_batch(
            self.me, messages, heartbeat, self.clock.now()
        )

    def take_frame(self, frame: bytes) -> None:
        """Hear a grantor."""
        batch = pb.GrantorBatch.FromString(frame)
        self.events.on_grantor(self.peer, codec.grantor_messages(batch))


class GrantorSide(Frames):
    """The other end: hears a holder, answers as its grantor."""

    def __init__(
        self,
        events: PeerEvents,
        clock: Clock,
        opened: Callable[["GrantorSide"], None],
        closed: Callable[["GrantorSide"], None],
    ) -> None:
        super().__init__()
        self.events = events
        self.clock = clock
        self.opened = opened
        self.closed = closed
        self.host = ""
        self.messages: list[GrantorMessage] = []

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the holder's stream broke."""
        self.closed(self)

    def send(self, message: GrantorMessage) -> None:
        """Queue a message."""
        self.messages.append(message)
        self.flush_soon()

    def next_batch(self) -> Batch | None:
        """Pack what waits."""
        messages, self.messages = self.messages, []
        return codec.grantor_batch(messages) if messages else None

    def take_frame(self, frame: bytes) -> None:
        """Hear a holder, which names itself in every batch."""
        batch = pb.HolderBatch.FromString(frame)
        if not batch.host:
            raise PeerError("no host named")
        if not self.host:
            self.host = batch.host
            self.opened(self)
        if batch.host != self.host:
            raise PeerError(f"host named itself {batch.host!r} later")
        if batch.HasField("heartbeat"):
            self.events.on_heartbeat(
                codec.heartbeat_of(batch.heartbeat, self.clock.now())
            )
        messages = codec.holder_messages(batch)
        if messages:
            self.events.on_holder(self.host, messages)
