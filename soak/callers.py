"""Callers that keep connections open until the process is gone."""

import asyncio
import random
import time

from clockworks.dialect import ClockworksDialect
from soak.records import Asked
from soak.records import Seen
from wigeongw.core.clock import MS_PER_S

NAMES = ClockworksDialect.names
PATIENCE_S = 3.0
CONNECT_S = 1.0
PAUSE_S = (0.005, 0.08)
# Sent by every caller; ways of the configuration in ``site``.
REQUESTS = (
    ("GET", "a.example", "/dial/hands"),
    ("POST", "b.example", "/adjust/strike"),
)
BODY = b"noon"


class Caller:
    """Sends one request after the other to one host after the other."""

    def __init__(
        self, name: str, fronts: dict[str, str], seen: Seen, seed: int
    ) -> None:
        self.name = name
        self.fronts = fronts
        self.seen = seen
        self.rng = random.Random(seed)
        self.sent = 0

    async def run(self) -> None:
        """Call for ever."""
        while True:
            host = self.rng.choice(sorted(self.fronts))
            address, _, port = self.fronts[host].partition(":")
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(
                        address, port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S[1])
                continue
            try:
                while await self._ask(host, reader, writer):  # noqa: ASYNC110
                    await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            finally:
                writer.close()

    async def _ask(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; say whether the connection can be used again."""
        self.sent += 1
        identity = f"{self.name}-{self.sent}"
        method, name, target = self.rng.choice(REQUESTS)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {name}",
            f"{NAMES.request_id}: {identity}",
            f"{NAMES.deadline_ms}: {PATIENCE_S * MS_PER_S:.0f}",
        ]
        body = BODY if method == "POST" else b""
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        began = time.monotonic()
        status, answer = 0, b""
        fields: dict[str, str] = {}
        try:
            async with asyncio.timeout(PATIENCE_S):
                writer.write(head + body)
                status, fields, answer = await _read(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        ended = time.monotonic()
        self.seen.asked.append(
            Asked(
                identity,
                host,
                method,
                target,
                began,
                ended,
                status,
                fields,
                answer,
            )
        )
        return bool(status) and fields.get("connection") != "close"


async def _read(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return int(first.split(" ")[1]), fields, await _chunks(reader)
    size = int(fields.get("content-length", "0"))
    return int(first.split(" ")[1]), fields, await reader.readexactly(size)


async def _chunks(reader: asyncio.StreamReader) -> bytes:
    found = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        found += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return found
