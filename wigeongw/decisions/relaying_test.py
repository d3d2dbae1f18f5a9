"""Relays are few, and enough that none serves too many hosts."""

import unittest

from wigeongw.decisions import relaying


class RelaysTest(unittest.TestCase):
    def test_how_many(self) -> None:
        for hosts, relays in ((0, 0), (1, 1), (12, 1), (17, 1), (138, 5)):
            with self.subTest(hosts=hosts):
                names = [f"host-{n}" for n in range(hosts)]
                self.assertEqual(len(relaying.relays(names)), relays)

    def test_a_host_that_leaves_moves_few(self) -> None:
        names = [f"host-{n}" for n in range(138)]
        before = relaying.relays(names)
        names.remove(before[0])
        self.assertEqual(relaying.relays(names)[:4], before[1:])


if __name__ == "__main__":
    unittest.main()
