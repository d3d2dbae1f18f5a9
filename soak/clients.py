"""Clients that send requests over persistent connections."""

import asyncio
import random
import time

from clockworks.dialect import ClockworksDialect
from soak.run_history import ClientRequest
from soak.run_history import RunHistory
from wigeongw.core.clock import MS_PER_S

HEADER_NAMES = ClockworksDialect.names
REQUEST_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
PAUSE_RANGE_S = (0.005, 0.08)
# Method, authority and target; the configuration that ``soak.site`` publishes
# has a route for each.
REQUESTS = (
    ("GET", "a.example", "/dial/hands"),
    ("POST", "b.example", "/adjust/strike"),
)
BODY = b"noon"


class SoakClient:
    """Sends one request at a time over a persistent connection.

    Each new connection goes to a random host and is used until an exchange
    fails or the host closes it.
    """

    def __init__(
        self,
        name: str,
        host_addresses: dict[str, str],
        history: RunHistory,
        seed: int,
    ) -> None:
        self.name = name
        self.host_addresses = host_addresses
        self.history = history
        self.rng = random.Random(seed)
        self.sent_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            host = self.rng.choice(sorted(self.host_addresses))
            address, _, port = self.host_addresses[host].partition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        address, port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_RANGE_S[1])
                continue
            try:
                while await self._exchange(  # noqa: ASYNC110
                    host, reader, writer
                ):
                    await asyncio.sleep(self.rng.uniform(*PAUSE_RANGE_S))
            finally:
                writer.close()

    async def _exchange(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request and record it with its response.

        Returns:
            Whether the connection can be used again.
        """
        self.sent_count += 1
        request_id = f"{self.name}-{self.sent_count}"
        method, authority, target = self.rng.choice(REQUESTS)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {authority}",
            f"{HEADER_NAMES.request_id}: {request_id}",
            f"{HEADER_NAMES.deadline_ms}: {REQUEST_TIMEOUT_S * MS_PER_S:.0f}",
        ]
        body = BODY if method == "POST" else b""
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        sent_at = time.monotonic()
        status, response_body = 0, b""
        headers: dict[str, str] = {}
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                writer.write(head + body)
                status, headers, response_body = await _read_response(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        ended_at = time.monotonic()
        self.history.requests.append(
            ClientRequest(
                request_id,
                host,
                method,
                target,
                sent_at,
                ended_at,
                status,
                headers,
                response_body,
            )
        )
        return bool(status) and headers.get("connection") != "close"


async def _read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return (
            int(status_line.split(" ")[1]),
            headers,
            await _read_chunked_body(reader),
        )
    size = int(headers.get("content-length", "0"))
    return (
        int(status_line.split(" ")[1]),
        headers,
        await reader.readexactly(size),
    )


async def _read_chunked_body(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body
