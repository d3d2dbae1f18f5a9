"""Tests of the encoding and the size of datagrams."""

from dataclasses import replace
import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from wigeongw.adapters import observation_codec
from wigeongw.adapters.observation_codec import EndedRequests
from wigeongw.adapters.observation_codec import LimitedUpstream
from wigeongw.adapters.observation_codec import ObservationError
from wigeongw.adapters.observation_codec import Observations
from wigeongw.adapters.observation_codec import SeenLoad
from wigeongw.adapters.observation_codec import SentRequest
from wigeongw.core.site import LoadSample

NOW = 50_000.0


def seen_record(number: int) -> SeenLoad:
    sample = LoadSample(NOW - 20.0, 3, 1, 4, 5.25, 2_900.0, False)
    return SeenLoad(number, 20.0, sample)


class ObservationCodecTest(unittest.TestCase):
    def test_decode_restores_records(self) -> None:
        data = observation_codec.encode(
            Observations(
                (seen_record(1), seen_record(2)),
                (EndedRequests(3, 4, 5),),
                (SentRequest(6, 7.0),),
                limited=(LimitedUpstream(8, 1.2, 30.0),),
            )
        )
        decoded = observation_codec.decode(data, NOW)
        self.assertEqual(decoded.seen, (seen_record(1), seen_record(2)))
        self.assertEqual(decoded.ended, (EndedRequests(3, 4, 5),))
        self.assertEqual(decoded.sent, (SentRequest(6, 7.0),))
        self.assertEqual(decoded.limited, (LimitedUpstream(8, 1.2, 30.0),))

    def test_hosts_without_rate_limits_read_the_other_records(self) -> None:
        without = Observations((seen_record(1),), (), (SentRequest(6, 7.0),))
        limited = (LimitedUpstream(8, 1.2, 30.0),)
        data = observation_codec.encode(without)
        longer = observation_codec.encode(replace(without, limited=limited))
        self.assertEqual(longer[: len(data)], data)
        self.assertEqual(observation_codec.decode(data, NOW), without)

    def test_datagram_fits_into_one_packet(self) -> None:
        oversized = Observations(
            tuple(seen_record(n) for n in range(200)),
            tuple(EndedRequests(n, 300, 300) for n in range(200)),
            tuple(SentRequest(n, 300.0) for n in range(200)),
            limited=tuple(LimitedUpstream(n, 9.0, 3e5) for n in range(200)),
        )
        self.assertLess(len(observation_codec.encode(oversized)), 1_400)

    @seed(20261204)
    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_decode_accepts_or_rejects_any_bytes(self, data: bytes) -> None:
        try:
            observation_codec.decode(data, NOW)
        except ObservationError:
            return


if __name__ == "__main__":
    unittest.main()
