"""Tests that ambiguous or oversized request heads are rejected."""

import unittest

from wigeongw.adapters.native_dialect import NativeDialect
from wigeongw.core.site import ClientLimits
from wigeongw.gateway import request_head
from wigeongw.gateway.errors import RequestError
from wigeongw.gateway.request_head import RequestHead

NAMES = NativeDialect.names
HOST_HEADER = (b"host", b"a.example")
DEADLINE_HEADER = NAMES.deadline_ms.encode()


def read_head(*headers: tuple[bytes, bytes]) -> RequestHead:
    limits = ClientLimits(body_bytes=1_000)
    return request_head.read_head(list(headers), NAMES, limits)


class ReadHeadTest(unittest.TestCase):
    def test_contradictory_or_oversized_heads_are_rejected(self) -> None:
        length = b"content-length"
        cases = (
            (400, ()),
            (400, (HOST_HEADER, HOST_HEADER)),
            (400, (HOST_HEADER, (length, b"-1"))),
            (400, (HOST_HEADER, (length, b"1"), (length, b"2"))),
            (
                400,
                (
                    HOST_HEADER,
                    (length, b"1"),
                    (b"transfer-encoding", b"chunked"),
                ),
            ),
            (413, (HOST_HEADER, (length, b"1001"))),
        )
        for status, headers in cases:
            with self.subTest(headers=headers):
                with self.assertRaises(RequestError) as caught:
                    read_head(*headers)
                self.assertEqual(caught.exception.status, status)

    def test_body_lengths(self) -> None:
        chunked = (b"transfer-encoding", b"chunked")
        self.assertEqual(read_head(HOST_HEADER).length, 0)
        self.assertEqual(
            read_head(HOST_HEADER, (b"content-length", b"5")).length, 5
        )
        self.assertIsNone(read_head(HOST_HEADER, chunked).length)

    def test_deadlines(self) -> None:
        cases = ((b"250", 250.0), (b"0.5", 0.5), (b"0", None), (b"x", None))
        for text, expected in cases:
            with self.subTest(text=text):
                deadline_ms = read_head(
                    HOST_HEADER, (DEADLINE_HEADER, text)
                ).deadline_ms
                self.assertEqual(deadline_ms, expected)
        self.assertIsNone(read_head(HOST_HEADER).deadline_ms)

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        head = read_head(
            HOST_HEADER,
            (b"connection", b"close, X-Mine"),
            (b"x-mine", b"1"),
            (b"x-theirs", b"2"),
            (DEADLINE_HEADER, b"250"),
        )
        names = [name for name, _ in head.headers]
        self.assertEqual(names, [b"host", b"x-theirs"])


if __name__ == "__main__":
    unittest.main()
