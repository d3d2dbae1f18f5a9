"""HTTP/1.1 connections of clients, within the limits of a process.

The protocol class bounds what uvicorn leaves to a load balancer in front of
the server: the size of a request's head and the time to receive it, what a
message may have beside its body, what is parsed in a turn of the event loop,
and what waits in either direction. The head is the request line and the
headers.
"""

import asyncio
from collections import deque
from collections.abc import Mapping
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import CloseReason
from wigeongw.adapters.client_resources import Connection
from wigeongw.adapters.receive_window import ReceiveWindow
from wigeongw.adapters.turn_feed import SLICE_BYTES
from wigeongw.adapters.turn_feed import TurnFeed
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.decisions.memory_shares import MAX_WAITING_BODY_BYTES
from wigeongw.decisions.message_account import MessageAccount

# Idle connections are closed this much later than clients are told.
IDLE_TIMEOUT_MARGIN_MS = 500.0
# ASGI scope extension with the request target as the client sent it. The
# scope's path and query cannot always be joined to the same bytes.
RAW_TARGET_EXTENSION = "wigeongw.target"
# ASGI scope extension with the connection, as an owner of bytes.
CONNECTION_EXTENSION = "wigeongw.connection"
HEAD_TOO_LARGE = "The head of the request is too large"
# A message may have so many times the size of a head beside its body: for
# the head itself, and for framing and trailers.
ALLOWANCE_IN_HEADS = 2
# So much of a body may always wait for its request, however many there are.
MIN_WAITING_BODY_BYTES = 4 << 10
# Reading stops while more bytes wait to be parsed. Until then the end of the
# connection is noticed.
MAX_UNPARSED_BYTES = 16 << 10
# What a pipelined request takes beside its body.
PIPELINED_REQUEST_BYTES = 4 << 10
# Answers up to this size may wait to be sent without being counted.
MAX_UNCOUNTED_BYTES = 8 << 10
MAX_LENGTH_DIGITS = 18


