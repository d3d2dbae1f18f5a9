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


def seen(number: int) -> Seen:
    sample = LoadSample(NOW - 20.0, 3, 1, 4, 5.25, 2_900.0, False)
    return Seen(number, 20.0, sample)


class SightingCodecTest(unittest.TestCase):
    def test_what_is_sent_is_what_is_heard(self) -> None:
        data = sighting_codec.encode(
            Sightings((seen(1), seen(2)), (Ended(3, 4, 5),), (Sent(6, 7.0),))
        )
        found = sighting_codec.decode(data, NOW)
        self.assertEqual(found.seen, (seen(1), seen(2)))
        self.assertEqual(found.ended, (Ended(3, 4, 5),))
        self.assertEqual(found.sent, (Sent(6, 7.0),))

    def test_a_datagram_fits_into_one_packet(self) -> None:
        many = Sightings(
            tuple(seen(n) for n in range(200)),
            tuple(Ended(n, 300, 300) for n in range(200)),
            tuple(Sent(n, 300.0) for n in range(200)),
        )
        self.assertLess(len(sighting_codec.encode(many)), 1_400)

    @seed(20261204)
    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_taken_or_refused(self, data: bytes) -> None:
        try:
            sighting_codec.decode(data, NOW)
        except SightingError:
            return


if __name__ == "__main__":
    unittest.main()
