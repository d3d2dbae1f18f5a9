"""Bounds what a connection receives, and what is read of it at a time.

Received bytes that nobody has read count as memory of the process. The system
lets them grow to megabytes a connection, so a crowd that sends while the
process is busy, or behind a request, would take its memory there. What has
been read must be counted and closed for when there is too much, which takes
until the next turn of the event loop; so little is read before a request asks.
"""

import asyncio
import contextlib
import socket
from typing import Any

from wigeongw.decisions.memory_ledger import MemoryLedger

# Socket option of a narrow and of a wide window. The system takes about twice
# the bytes, as it counts its own overhead.
NARROW_BYTES = 8 << 10
WIDE_BYTES = 64 << 10
# What may wait on a connection with each window, in bytes of memory.
NARROW_HELD_BYTES = 16 << 10
WIDE_HELD_BYTES = 128 << 10
# A read takes at most so much: of a head, of a body, and with a wide window.
HEAD_READ_BYTES = 4 << 10
BODY_READ_BYTES = 16 << 10
WIDE_READ_BYTES = 64 << 10


class ReceiveWindow:
    """What may wait on a client's connection, and what is read of it.

    Attributes:
        transport: the connection.
        ledger: counts wide windows.
        is_wide: whether more may wait than at first.
        is_body: whether a body is being received.
    """

    def __init__(
        self, transport: asyncio.Transport, ledger: MemoryLedger[Any]
    ) -> None:
        self.transport = transport
        self.ledger = ledger
        self.is_wide = False
        self.is_body = False
        read_at_most(transport, HEAD_READ_BYTES)

    def receive_body(self, owner: object, rest: int) -> None:
        """Read more at a time, and let more of a long body wait.

        Args:
            owner: whom the ledger counts a wide window for.
            rest: bytes that are likely to come.
        """
        if not self.is_wide and rest > WIDE_BYTES:
            self._widen(owner)
        if not self.is_body:
            self.is_body = True
            size = WIDE_READ_BYTES if self.is_wide else BODY_READ_BYTES
            read_at_most(self.transport, size)

    def end_body(self) -> None:
        """Read a head next."""
        if self.is_body:
            self.is_body = False
            read_at_most(self.transport, HEAD_READ_BYTES)

    def narrow(self, owner: object) -> None:
        """Let little wait while no request is in progress."""
        if self.is_wide and not self.transport.is_closing():
            self.is_wide = False
            narrow(self.transport.get_extra_info("socket"))
            self.ledger.release_window(owner)

    def _widen(self, owner: object) -> None:
        sock = self.transport.get_extra_info("socket")
        if sock and self.ledger.hold_window(owner, WIDE_HELD_BYTES):
            self.is_wide = True
            widen(sock)
            read_at_most(self.transport, WIDE_READ_BYTES)


def read_at_most(transport: asyncio.BaseTransport, size: int) -> None:
    """Bound a read; transports of asyncio allocate 256 KiB for each."""
    if hasattr(transport, "max_size"):
        transport.max_size = size


def narrow(sock: socket.socket) -> None:
    """Let little wait on a socket; before it connects or listens.

    Accepted connections have the window of their listener.
    """
    _set(sock, NARROW_BYTES)


def widen(sock: socket.socket) -> None:
    """Let more wait on an open connection, for a long body."""
    _set(sock, WIDE_BYTES)
    # The window of an accepted connection stays under that of its listener.
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, WIDE_BYTES
        )


def _set(sock: socket.socket, size: int) -> None:
    # Without the option the system's own bound holds.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
