"""One kept connection to an upstream, one exchange at a time.

Written on the parser library itself, because the client library hides what
the promises rest on: whether any byte left, whether bytes follow a complete
answer, and whether an answer that has no length ended or broke off.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import socket
from typing import cast

import httptools

from wigeongw.ports.errors import BodyError

# Answers up to this size are read whole before the client sees any of it, so
# that one that breaks off can be asked for again.
WHOLE_MOST_BYTES = 1 << 20
# Answers to other requests that are skipped while the own one is awaited.
FOREIGN_MOST = 2
INFORMATIONAL = 200
BODILESS = frozenset((204, 304))
USER_TIMEOUT_MS = 3_000
# The upstream's own idle time, when it names none.
IDLE_MS = 8_000.0
IDLE_PART = 0.8


class ExchangeError(Exception):
    """An exchange broke.

    Attributes:
        sent: whether a byte of the request may have left.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclass(slots=True)
class Reply:
    """An upstream's answer.

    Attributes:
        headers: in order, names in lower case.
        body: all of it, or its beginning when there is more.
        rest: further pieces, None at the end, an error when it broke off.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    rest: asyncio.Queue[bytes | None | BodyError] | None = None
    fields: dict[str, str] = field(default_factory=dict)


class UpstreamConnection(asyncio.Protocol):
    """Speaks HTTP/1.1 to one upstream."""

    def __init__(self, id_header: str) -> None:
        self.id_header = id_header
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.waiter: asyncio.Future[Reply] | None = None
        self.identity = ""
        self.head_only = False
        self.sent = False
        self.usable = True
        self.foreign = 0
        self.idle_ms = IDLE_MS
        self.idle_since = 0.0
        self.headers: list[tuple[bytes, bytes]] = []
        self.pieces: list[bytes] = []
        self.size = 0
        self.reply: Reply | None = None
        self.skipping = False
        self.complete = False
        self.unframed = False

    # The transport's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long unacknowledged bytes may hang."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse; bytes that no request awaits end the connection."""
        if self.waiter is None and self.reply is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._fail(f"not an answer: {e!r}")

    def eof_received(self) -> None:
        """End an answer that has no length."""
        if self.unframed and not self.skipping and not self.complete:
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is under way."""
        self.usable = False
        reason = "reset" if exc is not None else "closed"
        self._fail(f"connection {reason}")

    # The exchange

    @property
    def is_open(self) -> bool:
        """Whether another exchange may begin."""
        return (
            self.usable
            and self.transport is not None
            and not self.transport.is_closing()
        )

    async def exchange(
        self, head: bytes, body: bytes, identity: str, head_only: bool
    ) -> Reply:
        """Send a request and wait for its answer.

        Args:
            head: request line and headers.
            body: all of it.
            identity: that the answer must echo; empty when none does.
            head_only: whether the answer has no body by its method.

        Raises:
            ExchangeError: when no answer came, with what is certain.
        """
        if not self.is_open or self.transport is None:
            raise ExchangeError("connection is closed", False)
        self.identity = identity
        self.head_only = head_only
        self.foreign = 0
        self.reply = None
        self._begin()
        self.parser = httptools.HttpResponseParser(self)
        self.waiter = asyncio.get_running_loop().create_future()
        self.sent = True
        self.transport.write(head + body if body else head)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.waiter = None

    def close(self) -> None:
        """Close; the upstream drops what it does for this connection."""
        self.usable = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    # The parser's side

    def on_message_begin(self) -> None:
        """Begin an answer; a second one is not ours."""
        if self.complete:
            self.usable = False
            self.skipping = True
            return
        self._begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self.complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide whether the answer is ours and how it ends."""
        status = self.parser.get_status_code()
        if self.complete or status < INFORMATIONAL:
            return
        fields = {
            n.decode("latin-1"): v.decode("latin-1") for n, v in self.headers
        }
        echoed = fields.get(self.id_header)
        if self.identity and echoed is not None and echoed != self.identity:
            self._skip()
            return
        self._learn_keeping(fields)
        self.reply = Reply(status, self.headers, fields=fields)
        if self.head_only or status in BODILESS:
            self.usable = self.usable and not self.head_only
            self._finish()
            return
        framed = "content-length" in fields or "transfer-encoding" in fields
        self.unframed = not framed
        if self.unframed:
            self.usable = False

    def on_body(self, data: bytes) -> None:
        """Collect the body, or pass it on when it is long."""
        if self.skipping or self.complete or self.reply is None:
            return
        if self.reply.rest is not None:
            self.reply.rest.put_nowait(data)
            self._press(self.reply.rest)
            return
        self.pieces.append(data)
        self.size += len(data)
        if self.size > WHOLE_MOST_BYTES:
            self.reply.rest = asyncio.Queue()
            self._deliver(self.reply)

    def on_message_complete(self) -> None:
        """End an answer."""
        if self.skipping:
            self.skipping = self.complete
            self._begin_next()
            return
        if self.reply is not None and not self.complete:
            self._finish()
        elif self.reply is None:
            self._begin_next()

    # Inside

    def _begin(self) -> None:
        self.headers = []
        self.pieces = []
        self.size = 0
        self.skipping = False
        self.complete = False
        self.unframed = False

    def _begin_next(self) -> None:
        if not self.complete:
            self.headers = []

    def _skip(self) -> None:
        """Let an answer to another request pass by."""
        self.skipping = True
        self.usable = False
        self.foreign += 1
        if self.foreign > FOREIGN_MOST:
            self._fail("answers to other requests")

    def _learn_keeping(self, fields: dict[str, str]) -> None:
        if fields.get("connection", "").lower() == "close":
            self.usable = False
        for part in fields.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.idle_ms = int(value) * 1000.0 * IDLE_PART

    def _finish(self) -> None:
        assert self.reply is not None
        self.complete = True
        reply = self.reply
        if reply.rest is not None:
            reply.rest.put_nowait(None)
        else:
            self._deliver(reply)

    def _deliver(self, reply: Reply) -> None:
        reply.body = b"".join(self.pieces)
        self.pieces = []
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(reply)

    def _fail(self, reason: str) -> None:
        self.usable = False
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(ExchangeError(reason, self.sent))
        elif self.reply and self.reply.rest and not self.complete:
            self.reply.rest.put_nowait(BodyError(reason))
        self.close()

    def _press(self, rest: asyncio.Queue[bytes | None | BodyError]) -> None:
        """Stop reading while the client is slower than the upstream."""
        if rest.qsize() > 16 and self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on after the client took what was there."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
