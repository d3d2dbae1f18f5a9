"""Tests of the search in decision log lines."""

from collections.abc import Iterable
import pathlib
import tempfile
import unittest

from typer.testing import CliRunner

from wigeongw.commands import main
from wigeongw.commands.record_context import read_line


def printed(lines: Iterable[str], request: str) -> list[str]:
    """Return what the command prints of a request, without the times."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "log"
        path.write_text("\n".join(lines), encoding="utf-8")
        arguments = ["record", str(path), "--request", request]
        result = CliRunner().invoke(main.app, arguments)
    return [line.partition(" ")[2] for line in result.output.splitlines()]


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
                found = read_line(line)
                fields = found.fields if found else {}
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
        lines = (later, first, last, other, route)
        self.assertEqual(printed(lines, "a"), [last, route])

    def test_request_is_shown_with_the_faults_before_it(self) -> None:
        """The id of a request led to its own lines only."""
        at_ms = 1_000_000.0
        faults = (
            "store: at=1 host=h event=unreadable cause=servers/a",
            "store: at=2 host=h event=unreadable cause=servers/b",
            "host: at=990000 host=h event=task_failed task=Follower.run",
            "store: at=995000 host=h event=lost cause=TimeoutError()",
            "store: at=996000 host=h event=regained was_away=1",
        )
        others = (
            "store: at=1 host=i event=unreadable cause=servers/a",
            "store: at=900000 host=h event=history_lost",
            "relay: at=995000 host=h event=lost cause=TimeoutError()",
            "store: at=1000001 host=h event=lost cause=TimeoutError()",
            "store: at=oops host=h event=lost",
        )
        route = f"route: at={at_ms} host=h id=a status=503"
        lines = (*others, *faults, route)
        self.assertEqual(printed(lines, "a"), [*faults, route])


if __name__ == "__main__":
    unittest.main()
