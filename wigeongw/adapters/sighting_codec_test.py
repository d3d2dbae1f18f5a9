"""Tests of the encoding and the size of datagrams."""

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from wigeongw.adapters import sighting_codec
from wigeongw.adapters.sighting_codec import Ended
from wigeongw.adapters.sighting_codec import Seen
from wigeongw.adapters.sighting_codec import Sent
from wigeongw.adapters.sighting_codec import SightingError
from wigeongw.adapters.sighting_codec import Sightings
from wigeongw.core.site import LoadSample

NOW = 50_000.0


def seen_record(number: int) -> Seen:
    sample = LoadSample(NOW - 20.0, 3, 1, 4, 5.25, 2_900.0, False)
    return Seen(number, 20.0, sample)


class SightingCodecTest(unittest.TestCase):
    def test_decode_restores_records(self) -> None:
        data = sighting_codec.encode(
            Sightings(
                (seen_record(1), seen_record(2)),
                (Ended(3, 4, 5),),
                (Sent(6, 7.0),),
            )
        )
        decoded = sighting_codec.decode(data, NOW)
        self.assertEqual(decoded.seen, (seen_record(1), seen_record(2)))
        self.assertEqual(decoded.ended, (Ended(3, 4, 5),))
        self.assertEqual(decoded.sent, (Sent(6, 7.0),))

    def test_datagram_fits_into_one_packet(self) -> None:
        oversized = Sightings(
            tuple(seen_record(n) for n in range(200)),
            tuple(Ended(n, 300, 300) for n in range(200)),
            tuple(Sent(n, 300.0) for n in range(200)),
        )
        self.assertLess(len(sighting_codec.encode(oversized)), 1_400)

    @seed(20261204)
    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_decode_accepts_or_rejects_any_bytes(self, data: bytes) -> None:
        try:
            sighting_codec.decode(data, NOW)
        except SightingError:
            return


if __name__ == "__main__":
    unittest.main()
