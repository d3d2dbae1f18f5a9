"""Tests the number of relays and how few change when a host leaves."""

import unittest

from wigeongw.decisions import relay_selection


class RelaysTest(unittest.TestCase):
    def test_number_of_relays(self) -> None:
        for hosts, expected_count in (
            (0, 0),
            (1, 1),
            (12, 1),
            (17, 1),
            (138, 5),
        ):
            with self.subTest(hosts=hosts):
                names = [f"host-{n}" for n in range(hosts)]
                self.assertEqual(
                    len(relay_selection.relays(names)), expected_count
                )

    def test_other_relays_stay_when_a_relay_leaves(self) -> None:
        names = [f"host-{n}" for n in range(138)]
        before = relay_selection.relays(names)
        names.remove(before[0])
        self.assertEqual(relay_selection.relays(names)[:4], before[1:])


if __name__ == "__main__":
    unittest.main()
