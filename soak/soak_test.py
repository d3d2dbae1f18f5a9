"""A short play with a fixed seed."""

import pathlib
import tempfile
import unittest

from soak.play import play

SEED = 20261204
LENGTH_S = 5.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        found = await play(SEED, LENGTH_S, pathlib.Path(folder))
        self.assertEqual(found.broken, [], found.struck)
        self.assertGreater(found.ended[200], 0)


if __name__ == "__main__":
    unittest.main()
