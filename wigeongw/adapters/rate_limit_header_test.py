"""Tests that rate limits are parsed, and that invalid values are refused."""

import unittest

from wigeongw.adapters.rate_limit_header import RateLimitHeaderError
from wigeongw.adapters.rate_limit_header import read_rate_limit

NAME = "limit"


def read(*values: bytes) -> float | None:
    headers = [(b"other", b"7"), *((b"limit", value) for value in values)]
    return read_rate_limit(NAME, headers)


class ReadRateLimitTest(unittest.TestCase):
    def test_reads_decimal_numbers(self) -> None:
        cases = (
            (b"1.2", 1.2),
            (b"10", 10.0),
            (b" 2.5 ", 2.5),
            (b"0", 0.0),
            (b".5", 0.5),
            (b"3.", 3.0),
        )
        for value, expected in cases:
            with self.subTest(value):
                self.assertEqual(read(value), expected)

    def test_response_without_the_header_names_no_limit(self) -> None:
        self.assertIsNone(read())

    def test_refuses_invalid_values(self) -> None:
        cases = (
            (b"",),
            (b"many",),
            (b"-1",),
            (b"+1",),
            (b"inf",),
            (b"nan",),
            (b"1e3",),
            (b"1_0",),
            (b"1,5",),
            (b"\xb2",),
            (b"9" * 400,),
            (b"1000001",),
            (b"1", b"1"),
            (b"1", b"2"),
        )
        for values in cases:
            with (
                self.subTest(values),
                self.assertRaises(RateLimitHeaderError),
            ):
                read(*values)


if __name__ == "__main__":
    unittest.main()
