"""Asks and tells the system about the socket of a transport."""

import asyncio
import select
import socket


def limit_unacknowledged(
    transport: asyncio.BaseTransport, limit_ms: int
) -> None:
    """End the connection when sent bytes stay unacknowledged for so long."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes or an end have arrived that were not read yet."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
