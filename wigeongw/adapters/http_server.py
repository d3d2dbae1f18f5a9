"""Runs ASGI applications on uvicorn inside a running event loop.

The protocol class adds what a server without a balancer before it needs: a
limit on the size of a request's head and on the time it may take.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Generator
import contextlib
import logging
import socket
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from wigeongw.core.addresses import split_address
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.site import ClientLimits

KEEP_ALIVE_S = 75
# Idle connections are closed a little later than clients are told.
IDLE_SLACK_MS = 500.0
BACKLOG = 2048
# The request target as the client sent it, which a path and a query cannot
# always be put together to.
TARGET = "wigeongw.target"
TOO_LARGE = "The head of the request is too large"


class BoundedProtocol(HttpToolsProtocol):
    """HTTP/1.1 with bounds on the head of a request.

    Attributes:
        limits_of: returns what clients may send now.
    """

    limits_of: Callable[[], ClientLimits] = ClientLimits
    head_bytes = 0
    in_head = True
    head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begin to time the first head."""
        super().connection_made(transport)
        limits = type(self).limits_of()
        idle_ms = limits.idle_ms + IDLE_SLACK_MS
        self.timeout_keep_alive = int(-(-idle_ms // MS_PER_S))
        self._time_head(limits.head_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop timing."""
        self._stop_timing()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse, and count what belongs to a head."""
        super().data_received(data)
        if not self.in_head:
            return
        self.head_bytes += len(data)
        if self.head_bytes > type(self).limits_of().head_bytes:
            self._refuse()

    def on_message_begin(self) -> None:
        """Begin to count and time a head."""
        self.in_head = True
        self.head_bytes = 0
        if self.head_timer is None:
            self._time_head(type(self).limits_of().head_ms)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check the size that whole headers add up to."""
        self._stop_timing()
        self.in_head = False
        size = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size > type(self).limits_of().head_bytes:
            self._refuse()
            return
        self.scope["extensions"] = {TARGET: {"raw": self.url}}
        super().on_headers_complete()

    def _refuse(self) -> None:
        if self.transport.is_closing():
            return
        body = TOO_LARGE.encode()
        self.transport.write(
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
            b"content-type: text/plain; charset=utf-8\r\n"
            b"wigeongw-outcome: not-run\r\n"
            b"content-length: " + str(len(body)).encode() + b"\r\n"
            b"connection: close\r\n\r\n" + body
        )
        self.transport.close()

    def _time_head(self, most_ms: float) -> None:
        self.head_timer = self.loop.call_later(
            seconds(most_ms), self._head_too_slow
        )

    def _stop_timing(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _head_too_slow(self) -> None:
        self.head_timer = None
        if not self.transport.is_closing():
            self.transport.close()


class EmbeddedServer(uvicorn.Server):
    """A server that leaves signals to the program around it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Capture nothing."""
        yield


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Raises:
        OSError: when the address cannot be had.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return ``ip:port`` of a bound socket."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def bounded_by(
    limits_of: Callable[[], ClientLimits],
) -> type[BoundedProtocol]:
    """Return the protocol with limits that may change while it runs."""

    class Bounded(BoundedProtocol):
        """HTTP/1.1 within the limits in force."""

    Bounded.limits_of = staticmethod(limits_of)
    return Bounded


def build(
    app: Any, protocol: type[BoundedProtocol] = BoundedProtocol
) -> EmbeddedServer:
    """Build a server for an ASGI application."""
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL + 1)
    config = uvicorn.Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        date_header=False,
        server_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        backlog=BACKLOG,
    )
    return EmbeddedServer(config)
