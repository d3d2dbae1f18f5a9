"""Each promise is broken by what should break it, and by nothing else."""

from dataclasses import replace
import unittest

from soak import promises
from soak.records import Asked
from soak.records import Run
from soak.records import Seen
from soak.records import Trouble

SIGNED = {promises.SIGNATURE: "s"}
RUN = Run("a-1", "u", "desk", "/adjust/strike", b"whole", 10.0)
ASKED = Asked(
    "a-1", "h", "POST", "/adjust/strike", 10.0, 10.1, 200, SIGNED, b"whole"
)
KILL = Trouble("kill h", "h", False, 9.0, 9.5)


class PromisesTest(unittest.TestCase):
    def test_what_is_well_breaks_nothing(self) -> None:
        cases = (
            Seen([RUN], [ASKED]),
            Seen([], [replace(ASKED, status=503, body=b"")]),
            Seen([RUN], [replace(ASKED, status=502, body=b"")]),
            Seen([RUN], [replace(ASKED, status=0)], [KILL]),
            Seen([], [replace(ASKED, status=0)]),
        )
        for number, seen in enumerate(cases):
            with self.subTest(case=number):
                self.assertEqual(promises.check(seen), [])

    def test_each_promise(self) -> None:
        get = replace(ASKED, method="GET")
        other = replace(KILL, host="other")
        cases: tuple[tuple[str, list[Run], Asked, list[Trouble]], ...] = (
            ("at most once", [RUN, RUN], ASKED, []),
            ("not run is true", [RUN], replace(ASKED, status=503), []),
            ("whole and", [RUN], replace(ASKED, body=b"who"), []),
            ("whole and", [], ASKED, []),
            ("whole and", [RUN], replace(ASKED, fields={}), []),
            ("only what", [replace(RUN, target="/x")], ASKED, []),
            ("attempts", [RUN] * 3, get, []),
            ("in time", [RUN], replace(ASKED, ended=12.0), []),
            ("in time", [RUN], replace(ASKED, ended=12.0), [other]),
            ("nothing lost", [RUN], replace(ASKED, status=0), []),
        )
        for name, runs, asked, troubles in cases:
            with self.subTest(name=name):
                found = promises.check(Seen(runs, [asked], troubles))
                self.assertEqual(len(found), 1, found)
                self.assertTrue(found[0].startswith(name), found)


if __name__ == "__main__":
    unittest.main()
