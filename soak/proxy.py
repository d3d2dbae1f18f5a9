"""A loopback proxy that delays, cuts, silences or resets connections."""

import asyncio
from contextlib import AsyncExitStack
import enum
import socket
import struct

PIECE_BYTES = 65_536
# Closing with it set sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class Link(enum.Enum):
    """What happens to bytes."""

    OPEN = "open"
    SLOW = "slow"
    SILENT = "silent"
    # Requests arrive, answers do not.
    ONE_WAY = "one_way"
    RESET = "reset"


class Proxy:
    """Stands before one address and passes bytes on, or does not."""

    def __init__(self, behind: str, delay_s: float = 0.15) -> None:
        self.behind = behind
        self.delay_s = delay_s
        self.link = Link.OPEN
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack closes."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        stack.callback(self._close_all)
        stack.callback(server.close)

    def set(self, link: Link) -> None:
        """Change what happens from now on, also to open connections."""
        self.link = link
        if link is Link.RESET:
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
            if self.link is Link.RESET:
                _reset(writer)
                return
            host, _, port = self.behind.partition(":")
            other_reader, other = await asyncio.open_connection(host, port)
            self.writers.add(other)
            try:
                await asyncio.gather(
                    self._pass(reader, other, answers=False),
                    self._pass(other_reader, writer, answers=True),
                )
            finally:
                self.writers.discard(other)
                other.close()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        while piece := await reader.read(PIECE_BYTES):
            if self.link is Link.SLOW:
                await asyncio.sleep(self.delay_s)
            cut = self.link is Link.ONE_WAY and answers
            if cut or self.link is Link.SILENT:
                continue
            writer.write(piece)
            await writer.drain()
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
