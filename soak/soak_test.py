"""A short run with a fixed seed, and seeds that once broke an invariant."""

import pathlib
import tempfile
import unittest

from soak.seed_run import run_seed

SEED = 20261204
DURATION_S = 5.0
# Each seed with the fault that it found.
REGRESSIONS = ((1, "a reload while the program is loaded ended the host"),)


class RunSeedTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_invariant_is_violated(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        for seed in (SEED, *(seed for seed, _ in REGRESSIONS)):
            with self.subTest(seed=seed):
                result = await run_seed(seed, DURATION_S, pathlib.Path(folder))
                self.assertEqual(result.violations, [], result.fault_names)
                self.assertGreater(result.status_counts[200], 0)


if __name__ == "__main__":
    unittest.main()
