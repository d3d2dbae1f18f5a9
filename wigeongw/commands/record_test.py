"""Tests of the search in decision log lines."""

import pathlib
import tempfile
import unittest

from typer.testing import CliRunner

from wigeongw.commands import main
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


class RecordCommandTest(unittest.TestCase):
    def test_request_is_shown_with_the_return_of_the_store_before_it(
        self,
    ) -> None:
        first = "view: at=10 host=h event=era era=2 keeps_revision=0"
        last = "view: at=20 host=h event=era era=3 keeps_revision=1"
        other = "view: at=25 host=i event=era era=3 keeps_revision=0"
        route = "route: at=30 host=h id=a era=3 position=7"
        later = "view: at=40 host=h event=era era=4 keeps_revision=0"
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            lines = (later, first, last, other, route)
            path.write_text("\n".join(lines), encoding="utf-8")
            arguments = ["record", str(path), "--request", "a"]
            result = CliRunner().invoke(main.app, arguments)
        found = [line.partition(" ")[2] for line in result.output.splitlines()]
        self.assertEqual(found, [last, route])


if __name__ == "__main__":
    unittest.main()
