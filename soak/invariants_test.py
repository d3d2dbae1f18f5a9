"""Each invariant reports its violations and nothing else."""

from dataclasses import replace
import unittest

from soak import invariants
from soak.run_history import ClientRequest
from soak.run_history import Disturbance
from soak.run_history import Execution
from soak.run_history import NamedLimit
from soak.run_history import RunHistory

SIGNED = {invariants.SIGNATURE: "s"}
EXECUTION = Execution("a-1", "u", "desk", "/adjust/strike", b"whole", 10.0)
REQUEST = ClientRequest(
    "a-1", "h", "POST", "/adjust/strike", 10.0, 10.1, 200, SIGNED, b"whole"
)
KILL = Disturbance("kill h", "h", False, 9.0, 9.5)


class FindViolationsTest(unittest.TestCase):
    def test_allowed_observations_have_no_violation(self) -> None:
        cases = (
            RunHistory([EXECUTION], [REQUEST]),
            RunHistory([], [replace(REQUEST, status=503, body=b"")]),
            RunHistory([EXECUTION], [replace(REQUEST, status=502, body=b"")]),
            RunHistory([EXECUTION], [replace(REQUEST, status=0)], [KILL]),
            RunHistory([], [replace(REQUEST, status=0)]),
        )
        for number, history in enumerate(cases):
            with self.subTest(case=number):
                self.assertEqual(invariants.find_violations(history), [])

    def test_rate_limit_that_is_exceeded_is_reported(self) -> None:
        arrivals = [replace(EXECUTION, request_id=f"r{n}") for n in range(12)]
        for count, expected in ((11, 0), (12, 1)):
            with self.subTest(count=count):
                limit = NamedLimit("u", 1.0, 8.0, 14.0)
                history = RunHistory(arrivals[:count], limits=[limit])
                violations = invariants.find_violations(history)
                self.assertEqual(len(violations), expected, violations)

    def test_each_invariant_reports_its_violation(self) -> None:
        get = replace(REQUEST, method="GET")
        other = replace(KILL, host="other")
        cases: tuple[
            tuple[str, list[Execution], ClientRequest, list[Disturbance]], ...
        ] = (
            ("at most once", [EXECUTION, EXECUTION], REQUEST, []),
            ("not run is true", [EXECUTION], replace(REQUEST, status=503), []),
            ("whole and", [EXECUTION], replace(REQUEST, body=b"who"), []),
            ("whole and", [], REQUEST, []),
            ("whole and", [EXECUTION], replace(REQUEST, headers={}), []),
            ("only what", [replace(EXECUTION, target="/x")], REQUEST, []),
            ("attempts", [EXECUTION] * 3, get, []),
            ("in time", [EXECUTION], replace(REQUEST, ended_at_s=12.0), []),
            (
                "in time",
                [EXECUTION],
                replace(REQUEST, ended_at_s=12.0),
                [other],
            ),
            ("nothing lost", [EXECUTION], replace(REQUEST, status=0), []),
        )
        for name, executions, request, disturbances in cases:
            with self.subTest(name=name):
                violations = invariants.find_violations(
                    RunHistory(executions, [request], disturbances)
                )
                self.assertEqual(len(violations), 1, violations)
                self.assertTrue(violations[0].startswith(name), violations)


if __name__ == "__main__":
    unittest.main()
