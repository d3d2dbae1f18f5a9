"""Runs ASGI applications on uvicorn inside a running event loop.

The protocol class limits the size of a request's head and the time to receive
it, which uvicorn leaves to a load balancer in front of the server. The head
is the request line and the headers.
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

KEEP_ALIVE_TIMEOUT_S = 75
# Idle connections are closed this much later than clients are told.
IDLE_TIMEOUT_MARGIN_MS = 500.0
LISTEN_BACKLOG = 2048
# ASGI scope extension with the request target as the client sent it. The
# scope's path and query cannot always be joined to the same bytes.
RAW_TARGET_EXTENSION = "wigeongw.target"
HEAD_TOO_LARGE = "The head of the request is too large"


class LimitedProtocol(HttpToolsProtocol):
    """HTTP/1.1 protocol with limits on the head of a request.

    Attributes:
        get_limits: returns the limits in force.
        received_head_bytes: bytes received since the current head began.
        is_reading_head: whether the head of a request is incomplete.
        head_timer: closes the connection when the head takes too long.
        write_timer: ends the connection when the client reads nothing of what
            waits for it.
    """

    get_limits: Callable[[], ClientLimits] = ClientLimits
    received_head_bytes = 0
    is_reading_head = True
    head_timer: asyncio.TimerHandle | None = None
    write_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Set the idle timeout and start the timer of the first head."""
        super().connection_made(transport)
        limits = type(self).get_limits()
        idle_ms = limits.idle_ms + IDLE_TIMEOUT_MARGIN_MS
        self.timeout_keep_alive = int(-(-idle_ms // MS_PER_S))
        self._start_head_timer(limits.head_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers."""
        self._cancel_head_timer()
        self._cancel_write_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Start the timer of a client that does not read."""
        super().pause_writing()
        self._cancel_write_timer()
        limits = type(self).get_limits()
        self.write_timer = self.loop.call_later(
            seconds(limits.idle_ms), self._on_write_timeout
        )

    def resume_writing(self) -> None:
        """Cancel the timer of a client that does not read."""
        self._cancel_write_timer()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse data and reject a head that exceeds the size limit."""
        super().data_received(data)
        if not self.is_reading_head:
            return
        self.received_head_bytes += len(data)
        if self.received_head_bytes > type(self).get_limits().head_bytes:
            self._reject_oversized_head()

    def on_message_begin(self) -> None:
        """Reset the size of the head and start its timer."""
        self.is_reading_head = True
        self.received_head_bytes = 0
        if self.head_timer is None:
            self._start_head_timer(type(self).get_limits().head_ms)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check the head's total size and pass the raw target on."""
        self._cancel_head_timer()
        self.is_reading_head = False
        size = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        if size > type(self).get_limits().head_bytes:
            self._reject_oversized_head()
            return
        self.scope["extensions"] = {RAW_TARGET_EXTENSION: {"raw": self.url}}
        super().on_headers_complete()

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
        if not self.transport.is_closing():
            self.transport.close()


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the application."""

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Args:
        address: ``ip:port``; port 0 picks a free port.

    Raises:
        OSError: if the address is in use or not available.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> str:
    """Return the ``ip:port`` that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def limited_protocol(
    get_limits: Callable[[], ClientLimits],
) -> type[LimitedProtocol]:
    """Return a protocol class whose limits may change at run time.

    Args:
        get_limits: returns the limits in force; called for each request.
    """

    class ConfiguredProtocol(LimitedProtocol):
        """HTTP/1.1 protocol within the limits in force."""

    ConfiguredProtocol.get_limits = staticmethod(get_limits)
    return ConfiguredProtocol


def build(
    app: Any, protocol: type[LimitedProtocol] = LimitedProtocol
) -> EmbeddedServer:
    """Build a server for an ASGI application.

    Args:
        app: the ASGI application.
        protocol: the class that handles connections.
    """
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
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        backlog=LISTEN_BACKLOG,
    )
    return EmbeddedServer(config)
