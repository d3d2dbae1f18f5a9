"""Heads of requests are read strictly where callers could be confused."""

import unittest

from wigeongw.adapters.own_dialect import OwnDialect
from wigeongw.core.site import ClientLimits
from wigeongw.gateway import request_head
from wigeongw.gateway.errors import RequestError
from wigeongw.gateway.request_head import RequestHead

NAMES = OwnDialect.names
HOST = (b"host", b"a.example")
DEADLINE = NAMES.deadline_ms.encode()


def read(*headers: tuple[bytes, bytes]) -> RequestHead:
    limits = ClientLimits(body_bytes=1_000)
    return request_head.read_head(list(headers), NAMES, limits)


class ReadHeadTest(unittest.TestCase):
    def test_refused_heads(self) -> None:
        length = b"content-length"
        cases = (
            (400, ()),
            (400, (HOST, HOST)),
            (400, (HOST, (length, b"-1"))),
            (400, (HOST, (length, b"1"), (length, b"2"))),
            (400, (HOST, (length, b"1"), (b"transfer-encoding", b"chunked"))),
            (413, (HOST, (length, b"1001"))),
        )
        for status, headers in cases:
            with self.subTest(headers=headers):
                with self.assertRaises(RequestError) as caught:
                    read(*headers)
                self.assertEqual(caught.exception.status, status)

    def test_lengths(self) -> None:
        chunked = (b"transfer-encoding", b"chunked")
        self.assertEqual(read(HOST).length, 0)
        self.assertEqual(read(HOST, (b"content-length", b"5")).length, 5)
        self.assertIsNone(read(HOST, chunked).length)

    def test_time_limits(self) -> None:
        cases = ((b"250", 250.0), (b"0.5", 0.5), (b"0", None), (b"x", None))
        for text, wanted in cases:
            with self.subTest(text=text):
                found = read(HOST, (DEADLINE, text)).deadline_ms
                self.assertEqual(found, wanted)
        self.assertIsNone(read(HOST).deadline_ms)

    def test_what_concerns_one_connection_is_not_passed_on(self) -> None:
        found = read(
            HOST,
            (b"connection", b"close, X-Mine"),
            (b"x-mine", b"1"),
            (b"x-theirs", b"2"),
            (DEADLINE, b"250"),
        )
        names = [name for name, _ in found.headers]
        self.assertEqual(names, [b"host", b"x-theirs"])


if __name__ == "__main__":
    unittest.main()
