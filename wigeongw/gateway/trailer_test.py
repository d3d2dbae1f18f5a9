"""Tests of the trailers of a client's chunked request."""

import asyncio
import unittest

from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import TIMEOUT_S

HEAD = b"POST /write/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: "
CHUNKED_REQUEST = HEAD + b"chunked\r\n\r\n1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n"
ARRIVALS = {
    "with its head": (CHUNKED_REQUEST,),
    "after its body": (CHUNKED_REQUEST[:-13], CHUNKED_REQUEST[-13:]),
}


class TrailerTest(HostCase):
    async def test_trailers_are_passed_on_as_headers(self) -> None:
        """Seen where they arrive together with the head of their request."""
        await self.publish_all()
        for name, pieces in ARRIVALS.items():
            with self.subTest(name):
                status = await self._send(pieces)
                self.assertIn(b" 200 ", status)
                received = [r for u in self.upstreams for r in u.ran]
                self.assertNotIn("x-late", received[-1].headers)

    async def _send(self, pieces: tuple[bytes, ...]) -> bytes:
        """Send a request in pieces and return the status line."""
        address, _, port = self.host.state.host_config.front.rpartition(":")
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address, int(port))
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.05)
            status = await reader.readline()
            writer.close()
        return status


if __name__ == "__main__":
    unittest.main()