class LimitedProtocol(HttpToolsProtocol):
    """A client's connection.

    Attributes:
        resources: what all connections of the process share.
        feed: the received bytes that are not parsed yet.
        account: counts the bytes of the message that is being received.
        overhead_held: bytes of the message since its start or the last byte
            of its body. The parser may keep them.
        head_sizes: bytes of the heads of ``cycles``.
        window: what may wait to be read.
        is_reading_head: whether the head of a request is incomplete.
        body_left: bytes that the body still has, if it has a length.
        discarded_body: bytes of a body that came after its response.
        body_pieces: the body's bytes from the slice that is being parsed.
        cycles: the requests that are not answered yet, oldest first.
        has_ended: whether the connection is closed or being closed.
        head_timer: closes the connection when the head takes too long.
        write_timer: ends the connection when the client reads nothing of what
            waits for it.
    """

    resources: ClientResources
    head_timer: asyncio.TimerHandle | None = None
    write_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Set the idle timeout and start the timer of the first head."""
        super().connection_made(transport)
        limits = self.resources.get_limits()
        idle_ms = limits.idle_ms + IDLE_TIMEOUT_MARGIN_MS
        self.timeout_keep_alive = int(-(-idle_ms // MS_PER_S))
        self.flow = _Flow(transport, self)
        self.feed = TurnFeed(self._parse, self._next_size, self.update_reading)
        self.account = MessageAccount(ALLOWANCE_IN_HEADS * limits.head_bytes)
        self.overhead_held = 0
        self.head_sizes: deque[int] = deque()
        self.window = ReceiveWindow(transport, self.resources.ledger)
        transport.set_write_buffer_limits(high=MAX_UNCOUNTED_BYTES)
        self.is_reading_head = True
        self.body_left = 0
        self.discarded_body = 0
        self.body_pieces: list[bytes] = []
        self.cycles: deque[Any] = deque()
        self.has_ended = False
        self._start_head_timer(limits.head_ms)
        self.resources.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell all requests in progress, and give back what was held."""
        self.has_ended = True
        self._cancel_head_timer()
        self._cancel_write_timer()
        self.feed.end()
        self.resources.closed(self)
        self._end_requests()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._break_cycles()

    def give_up(self, reason: CloseReason) -> None:
        """Close at once; what was not read has not run."""
        if self.has_ended:
            return
        self.has_ended = True
        self.feed.drop()
        self._end_requests()
        self.resources.given_up(self, self._held_by_parser())
        self.resources.on_close(reason)
        # Closing would wait until the client reads.
        self.transport.abort()

    # Writing

    def pause_writing(self) -> None:
        """Start the timer of a client that does not read."""
        super().pause_writing()
        self._cancel_write_timer()
        limits = self.resources.get_limits()
        self.write_timer = self.loop.call_later(
            seconds(limits.idle_ms), self._on_write_timeout
        )
        if not self.has_ended:
            size = self.transport.get_write_buffer_size()
            self.resources.set_undelivered(self, size)

    def resume_writing(self) -> None:
        """Cancel the timer of a client that does not read."""
        self._cancel_write_timer()
        if not self.has_ended:
            self.resources.set_undelivered(self, 0)
        super().resume_writing()

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse a bounded part of the data now."""
        if not self.has_ended:
            self.feed.add(data)

    def update_reading(self) -> None:
        """Read on, unless too much waits; note what waits."""
        if self.has_ended or self.transport.is_closing():
            return
        body = sum(len(cycle.body) for cycle in self.cycles)
        if self.feed.waiting > MAX_UNPARSED_BYTES or (
            body > MIN_WAITING_BODY_BYTES
            and body > self.resources.ledger.max_waiting_body
        ):
            FlowControl.pause_reading(self.flow)
        else:
            FlowControl.resume_reading(self.flow)
        pipelined = len(self.pipeline) * PIPELINED_REQUEST_BYTES
        heads = self._held_by_parser()
        held = self.feed.waiting + body + pipelined + heads
        self.resources.set_unread(self, held)

    def go_on(self) -> None:
        """Parse and read on after a request has taken what was there."""
        if self.has_ended:
            return
        if self._next_size():
            self.feed.schedule()
        self.update_reading()

    def _next_size(self) -> int:
        """Return how many bytes may be parsed before the next check."""
        if self.has_ended or self.transport.is_closing() or self.pipeline:
            return 0
        if self.cycle and len(self.cycle.body) > MAX_WAITING_BODY_BYTES:
            return 0
        return max(SLICE_BYTES, self.body_left)

    def _parse(self, piece: bytes) -> None:
        self.account.received += len(piece)
        self.overhead_held += len(piece)
        super().data_received(piece)
        self._pass_body_on()
        if self.has_ended or self.transport.is_closing():
            self.feed.drop()
            return
        limits = self.resources.get_limits()
        if self.is_reading_head:
            if self.account.overhead > limits.head_bytes:
                self._reject_oversized_head()
        elif (
            self.account.is_exceeded
            or self.overhead_held > ALLOWANCE_IN_HEADS * limits.head_bytes
            or self.discarded_body > limits.body_bytes
        ):
            self.give_up(CloseReason.MESSAGE)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start the timer of the head."""
        self.is_reading_head = True
        if self.head_timer is None:
            self._start_head_timer(self.resources.get_limits().head_ms)
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are not passed on."""
        if self.is_reading_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the head's total size and pass the raw target on."""
        self._cancel_head_timer()
        self.is_reading_head = False
        self.discarded_body = 0
        self.body_left = _body_length(self.headers)
        size = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size > self.resources.get_limits().head_bytes:
            self._reject_oversized_head()
            return
        self.scope["extensions"] = {
            RAW_TARGET_EXTENSION: {"raw": self.url},
            CONNECTION_EXTENSION: {"connection": self},
        }
        super().on_headers_complete()
        self.cycles.append(self.cycle)
        self.head_sizes.append(size)
        self.overhead_held = 0
        self.resources.table.set_receiving(self)

    def on_body(self, body: bytes) -> None:
        """Collect the bytes of one slice, as there may be many small ones."""
        if self.cycle is None:
            # The head was refused.
            return
        self.account.body += len(body)
        self.overhead_held = 0
        rest = max(self.body_left, self.account.body)
        self.window.receive_body(self, rest)
        self.body_left = max(0, self.body_left - len(body))
        if self.cycle.response_complete:
            self.discarded_body += len(body)
            return
        self.body_pieces.append(body)

    def on_message_complete(self) -> None:
        """End the message's account."""
        if self.cycle is None:
            return
        self._pass_body_on()
        super().on_message_complete()
        self.body_left = 0
        self.overhead_held = 0
        if self.cycles:
            self.resources.table.set_busy(self)
        limits = self.resources.get_limits()
        self.account = MessageAccount(ALLOWANCE_IN_HEADS * limits.head_bytes)

    def on_response_complete(self) -> None:
        """Forget the request that was answered."""
        while self.cycles and self.cycles[0].response_complete:
            self.cycles.popleft()
            self.head_sizes.popleft()
        if not self.cycles:
            self.resources.table.set_idle(self)
            self.window.narrow(self)
        super().on_response_complete()
        self.go_on()

    # Internal helpers

    def _held_by_parser(self) -> int:
        return sum(self.head_sizes) + self.overhead_held

    def _end_requests(self) -> None:
        """Tell all requests that their client is gone, and drop their bodies.

        A request that has not begun would else take memory for its body.
        """
        for cycle in self.cycles:
            if not cycle.response_complete:
                cycle.disconnected = True
                cycle.body = bytearray()
                cycle.message_event.set()

    def _break_cycles(self) -> None:
        """Let go of what refers back to this connection.

        Else it would stay, with all that it holds, until the next garbage
        collection, while new connections take memory.
        """
        self.flow = FlowControl(self.transport)
        self.parser = None  # type: ignore[assignment]
        self.cycle = None  # type: ignore[assignment]
        self.scope = None  # type: ignore[assignment]
        self.cycles.clear()
        self.pipeline.clear()

    def _pass_body_on(self) -> None:
        if self.body_pieces:
            body = b"".join(self.body_pieces)
            self.body_pieces = []
            super().on_body(body)

    def _reject_oversized_head(self) -> None:
        if self.transport.is_closing():
            return
        body = HEAD_TOO_LARGE.encode()
        self.transport.write(
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
            b"content-type: text/plain; charset=utf-8\r\n"
            b"wigeongw-outcome: not-run\r\n"
            b"content-length: " + str(len(body)).encode() + b"\r\n"
            b"connection: close\r\n\r\n" + body
        )
        self.transport.close()

    def _start_head_timer(self, timeout_ms: float) -> None:
        self.head_timer = self.loop.call_later(
            seconds(timeout_ms), self._on_head_timeout
        )

    def _cancel_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _cancel_write_timer(self) -> None:
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None

    def _on_write_timeout(self) -> None:
        self.write_timer = None
        # Closing would wait until the client reads.
        self.transport.abort()

    def _on_head_timeout(self) -> None:
        self.head_timer = None
        if self.cycles:
            # The rest of this head may wait here for an earlier request.
            self._start_head_timer(self.resources.get_limits().head_ms)
        elif not self.transport.is_closing():
            self.transport.close()


