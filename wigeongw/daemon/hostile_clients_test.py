"""Clients that send without end leave the process of an entry host alone.

As for the platform's host; the crowd is small and the memory that the test
allows is that of a small machine. No test judges times.
"""

import asyncio
import contextlib
import pathlib
import unittest

from standins.site_case import SiteCase

MAX_MEMORY_BYTES = 120_000_000
CROWD_TIMEOUT_S = 25.0
CLIENTS = 12
PIECE_BYTES = 64 << 10
MB = 1_000_000
CHUNKED = (
    b"PUT /dial-watch/a HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
)
GET = b"GET /dial-watch/a HTTP/1.1\r\nHost: a\r\n\r\n"


def peak_memory_bytes(pid: int) -> int:
    """Return the most memory that a process has taken."""
    status = pathlib.Path(f"/proc/{pid}/status")
    lines = status.read_text(encoding="utf-8").splitlines()
    peak = next(line for line in lines if line.startswith("VmHWM"))
    return int(peak.split()[1]) * 1024


class HostileClientsTest(SiteCase):
    zones = ("amman",)

    async def flood(self, start: bytes, unit: bytes, size: int) -> None:
        """Send a start, then a unit again and again; read nothing."""
        host, _, port = self.site.address(self.hosts[0]).rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        piece = unit * (PIECE_BYTES // len(unit))
        with contextlib.suppress(OSError):
            writer.write(start)
            for _ in range(size // len(piece)):
                writer.write(piece)
                await writer.drain()
        writer.transport.abort()

    async def play(self, start: bytes, unit: bytes, size: int) -> None:
        """Let a crowd flood a host, and check the host then."""
        crowd = [
            asyncio.create_task(self.flood(start, unit, size))
            for _ in range(CLIENTS)
        ]
        _, pending = await asyncio.wait(crowd, timeout=CROWD_TIMEOUT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        process = self.site.processes[self.hosts[0]].process
        self.assertLess(peak_memory_bytes(process.pid), MAX_MEMORY_BYTES)
        answer, _, _ = await self.send(self.hosts[0], "GET", "/dial-watch/b")
        self.assertEqual(answer, 200)
        self.assertIsNone(process.returncode)

    async def test_trailers_without_end(self) -> None:
        await self.play(CHUNKED + b"0\r\n", b"a: b\r\n", 4 * MB)

    async def test_pipelines_that_are_not_read(self) -> None:
        await self.play(b"", GET, 4 * MB)


if __name__ == "__main__":
    unittest.main()
