"""The UDP socket of a host for messages to and from other hosts."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any
from typing import cast

from wigeongw.core.addresses import split_address
from wigeongw.core.metrics import Metrics

UdpAddress = tuple[str, int]
# Called with a datagram and the address of its sender.
DatagramHandler = Callable[[bytes, UdpAddress], None]


class PeerSocket(asyncio.DatagramProtocol):
    """Sends datagrams, and passes received ones on by their first byte.

    Attributes:
        transport: the open socket; None before it is open.
        handlers: by first byte of a datagram.
        default_handler: receives all other datagrams.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.transport: asyncio.DatagramTransport | None = None
        self.handlers: dict[int, DatagramHandler] = {}
        self.default_handler: DatagramHandler | None = None

    async def open(self, address: str, stack: AsyncExitStack) -> None:
        """Open the socket and register its closing with an exit stack.

        Raises:
            OSError: when the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )
        stack.callback(self.close)

    @property
    def is_open(self) -> bool:
        """Whether datagrams can be sent."""
        return self.transport is not None

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send(self, data: bytes, address: UdpAddress) -> None:
        """Send a datagram, if the socket is open."""
        if self.transport is not None:
            self.transport.sendto(data, address)

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Pass a datagram on."""
        kind = data[0] if data else -1
        handler = self.handlers.get(kind, self.default_handler)
        if handler is not None:
            handler(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Count datagrams that the network did not deliver."""
        self.metrics.count("sightings_unsent_total")