class _Flow(FlowControl):
    """Leaves it to the protocol when to read."""

    def __init__(
        self, transport: asyncio.Transport, protocol: LimitedProtocol
    ) -> None:
        super().__init__(transport)
        self.protocol = protocol

    def pause_reading(self) -> None:
        """Read on up to the protocol's own bound."""

    def resume_reading(self) -> None:
        """Go on with what waits."""
        self.protocol.go_on()


def connection_of(scope: Mapping[str, Any]) -> Connection | None:
    """Return the connection of an ASGI scope, as an owner of bytes."""
    extensions = scope.get("extensions") or {}
    extension = extensions.get(CONNECTION_EXTENSION, {})
    found: Connection | None = extension.get("connection")
    return found


def _body_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the body's length; 0 if it has none or several."""
    values = [v for name, v in headers if name == b"content-length"]
    if len(values) != 1 or len(values[0]) > MAX_LENGTH_DIGITS:
        return 0
    return int(values[0]) if values[0].isdigit() else 0


def protocol_class(resources: ClientResources) -> type[LimitedProtocol]:
    """Return the protocol class of the connections that share resources."""

    class ConfiguredProtocol(LimitedProtocol):
        """A client's connection within these resources."""

    ConfiguredProtocol.resources = resources
    return ConfiguredProtocol
