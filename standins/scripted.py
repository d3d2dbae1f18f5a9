"""An upstream that answers with the bytes that a test scripts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
import re

HEAD_END = b"\r\n\r\n"
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Heard:
    """A request as its bytes came in.

    Attributes:
        headers: names in lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Answer = Callable[[Heard, asyncio.StreamWriter], Awaitable[None]]


class ScriptedUpstream:
    """Listens on a free port and hands each request to a script."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.heard: list[Heard] = []
        self.connections = 0
        self.closed_early = 0
        self.address = ""

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        stack.callback(server.close)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                heard = await _read(reader)
                self.heard.append(heard)
                await self.answer(heard, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            self.closed_early += 1
        finally:
            writer.close()


async def _read(reader: asyncio.StreamReader) -> Heard:
    head = await reader.readuntil(HEAD_END)
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    found = LENGTH.search(head)
    body = await reader.readexactly(int(found[1])) if found else b""
    return Heard(method, target, headers, body)


def text(
    status: int, body: bytes, *lines: str, length: int | None = None
) -> bytes:
    """Return an answer's bytes.

    Args:
        status: of the answer.
        body: what is sent of the body.
        lines: further header lines.
        length: what the head says instead of the body's own length; -1 for
            no length at all.
    """
    said = len(body) if length is None else length
    head = [f"HTTP/1.1 {status} Scripted", *lines]
    if said >= 0:
        head.append(f"Content-Length: {said}")
    return "\r\n".join(head).encode() + HEAD_END + body
