"""What a host keeps stays under its bound however much work there is."""

from dataclasses import replace
import json
import os
import unittest

from wigeongw.core.clock import Clock
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.log_throttle import MAX_KEYS
from wigeongw.core.metrics import MAX_COUNTERS
from wigeongw.core.metrics import MAX_HISTOGRAMS
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import Configuration
from wigeongw.core.site import Target
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.change_log import MAX_KEPT_BYTES
from wigeongw.gateway.change_log import MAX_KEPT_CHANGES
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.decision_log import MAX_QUEUED_CHARS
from wigeongw.gateway.decision_log import MAX_VALUE_CHARS
from wigeongw.gateway.host_case import configuration
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import StorePosition

ROUTES = 200
VERSIONS = 240
LONG_NAME = "x" * 900


def large_configuration(revision: int) -> Configuration:
    small = configuration(revision)
    route = small.routes[0]
    routes = tuple(
        replace(route, name=f"r-{number}", prefix=f"/p{number}/")
        for number in range(ROUTES)
    )
    return replace(small, routes=routes)


def at(revision: int) -> StorePosition:
    return StorePosition(1, revision)


def add(log: ChangeLog, revision: int, *changes: Change) -> None:
    batch = ChangeBatch(changes, at(revision))
    log.add(batch, at(revision - 1))


class ChangeLogBoundsTest(unittest.IsolatedAsyncioTestCase):
    async def test_versions_of_the_configuration_do_not_add_up(self) -> None:
        """A host kept up to 2,000 versions, grew by each, and was killed."""
        log = ChangeLog()
        log.restart(at(1))
        one = large_configuration(1)
        add(log, 2, one)
        size = log.kept_bytes
        for revision in range(2, VERSIONS):
            add(log, revision + 1, replace(one, revision=revision))
        self.assertLess(log.kept_bytes, 2 * size)
        changes = log.changes_since(at(1))
        assert changes is not None
        revisions = [json.loads(change)["revision"] for change in changes]
        self.assertEqual(revisions, [VERSIONS - 1])

    async def test_an_older_version_does_not_replace_a_newer_one(
        self,
    ) -> None:
        log = ChangeLog()
        log.restart(at(1))
        for revision, version in ((2, 8), (3, 7), (4, 8)):
            add(log, revision, configuration(version))
        changes = log.changes_since(at(1))
        assert changes is not None
        self.assertEqual([json.loads(c)["revision"] for c in changes], [8])
        self.assertEqual(log.changes_since(at(2)), [])

    async def test_bytes_of_other_changes_are_bounded_without_a_gap(
        self,
    ) -> None:
        log = ChangeLog()
        log.restart(at(1))
        target = Target("i", LONG_NAME, "10.0.0.1:80", LONG_NAME, 4)
        batch_size = MAX_KEPT_CHANGES // 20
        for number in range(2, 200):
            changes = [
                replace(target, identity=f"{LONG_NAME}-{number}-{index}")
                for index in range(batch_size)
            ]
            add(log, number, *changes)
            self.assertLessEqual(log.kept_bytes, MAX_KEPT_BYTES)
            self.assertLessEqual(len(log.changes), MAX_KEPT_CHANGES)
        first = log.first_position
        assert first is not None
        self.assertIsNone(log.changes_since(at(first.revision - 1)))
        kept = log.changes_since(first)
        assert kept is not None
        self.assertEqual(len(kept), batch_size * (199 - first.revision))
        self.assertEqual(sum(map(len, kept)), log.kept_bytes)


class OtherBoundsTest(unittest.TestCase):
    def test_queued_log_lines_are_bounded_in_bytes(self) -> None:
        log = DecisionLog(Clock(), "h", fd=-1)
        for _ in range(10_000):
            log.add("x", **{f"f{n}": LONG_NAME * 2 for n in range(10)})
        longest = 11 * (MAX_VALUE_CHARS + 100)
        self.assertLessEqual(log.queued_chars, MAX_QUEUED_CHARS + longest)
        self.assertEqual(log.queued_chars, sum(map(len, log.lines)))
        self.assertGreater(log.dropped, 0)
        log.fd = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, log.fd)
        log.flush()
        self.assertEqual((log.queued_chars, len(log.lines)), (0, 0))

    def test_counters_and_histograms_are_bounded(self) -> None:
        """Reasons name addresses of upstreams, which come and go."""
        metrics = Metrics()
        for number in range(MAX_COUNTERS + 100):
            metrics.count("refused", str(number))
        for number in range(MAX_HISTOGRAMS + 100):
            metrics.time(1.0, "took", str(number))
        self.assertLessEqual(len(metrics.counters), MAX_COUNTERS + 1)
        self.assertEqual(len(metrics.histograms), MAX_HISTOGRAMS)
        self.assertEqual(metrics.counters[("metric_series_dropped",)], 200)
        metrics.count("refused", "5")
        self.assertEqual(metrics.counters[("refused", "5")], 2)

    def test_throttle_keeps_a_bounded_number_of_keys(self) -> None:
        throttle = LogThrottle(1_000.0)
        allowed = sum(throttle.allows(str(n), 0.0) for n in range(1_000))
        self.assertEqual(allowed, MAX_KEYS)
        self.assertEqual(len(throttle.logged_at), MAX_KEYS)
        self.assertTrue(throttle.allows("later", 1_000.0))


if __name__ == "__main__":
    unittest.main()
