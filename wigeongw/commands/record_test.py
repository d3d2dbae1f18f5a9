"""Tests of the parser for decision log lines."""

import unittest

from wigeongw.commands import record


class ParseTest(unittest.TestCase):
    def test_decision_lines_with_and_without_collector_prefix(self) -> None:
        cases: tuple[tuple[str, dict[str, str]], ...] = (
            ("route: at=5.0 id=a to=x", {"at": "5.0", "id": "a", "to": "x"}),
            ("refuse: at=5 id=a reason=all_full", {"reason": "all_full"}),
            ("again: at=5 id=a reason=over_budget", {"id": "a"}),
            ("  21.87 entry-1 route: at=5 id=a", {"at": "5", "id": "a"}),
            ("Listening: at last", {}),
            ("something else", {}),
            ("", {}),
        )
        for line, expected in cases:
            with self.subTest(line=line):
                fields = record.parse(line)
                self.assertEqual(
                    {k: fields.get(k) for k in expected}, expected
                )
                self.assertEqual(bool(fields), bool(expected))


if __name__ == "__main__":
    unittest.main()
