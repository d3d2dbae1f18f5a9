"""Tests of the checks on records that were decoded from others' bytes."""

from dataclasses import replace
import math
from typing import Any
import unittest

from wigeongw.core import site_checks
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import Route
from wigeongw.core.site import RouteKind
from wigeongw.core.site import Service
from wigeongw.core.site import Share
from wigeongw.core.site import Target
from wigeongw.core.site_checks import InvalidRecordError

TARGET = Target("i-1", "s", "10.0.0.1:80", "amman", 4)
HOST = Host("h", "10.0.0.2:80", "amman", "10.0.0.2:81", 7)
ROUTE = Route(
    "r",
    "a.example",
    "/a/",
    RouteKind.IDEMPOTENT,
    (Share("s", 1.0),),
    800.0,
    300.0,
    2,
    1,
)
SERVICE = Service("s", "/health", 100, 3_000.0, 9.0)
CONFIGURATION = Configuration(3, (ROUTE,), {"s": SERVICE}, ClientLimits())


class CheckTest(unittest.TestCase):
    def test_usable_records_pass(self) -> None:
        records: tuple[object, ...] = (
            TARGET,
            replace(TARGET, address="[::1]:80", born_ms=1771812380000.0),
            HOST,
            replace(HOST, peer=""),
            CONFIGURATION,
        )
        for record in records:
            with self.subTest(record=record):
                site_checks.check(record)

    def test_fields_that_cannot_be_used_are_refused(self) -> None:
        """Each of them failed where it was used, and ended a task."""
        cases: tuple[tuple[Any, dict[str, Any]], ...] = (
            (TARGET, {"identity": "a b"}),
            (TARGET, {"identity": "\u0142"}),
            (TARGET, {"identity": 5}),
            (TARGET, {"service": "\ud800"}),
            (TARGET, {"address": "10.0.0.1:65536"}),
            (TARGET, {"address": "10.0.0.1"}),
            (TARGET, {"address": "localhost:80"}),
            (TARGET, {"address": "224.0.0.1:80"}),
            (TARGET, {"slots": 10**400}),
            (TARGET, {"slots": True}),
            (TARGET, {"draining": "no"}),
            (TARGET, {"cold_left_ms": math.inf}),
            (TARGET, {"cold_left_ms": -1.0}),
            (TARGET, {"born_ms": math.nan}),
            (HOST, {"peer": "10.0.0.2:0"}),
            (HOST, {"peer": None}),
            (HOST, {"lease": -1}),
            (CONFIGURATION, {"revision": 1.5}),
            (CONFIGURATION, {"routes": (replace(ROUTE, timeout_ms=-1.0),)}),
            (CONFIGURATION, {"routes": (replace(ROUTE, host="\n"),)}),
            (
                CONFIGURATION,
                {"routes": (replace(ROUTE, shares=(Share("s", -1.0),)),)},
            ),
            (
                CONFIGURATION,
                {"services": {"s": replace(SERVICE, health_path="/\u0142")}},
            ),
            (CONFIGURATION, {"limits": ClientLimits(idle_ms=math.inf)}),
        )
        for record, changes in cases:
            with self.subTest(changes=changes):
                with self.assertRaises(InvalidRecordError):
                    site_checks.check(replace(record, **changes))


if __name__ == "__main__":
    unittest.main()
