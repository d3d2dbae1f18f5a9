"""A TCP proxy on loopback that delays, drops or resets connections."""

import asyncio
from contextlib import AsyncExitStack
import enum
import socket
import struct

READ_CHUNK_BYTES = 65_536
# SO_LINGER with a timeout of 0: closing the socket sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """What the proxy does with the bytes that it receives."""

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    # Requests are forwarded, responses are dropped.
    ONE_WAY = "one_way"
    RESET = "reset"


class Proxy:
    """Forwards bytes to and from one address, as its link state says.

    Attributes:
        backend_address: Address to which connections are forwarded.
        delay_s: Delay of each chunk while the link is slow, in seconds.
        state: Current state of the link.
        address: Address on which the proxy listens.
    """

    def __init__(self, backend_address: str, delay_s: float = 0.15) -> None:
        self.backend_address = backend_address
        self.delay_s = delay_s
        self.state = LinkState.OPEN
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack closes."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        stack.callback(self._close_all)
        stack.callback(server.close)

    def set_state(self, state: LinkState) -> None:
        """Change the state of the link, also for open connections."""
        self.state = state
        if state is LinkState.RESET:
            for writer in list(self.writers):
                _reset(writer)

    def _close_all(self) -> None:
        for writer in list(self.writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            if self.state is LinkState.RESET:
                _reset(writer)
                return
            host, _, port = self.backend_address.partition(":")
            backend_reader, backend_writer = await asyncio.open_connection(
                host, port
            )
            self.writers.add(backend_writer)
            try:
                await asyncio.gather(
                    self._forward(reader, backend_writer, is_response=False),
                    self._forward(backend_reader, writer, is_response=True),
                )
            finally:
                self.writers.discard(backend_writer)
                backend_writer.close()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        while chunk := await reader.read(READ_CHUNK_BYTES):
            if self.state is LinkState.SLOW:
                await asyncio.sleep(self.delay_s)
            is_dropped = self.state is LinkState.ONE_WAY and is_response
            if is_dropped or self.state is LinkState.SILENT:
                continue
            writer.write(chunk)
            await writer.drain()
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
