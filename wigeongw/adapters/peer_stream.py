"""The stream of message batches between two entry hosts, framed over TCP.

All messages queued in one iteration of the event loop are sent as one frame.
Batches therefore grow with load, and messages of an idle system are not
delayed.
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

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 4 << 20
MAX_WRITE_BUFFER_BYTES = 8 << 20
# Frames of one connection that are processed before others are read.
MAX_FRAMES_PER_TURN = 256

log = logbook.Logger("peers")


class Serializable(Protocol):
    """A protobuf message that can be sent as a frame."""

    def SerializeToString(self) -> bytes:
        """Return the encoded message."""


class FramedProtocol(asyncio.Protocol):
    """Sends and receives length-prefixed frames on a connection.

    Attributes:
        buffer: received bytes that are not processed yet.
        next_turn: goes on with them in the next turn of the event loop;
            reading is paused until then.
    """

    def __init__(self) -> None:
        self.transport: Any = None
        self.buffer = bytearray()
        self.next_turn: asyncio.Handle | None = None
        self.is_flush_scheduled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Process complete frames; close the connection on invalid data."""
        self.buffer += data
        if self.next_turn is None:
            self._process()

    def frame_received(self, frame: bytes) -> None:
        """Process one frame."""
        raise NotImplementedError

    def next_batch(self) -> Serializable | None:
        """Return the queued messages as a batch, or None if there are none."""
        raise NotImplementedError

    def drop(self, reason: str) -> None:
        """Abort the connection and log the reason."""
        if self.transport is not None and not self.transport.is_closing():
            peer = self.transport.get_extra_info("peername")
            log.warning("Closed the connection to peer {}: {}.", peer, reason)
            self.transport.abort()

    def schedule_flush(self) -> None:
        """Send queued messages in the next iteration of the event loop."""
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        if self.transport is None or self.transport.is_closing():
            return
        batch = self.next_batch()
        if batch is None:
            return
        raw = batch.SerializeToString()
        self.transport.write(LENGTH_PREFIX.pack(len(raw)) + raw)
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.drop("the write buffer exceeds its limit")

    def _process(self) -> None:
        """Process complete frames, and the rest in the next turn."""
        was_paused = self.next_turn is not None
        self.next_turn = None
        if self.transport is not None and self.transport.is_closing():
            self.buffer.clear()
            return
        try:
            has_more = self._split_frames()
        except (PeerError, DecodeError, ValueError) as error:
            self.drop(str(error))
            return
        if has_more:
            self.transport.pause_reading()
            loop = asyncio.get_running_loop()
            self.next_turn = loop.call_soon(self._process)
        elif was_paused:
            self.transport.resume_reading()

    def _split_frames(self) -> bool:
        """Process the frames of one turn; return whether it left any."""
        start = 0
        count = 0
        while len(self.buffer) - start >= LENGTH_PREFIX.size:
            if count == MAX_FRAMES_PER_TURN:
                break
            (size,) = LENGTH_PREFIX.unpack_from(self.buffer, start)
            if size > MAX_FRAME_BYTES:
                raise PeerError(
                    f"frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes"
                )
            end = start + LENGTH_PREFIX.size + size
            if len(self.buffer) < end:
                break
            self.frame_received(
                bytes(self.buffer[start + LENGTH_PREFIX.size : end])
            )
            start = end
            count += 1
        del self.buffer[:start]
        return count == MAX_FRAMES_PER_TURN


class HolderProtocol(FramedProtocol):
    """The opening end of a stream: sends as a holder to a grantor.

    Attributes:
        heartbeat: the latest heartbeat that has not been sent.
        closed: future that completes when the connection closes.
    """

    def __init__(
        self,
        own_host: str,
        peer: str,
        events: PeerEvents,
        clock: Clock,
    ) -> None:
        super().__init__()
        self.own_host = own_host
        self.peer = peer
        self.events = events
        self.clock = clock
        self.messages: list[HolderMessage] = []
        self.heartbeat: Heartbeat | None = None
        self.closed = asyncio.get_running_loop().create_future()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete ``closed``."""
        if not self.closed.done():
            self.closed.set_result(None)

    def send(self, message: HolderMessage) -> None:
        """Queue a message."""
        self.messages.append(message)
        self.schedule_flush()

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat; it replaces an older one not yet sent."""
        self.heartbeat = heartbeat
        self.schedule_flush()

    def next_batch(self) -> Serializable | None:
        """Return the queued messages and heartbeat as a batch."""
        messages, self.messages = self.messages, []
        heartbeat, self.heartbeat = self.heartbeat, None
        return codec.pack_holder_batch(
            self.own_host, messages, heartbeat, self.clock.now()
        )

    def frame_received(self, frame: bytes) -> None:
        """Process a batch of the grantor."""
        batch = pb.GrantorBatch.FromString(frame)
        self.events.on_grantor_messages(
            self.peer, codec.unpack_grantor_batch(batch)
        )


class GrantorProtocol(FramedProtocol):
    """The accepting end of a stream: sends as a grantor to a holder.

    Attributes:
        on_opened: called when the holder's first batch names its host.
        on_closed: called when the connection closes.
        host: the holder's host name; empty until the first batch.
    """

    def __init__(
        self,
        events: PeerEvents,
        clock: Clock,
        on_opened: Callable[["GrantorProtocol"], None],
        on_closed: Callable[["GrantorProtocol"], None],
    ) -> None:
        super().__init__()
        self.events = events
        self.clock = clock
        self.on_opened = on_opened
        self.on_closed = on_closed
        self.host = ""
        self.messages: list[GrantorMessage] = []

    def connection_lost(self, exc: Exception | None) -> None:
        """Call ``on_closed``."""
        self.on_closed(self)

    def send(self, message: GrantorMessage) -> None:
        """Queue a message."""
        self.messages.append(message)
        self.schedule_flush()

    def next_batch(self) -> Serializable | None:
        """Return the queued messages as a batch, or None if there are none."""
        messages, self.messages = self.messages, []
        return codec.pack_grantor_batch(messages) if messages else None

    def frame_received(self, frame: bytes) -> None:
        """Process a batch of the holder, which names its host every time."""
        batch = pb.HolderBatch.FromString(frame)
        if not batch.host:
            raise PeerError("batch without a host name")
        if not self.host:
            self.host = batch.host
            self.on_opened(self)
        if batch.host != self.host:
            raise PeerError(
                f"batch of host {batch.host!r} on the stream of {self.host!r}"
            )
        if batch.HasField("heartbeat"):
            self.events.on_heartbeat(
                codec.unpack_heartbeat(batch.heartbeat, self.clock.now())
            )
        messages = codec.unpack_holder_batch(batch)
        if messages:
            self.events.on_holder_messages(self.host, messages)
