"""Tests of downloads that are longer than what is buffered."""

import unittest

from standins.scripted_upstream import response_bytes
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import SIGNATURE_HEADER

CHUNK_BYTES = 1_024
ORDERS = 12


def chunked(body: bytes) -> bytes:
    """Return a response in small chunks."""
    head = response_bytes(
        200,
        b"",
        SIGNATURE_HEADER,
        "Transfer-Encoding: chunked",
        length=-1,
    )
    chunks = [
        f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
        for piece in (
            body[start : start + CHUNK_BYTES]
            for start in range(0, len(body), CHUNK_BYTES)
        )
    ]
    return head + b"".join(chunks) + b"0\r\n\r\n"


class LongDownloadTest(HostCase):
    async def test_answer_after_a_long_download_is_read(self) -> None:
        """Clients got 504 although their requests had run."""
        await self.publish_all()
        for size in (1_200_000, 2_000_000, 5_000_000):
            with self.subTest(size=size):
                body = b"x" * size
                for upstream in self.upstreams:
                    upstream.script = [chunked(body)]
                for number in range(4):
                    _, received, _ = await self.send(
                        "/fetch/x", request_id=f"f{size}-{number}"
                    )
                    self.assertEqual(len(received), size)
                for upstream in self.upstreams:
                    upstream.script = [b"DONE"]
                for number in range(ORDERS):
                    status, _, _ = await self.send(
                        "/write/x", "POST", request_id=f"w{size}-{number}"
                    )
                    self.assertEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
