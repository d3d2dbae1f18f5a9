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
# A read takes at most so much of a client, with a wide window, and of an
# upstream.
NARROW_READ_BYTES = 4 << 10
WIDE_READ_BYTES = 64 << 10
UPSTREAM_READ_BYTES = 16 << 10


class ReceiveWindow:
    """What may wait on a client's connection, and what is read of it.

    Attributes:
        transport: the connection.
        ledger: counts wide windows.
        is_wide: whether more may wait than at first.
    """

    def __init__(
        self, transport: asyncio.Transport, ledger: MemoryLedger[Any]
    ) -> None:
        self.transport = transport
        self.ledger = ledger
        self.is_wide = False
        read_at_most(transport, NARROW_READ_BYTES)

    def receive_body(self, owner: object, rest: int) -> None:
        """Let more of a long body wait and be read, if there is room.

        Args:
            owner: whom the ledger counts a wide window for.
            rest: bytes that are likely to come.
        """
        if self.is_wide or rest <= WIDE_BYTES:
            return
        sock = self.transport.get_extra_info("socket")
        if sock and self.ledger.hold_window(owner, WIDE_HELD_BYTES):
            self.is_wide = True
            widen(sock)
            read_at_most(self.transport, WIDE_READ_BYTES)

    def narrow(self, owner: object) -> None:
        """Let little wait while no request is in progress."""
        if self.is_wide and not self.transport.is_closing():
            self.is_wide = False
            narrow(self.transport.get_extra_info("socket"))
            read_at_most(self.transport, NARROW_READ_BYTES)
            self.ledger.release_window(owner)


def read_at_most(transport: asyncio.BaseTransport, size: int) -> None:
    """Bound a read of a transport of asyncio, which else allocates 256 KiB.

    Those of uvloop read into one buffer that all share.
    """
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
