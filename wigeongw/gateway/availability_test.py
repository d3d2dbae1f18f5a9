"""Tests of upstreams that leave or want a pause, by their own word."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
import time
import unittest

from standins.scripted_upstream import response_bytes
from wigeongw.adapters import notice_codec
from wigeongw.adapters.notice_codec import UpstreamLeaving
from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.adapters.retry_after_header import MAX_PAUSE_MS
from wigeongw.adapters.retry_after_header import read_retry_after
from wigeongw.adapters.retry_after_header import RetryAfterError
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import NAMES
from wigeongw.gateway.host_case import SIGNATURE_HEADER
from wigeongw.ports.catalog import TargetGone

LEAVING = response_bytes(200, b"done", SIGNATURE_HEADER, f"{NAMES.leaving}: 1")
REQUESTS = 12


def shed(*lines: str) -> bytes:
    """Return a rejection of a request that has not run."""
    return response_bytes(503, b"", f"{NAMES.not_run}: 1", *lines)


class AvailabilityCase(HostCase):
    """Counts what reaches the first upstream."""

    async def send_many(self, start: int = 0) -> list[int]:
        """Send requests; return their statuses."""
        answers = [
            await self.send(f"/write/{n}", "POST", f"id-{start + n}")
            for n in range(REQUESTS)
        ]
        return [status for status, _, _ in answers]

    def first_count(self) -> int:
        return len(self.upstreams[0].ran)

    async def meet_first(self) -> None:
        """Send requests until the first upstream has had one."""
        await self.until_async(lambda: self.first_count() > 0)

    async def until_async(self, condition: Callable[[], bool]) -> None:
        """Send requests until a condition holds."""
        number = 0
        while not condition():
            number += 1
            await self.send(f"/write/{number}", "POST", f"meet-{number}")


class LeavingTest(AvailabilityCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.publish_all()
        self.upstreams[0].script = [LEAVING]
        await self.meet_first()
        self.before = self.first_count()

    async def test_nothing_is_sent_after_the_first_answer(self) -> None:
        self.assertEqual(set(await self.send_many()), {200})
        self.assertEqual(self.first_count(), self.before)

    async def test_entries_of_the_same_start_change_nothing(self) -> None:
        """A late entry, and one that was gone and came back."""
        target = self.upstreams[0].target()
        await self.catalog.publish(replace(target, slots=5))
        await self.send_many()
        await self.catalog.publish(TargetGone("one"))
        await self.until(lambda: "one" not in self.host.state.targets)
        await self.catalog.publish(target)
        await self.until(lambda: "one" in self.host.state.targets)
        await self.send_many(100)
        self.assertEqual(self.first_count(), self.before)

    async def test_a_later_start_gets_requests(self) -> None:
        born = replace(self.upstreams[0].target(), born_ms=5.0)
        await self.catalog.publish(born)
        await self.until(lambda: not self.host.state.targets["one"].is_leaving)
        self.upstreams[0].script = [b"DONE"]
        await self.until_async(lambda: self.first_count() > self.before)

    async def test_queued_requests_do_not_go_there(self) -> None:
        self.upstreams[1].load = "4,0,4,1"
        await asyncio.sleep(0.2)
        status, body, _ = await self.send("/write/q", "POST", "queued")
        self.assertEqual((status, body), (503, b"all_full\n"))
        self.assertEqual(self.first_count(), self.before)


class OddLeavingTest(AvailabilityCase):
    async def test_another_value_changes_nothing(self) -> None:
        await self.publish_all()
        line = f"{NAMES.leaving}: yes"
        answer = response_bytes(200, b"done", SIGNATURE_HEADER, line)
        self.upstreams[0].script = [answer]
        await self.meet_first()
        before = self.first_count()
        await self.until_async(lambda: self.first_count() > before + 2)
        invalid = [
            line
            for line in self.host.log.lines
            if line.startswith("upstream:") and "event=invalid" in line
        ]
        self.assertLessEqual(len(invalid), 1)


class NoticeTest(AvailabilityCase):
    host_count = 2

    async def test_other_hosts_learn_it(self) -> None:
        await self.publish_all()
        await self.until(
            lambda: all(host.state.peer_addresses for host in self.hosts)
        )
        states = [host.state.targets["one"] for host in self.hosts]
        self.hosts[0].notices.tell_all(
            UpstreamLeaving(hash_identity("one"), notice_codec.born_key(7.0))
        )
        await asyncio.sleep(0.1)
        self.assertFalse(states[1].is_leaving)
        self.hosts[0].notices.tell_all(
            UpstreamLeaving(hash_identity("one"), 0)
        )
        await self.until(lambda: states[1].is_leaving)


class PauseTest(AvailabilityCase):
    async def test_upstream_rests_until_its_time_has_passed(self) -> None:
        await self.publish_all()
        self.upstreams[0].script = [shed("Retry-After: 0.6")]
        await self.meet_first()
        held_at = self.host.clock.now()
        self.upstreams[0].script = [b"DONE"]
        before = self.first_count()
        self.assertEqual(set(await self.send_many()), {200})
        self.assertEqual(self.first_count(), before)
        await self.until_async(lambda: self.first_count() > before)
        self.assertGreaterEqual(self.host.clock.now() - held_at, 590.0)

    async def test_all_pause_and_requests_are_refused_at_once(self) -> None:
        """With the soonest end of a pause, plus a spread."""
        await self.publish_all()
        for upstream, pause in zip(self.upstreams, ("5", "9"), strict=True):
            echo = f"{NAMES.request_id}: id-1"
            upstream.script = [shed(f"Retry-After: {pause}", echo)]
        await self.send("/write/1", "POST", "id-1")
        started_at = time.monotonic()
        status, body, headers = await self.send("/write/2", "POST", "id-2")
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual((status, body), (503, b"paused\n"))
        self.assertGreater(float(headers["retry-after"]), 4.0)
        self.assertLess(float(headers["retry-after"]), 7.0)
        ran = self.ran_count()
        await self.send_many()
        self.assertEqual(self.ran_count(), ran)


class RetryAfterHeaderTest(unittest.TestCase):
    def parse(self, *values: bytes) -> float | None:
        headers = [(b"retry-after", value) for value in values]
        return read_retry_after(headers, 1_000.0)

    def test_seconds_and_dates(self) -> None:
        cases = (
            (b"3", 3_000.0),
            (b" 1.25 ", 1_250.0),
            (b".5", 500.0),
            (b"0", 0.0),
            (b"99999999", MAX_PAUSE_MS),
            (b"Thu, 01 Jan 1970 00:00:03 GMT", 2_000.0),
            (b"Thu, 01 Jan 1970 00:00:00 GMT", 0.0),
        )
        for value, expected in cases:
            with self.subTest(value):
                self.assertEqual(self.parse(value), expected)
        self.assertIsNone(self.parse())

    def test_other_values_are_errors(self) -> None:
        for value in (b"-1", b"inf", b"nan", b"1e3", b"", b"soon", b"\xff"):
            with self.subTest(value), self.assertRaises(RetryAfterError):
                self.parse(value)
        with self.assertRaises(RetryAfterError):
            self.parse(b"1", b"2")


if __name__ == "__main__":
    unittest.main()
