"""A short play with a fixed seed, and seeds that once broke a promise."""

import pathlib
import tempfile
import unittest

from soak.play import play

SEED = 20261204
LENGTH_S = 5.0
# Each with what it found.
REGRESSIONS = ((1, "a reload while the program is loaded ended the host"),)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        for seed in (SEED, *(seed for seed, _ in REGRESSIONS)):
            with self.subTest(seed=seed):
                found = await play(seed, LENGTH_S, pathlib.Path(folder))
                self.assertEqual(found.broken, [], found.struck)
                self.assertGreater(found.ended[200], 0)


if __name__ == "__main__":
    unittest.main()
