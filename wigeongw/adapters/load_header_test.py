"""Tests that load headers are parsed completely or ignored."""

import unittest

from wigeongw.adapters.load_header import LoadFormat
from wigeongw.adapters.load_header import read_load
from wigeongw.ports.dialect import ResponseKind

EXCLUDES_ANSWERED = LoadFormat(
    "load", "cold", 1.0, includes_answered_request=False
)
INCLUDES_ANSWERED = LoadFormat(
    "load", "cold", 100.0, includes_answered_request=True
)


class ReadLoadTest(unittest.TestCase):
    def test_running_excludes_the_answered_request(self) -> None:
        cases = (
            (EXCLUDES_ANSWERED, ResponseKind.REQUEST, 3),
            (EXCLUDES_ANSWERED, ResponseKind.PROBE, 3),
            (INCLUDES_ANSWERED, ResponseKind.REQUEST, 2),
            (INCLUDES_ANSWERED, ResponseKind.PROBE, 3),
            (INCLUDES_ANSWERED, ResponseKind.REJECTED, 3),
        )
        for load_format, response_kind, running in cases:
            with self.subTest(
                load_format=load_format, response_kind=response_kind
            ):
                sample = read_load(
                    load_format,
                    {"load": "3,0,4,100"},
                    1.0,
                    True,
                    response_kind,
                )
                assert sample is not None
                self.assertEqual(sample.running, running)

    def test_reads_load_values(self) -> None:
        cases = (
            ({"load": "3,1,4,500"}, (3, 1, 4, 5.0, 0.0)),
            ({"load": "3,1,4"}, (3, 1, 4, 1.0, 0.0)),
            ({"load": "0,0,4,100", "cold": "900"}, (0, 0, 4, 1.0, 900.0)),
            ({"load": "0,0,4,100", "cold": "-5"}, (0, 0, 4, 1.0, 0.0)),
        )
        for headers, expected in cases:
            with self.subTest(headers=headers):
                sample = read_load(
                    INCLUDES_ANSWERED, headers, 1.0, True, ResponseKind.PROBE
                )
                assert sample is not None
                self.assertEqual(
                    (
                        sample.running,
                        sample.waiting,
                        sample.slots,
                        sample.slowdown,
                        sample.cold_left_ms,
                    ),
                    expected,
                )

    def test_only_probe_responses_set_cold_time(self) -> None:
        for response_kind in (ResponseKind.REQUEST, ResponseKind.REJECTED):
            with self.subTest(response_kind=response_kind):
                sample = read_load(
                    INCLUDES_ANSWERED,
                    {"load": "1,0,4,100"},
                    1.0,
                    True,
                    response_kind,
                )
                assert sample is not None
                self.assertIsNone(sample.cold_left_ms)

    def test_invalid_headers_yield_no_sample(self) -> None:
        cases: tuple[dict[str, str], ...] = (
            {},
            {"load": ""},
            {"load": "1,2"},
            {"load": "a,b,c"},
            {"load": "nan,0,4"},
            {"load": "1,0,inf"},
            {"load": "1,0,4,100", "cold": "nan"},
            {"load": "1,0,4,100", "cold": "soon"},
        )
        for headers in cases:
            with self.subTest(headers=headers):
                sample = read_load(
                    INCLUDES_ANSWERED, headers, 1.0, True, ResponseKind.PROBE
                )
                self.assertIsNone(sample)


if __name__ == "__main__":
    unittest.main()
