"""Tests that load files are read completely or all problems are reported."""

import pathlib
import tempfile
import unittest

from wigeongw.model import load_file
from wigeongw.model.load_file import LoadFileError


class LoadFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "load.toml"

    def test_values_replace_the_defaults(self) -> None:
        self.path.write_text(
            "per_s = 240\nreturns = 1\n[machines]\nslow_share = 0.4\n"
        )
        found = load_file.read(self.path)
        self.assertEqual((found.per_s, found.returns), (240.0, 1))
        self.assertEqual(found.machines.slow_share, 0.4)
        self.assertEqual(found.machines.slots, 4)

    def test_every_problem_is_reported(self) -> None:
        cases = (
            ("per_s = 240\nper_sec = 3\n", ["per_sec: unknown key"]),
            ("hosts = 3\n", ["per_s: expected a number > 0"]),
            (
                "per_s = 'many'\n[machines]\nslots = -1\n",
                [
                    "per_s: expected a number >= 0",
                    "machines: slots: expected a number >= 0",
                    "per_s: expected a number > 0",
                ],
            ),
            (
                "per_s = 2\ntold = 1\nmachines = 3\n",
                [
                    "told: expected true or false",
                    "machines: expected a table",
                ],
            ),
        )
        for text, expected_lines in cases:
            with self.subTest(text=text):
                self.path.write_text(text)
                with self.assertRaises(LoadFileError) as caught:
                    load_file.read(self.path)
                lines = str(caught.exception).splitlines()
                self.assertEqual(
                    lines, [f"{self.path}: {line}" for line in expected_lines]
                )

    def test_files_that_cannot_be_read(self) -> None:
        for text in (None, "per_s ="):
            with self.subTest(text=text):
                if text is not None:
                    self.path.write_text(text)
                with self.assertRaises(LoadFileError):
                    load_file.read(self.path)


if __name__ == "__main__":
    unittest.main()
