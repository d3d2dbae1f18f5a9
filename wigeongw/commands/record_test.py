"""Lines of all parts are found, wherever they were collected."""

import unittest

from wigeongw.commands import record


class ParseTest(unittest.TestCase):
    def test_lines(self) -> None:
        cases: tuple[tuple[str, dict[str, str]], ...] = (
            ("route: at=5.0 id=a to=x", {"at": "5.0", "id": "a", "to": "x"}),
            ("refuse: at=5 id=a reason=all_full", {"reason": "all_full"}),
            ("again: at=5 id=a reason=over_budget", {"id": "a"}),
            ("  21.87 entry-1 route: at=5 id=a", {"at": "5", "id": "a"}),
            ("Listening: at last", {}),
            ("something else", {}),
            ("", {}),
        )
        for line, wanted in cases:
            with self.subTest(line=line):
                found = record.parse(line)
                self.assertEqual({k: found.get(k) for k in wanted}, wanted)
                self.assertEqual(bool(found), bool(wanted))


if __name__ == "__main__":
    unittest.main()
