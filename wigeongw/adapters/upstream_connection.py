"""A persistent HTTP/1.1 connection to an upstream, one exchange at a time.

The connection uses the httptools parser directly, because an HTTP client
library hides three facts on which retries and connection reuse depend:
whether any byte of the request was sent, whether bytes follow a complete
response, and whether a response without a length ended or was truncated.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from wigeongw.adapters import keep_alive_header
from wigeongw.adapters import receive_window
from wigeongw.adapters import socket_state
from wigeongw.adapters.body_stream import BodyStream
from wigeongw.adapters.client_resources import CloseReason
from wigeongw.adapters.turn_feed import TurnFeed
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.adapters.upstream_reply import ExchangeError
from wigeongw.core.http_status import is_status
from wigeongw.core.http_status import MIN_FINAL_STATUS
from wigeongw.decisions.memory_shares import BufferLimits
from wigeongw.decisions.message_account import MessageAccount
from wigeongw.ports.errors import BodyError

# Request bodies up to this size are sent together with their head.
MAX_JOINED_BODY_BYTES = 16 << 10
# Bytes that an upstream may send in an exchange beside the body of its answer:
# informational responses, a head, framing of chunks, trailers, responses to
# other requests. A faulty upstream may send such bytes without end.
MAX_OVERHEAD_BYTES = 1 << 16
# Responses to other requests that an exchange skips before it fails.
MAX_FOREIGN_RESPONSES = 2
# Body bytes of such responses.
MAX_FOREIGN_BYTES = 1 << 20
# Bytes that are parsed before the bounds are checked.
SLICE_BYTES = 16 << 10
BODILESS_STATUSES = frozenset((204, 304))
TCP_USER_TIMEOUT_MS = 3_000

NoteHeld = Callable[["UpstreamConnection", int], None]
# Called with a response as soon as its head has come.
OnHead = Callable[[BufferedReply], None]


def _ignore(connection: "UpstreamConnection", size: int) -> None:
    """Count nothing."""


def _ignore_head(reply: BufferedReply) -> None:
    """Wait for the response."""


class UpstreamConnection(asyncio.Protocol):
    """A client connection to one upstream.

    Attributes:
        request_id_header: header in which the upstream echoes request IDs,
            in lower case.
        waiter: completes with the response of the exchange in progress.
        is_reusable: whether the connection can serve another exchange.
        is_kept: whether the connection has served an exchange before this one.
        exchange_count: number of exchanges begun.
        has_echoed: whether the upstream has echoed a request's ID on it.
        account: counts the bytes of the exchange.
        foreign_bytes: body bytes of responses to other requests in it.
        feed: the received bytes that are not parsed yet.
        open_connections: all open connections of the pool, with this one.
        is_stream_paused: whether the reader of a long body is slow.
        is_read_paused: whether reading from the transport is paused.
        is_skipping: whether the response being parsed is discarded.
        is_complete: whether the response of the last exchange has ended.
        is_close_delimited: whether the response ends when the upstream
            closes the connection.
        idle_timeout_ms: how long the connection may stay idle.
        idle_since: monotonic time in milliseconds, set by the pool.
        limits: returns how much of a response it may hold now. What fits
            is buffered before any of it goes to the client, so that a request
            whose response is truncated can be retried.
        note_held: called with the connection and how much it holds.
    """

    def __init__(
        self,
        request_id_header: str,
        open_connections: set["UpstreamConnection"] | None = None,
        limits: Callable[[], BufferLimits] = BufferLimits,
        note_held: NoteHeld | None = None,
    ) -> None:
        self.open_connections = (
            set() if open_connections is None else open_connections
        )
        self.request_id_header = request_id_header
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.waiter: asyncio.Future[BufferedReply] | None = None
        self.request_id = ""
        self.head_only = False
        self.on_head: OnHead = _ignore_head
        self.sent = False
        self.is_reusable = True
        self.is_kept = False
        self.has_echoed = False
        self.exchange_count = 0
        self.account = MessageAccount(MAX_OVERHEAD_BYTES)
        self.foreign_bytes = 0
        self.feed = TurnFeed(
            self._parse, self._next_size, self._update_reading
        )
        self.is_stream_paused = False
        self.is_read_paused = False
        self.foreign_responses = 0
        self.idle_timeout_ms = keep_alive_header.DEFAULT_IDLE_TIMEOUT_MS
        self.idle_since = 0.0
        self.limits = limits
        self.note_held = note_held or _ignore
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.reply: BufferedReply | None = None
        self.is_skipping = False
        self.is_complete = False
        self.is_close_delimited = False

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit how long sent bytes may stay unacknowledged."""
        self.transport = cast(asyncio.Transport, transport)
        receive_window.read_at_most(
            transport, receive_window.UPSTREAM_READ_BYTES
        )
        self.open_connections.add(self)
        self.note_held(self, 0)
        socket_state.limit_unacknowledged(transport, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse a response; close on bytes that belong to no request."""
        if self.waiter is None and self.reply is None:
            self.close()
            return
        self.feed.add(data)
        self.update_held()

    def update_held(self) -> None:
        """Note how many bytes of a response are not passed on yet."""
        held = self.feed.waiting + len(self.body)
        if self.reply is not None and self.reply.rest is not None:
            held += len(self.reply.rest.waiting)
        self.note_held(self, held)

    def give_up(self, reason: CloseReason) -> None:
        """Close at once; the response is not complete."""
        self._fail(reason.value)

    def _parse(self, piece: bytes) -> None:
        if self.waiter is None and self.reply is None:
            self.close()
            return
        self.account.received += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._fail(f"not an answer: {e!r}")
            return
        if self.account.is_exceeded or self.foreign_bytes > MAX_FOREIGN_BYTES:
            self._fail("not an answer: bytes without end")

    def _next_size(self) -> int:
        """Return how many bytes may be parsed before the next check."""
        if self.transport is None or self.transport.is_closing():
            self.feed.drop()
            return 0
        return SLICE_BYTES

    def _update_reading(self) -> None:
        """Read on unless the reader is slow or received bytes wait."""
        if self.transport is None or self.transport.is_closing():
            return
        is_paused = self.is_stream_paused or self.feed.waiting > 0
        if is_paused and not self.is_read_paused:
            self.transport.pause_reading()
        elif self.is_read_paused and not is_paused:
            self.transport.resume_reading()
        self.is_read_paused = is_paused

    def eof_received(self) -> None:
        """Complete a close-delimited response."""
        self._parse_rest()
        if (
            self.is_close_delimited
            and not self.is_skipping
            and not self.is_complete
        ):
            self._complete_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, unless its answer has arrived."""
        self._parse_rest()
        self.open_connections.discard(self)
        self.is_reusable = False
        reason = "reset" if exc is not None else "closed"
        self._fail(f"connection {reason}", is_broken=True)
        # What refers back to this connection would keep it, with all that it
        # holds, until the next garbage collection.
        self.feed.end()
        self.parser = None  # type: ignore[assignment]
        self.on_head = _ignore_head
        self.reply = None
        self.body = bytearray()
        self.note_held(self, 0)

    # Exchanges

    @property
    def is_open(self) -> bool:
        """Whether another exchange can be started."""
        return (
            self.is_reusable
            and not self.feed.waiting
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def has_unsent_bytes(self) -> bool:
        """Return whether bytes of a request wait to be sent."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.transport.get_write_buffer_size() > 0

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read yet.

        On an idle connection they belong to no request.
        """
        return self.transport is not None and socket_state.has_unread_bytes(
            self.transport
        )

    async def exchange(
        self,
        head: bytes,
        body: bytes | bytearray,
        request_id: str,
        head_only: bool,
        on_head: OnHead = _ignore_head,
    ) -> BufferedReply:
        """Send a request and wait for its response.

        Args:
            head: request line and headers.
            body: the whole body.
            request_id: a response that echoes another ID is skipped; empty
                to accept any response.
            head_only: whether the response to this method has no body.
            on_head: called with the response when its head has come, whatever
                becomes of its body.

        Raises:
            ExchangeError: if no response arrived; tells whether any byte of
                the request may have been sent.
        """
        if not self.is_open or self.transport is None:
            raise ExchangeError("connection is closed", False)
        self.request_id = request_id
        self.head_only = head_only
        self.on_head = on_head
        self.is_kept = self.exchange_count > 0
        self.exchange_count += 1
        self.foreign_responses = 0
        self.foreign_bytes = 0
        self.account = MessageAccount(MAX_OVERHEAD_BYTES)
        self.reply = None
        self._reset_response()
        self.parser = httptools.HttpResponseParser(self)
        self.waiter = asyncio.get_running_loop().create_future()
        self.sent = True
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            self.transport.write(body)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.waiter = None
            self.on_head = _ignore_head

    def close(self) -> None:
        """Close, upon which the upstream cancels the connection's request."""
        self.is_reusable = False
        self.feed.drop()
        self.open_connections.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a response; skip one that follows a complete response."""
        if self.is_complete:
            self.is_reusable = False
            self.is_skipping = True
            return
        self._reset_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Skip a response to another request; find how the body ends."""
        status = self.parser.get_status_code()
        if self.is_complete:
            return
        if not is_status(status):
            self._fail(f"not an answer: status {status:03}")
            return
        if status < MIN_FINAL_STATUS:
            return
        fields = {
            n.decode("latin-1"): v.decode("latin-1") for n, v in self.headers
        }
        echoed = fields.get(self.request_id_header)
        if (
            self.request_id
            and echoed is not None
            and echoed != self.request_id
        ):
            self._skip_foreign_response()
            return
        if self.request_id and echoed is None and self.has_echoed:
            self._fail("answer without the request's id")
            return
        is_echo = bool(self.request_id) and echoed is not None
        self.has_echoed = self.has_echoed or is_echo
        if keep_alive_header.says_close(fields):
            self.is_reusable = False
        self.idle_timeout_ms = keep_alive_header.idle_timeout_ms(
            fields, self.idle_timeout_ms
        )
        self.reply = BufferedReply(
            status,
            self.headers,
            fields=fields,
            answers_request=is_echo or not self.is_kept,
        )
        self.on_head(self.reply)
        if self.head_only or status in BODILESS_STATUSES:
            self.is_reusable = self.is_reusable and not self.head_only
            self._complete_response()
            return
        has_framing = (
            "content-length" in fields or "transfer-encoding" in fields
        )
        self.is_close_delimited = not has_framing
        if self.is_close_delimited:
            self.is_reusable = False

    def on_body(self, data: bytes) -> None:
        """Buffer the body, or queue its chunks once it is long."""
        if self.is_skipping or self.is_complete or self.reply is None:
            self.foreign_bytes += len(data)
            # These bytes are bounded by themselves; their framing is not.
            self.account.received -= len(data)
            return
        self.account.body += len(data)
        if self.reply.rest is not None:
            self.reply.rest.feed(data)
            return
        self.body += data
        limits = self.limits()
        if len(self.body) > limits.buffered:
            self.reply.rest = BodyStream(
                limits.waiting,
                self._pause_reading,
                self._resume_reading,
                self.update_held,
            )
            self._deliver(self.reply)

    def on_message_complete(self) -> None:
        """Complete a response, or prepare for the next one."""
        if self.is_skipping:
            self.is_skipping = self.is_complete
            self._discard_headers()
            return
        if self.reply is not None and not self.is_complete:
            self._complete_response()
        elif self.reply is None:
            self._discard_headers()

    # Internal helpers

    def _reset_response(self) -> None:
        self.headers = []
        self.body = bytearray()
        self.is_skipping = False
        self.is_complete = False
        self.is_close_delimited = False

    def _discard_headers(self) -> None:
        if not self.is_complete:
            self.headers = []

    def _skip_foreign_response(self) -> None:
        """Discard a response to another request."""
        self.is_skipping = True
        self.is_reusable = False
        self.foreign_responses += 1
        if self.foreign_responses > MAX_FOREIGN_RESPONSES:
            self._fail("answers to other requests")

    def _complete_response(self) -> None:
        assert self.reply is not None
        self.is_complete = True
        reply = self.reply
        if reply.rest is not None:
            reply.rest.finish()
        else:
            self._deliver(reply)

    def _deliver(self, reply: BufferedReply) -> None:
        reply.body = bytes(self.body)
        self.body = bytearray()
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(reply)

    def _fail(self, reason: str, is_broken: bool = False) -> None:
        self.is_reusable = False
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(
                ExchangeError(reason, self.sent, is_broken)
            )
        elif self.reply and self.reply.rest and not self.is_complete:
            self.reply.rest.finish(BodyError(reason))
        self.close()

    def _parse_rest(self) -> None:
        """Parse what has arrived, as the transport has no more for it."""
        while self.feed.waiting and self._next_size():
            self.feed.run()

    def _pause_reading(self) -> None:
        self.is_stream_paused = True
        self._update_reading()

    def _resume_reading(self) -> None:
        self.is_stream_paused = False
        self._update_reading()
