"""Bounds what the system receives on a connection before it is read.

Received bytes that nobody has read count as memory of the process. The system
lets them grow to megabytes a connection, so a crowd that sends while the
process is busy, or behind a request, would take its memory there.
"""

import contextlib
import socket

# Socket option of a narrow and of a wide window. The system takes about twice
# the bytes, as it counts its own overhead.
NARROW_BYTES = 8 << 10
WIDE_BYTES = 64 << 10
# What may wait on a connection with each window, in bytes of memory.
NARROW_HELD_BYTES = 16 << 10
WIDE_HELD_BYTES = 128 << 10


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
