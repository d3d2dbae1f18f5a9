"""Tests of a request that crashes each upstream that runs it."""

import asyncio
import unittest

from standins.scripted_upstream import ReceivedRequest
from wigeongw.adapters import notice_codec
from wigeongw.adapters.notice_codec import Notice
from wigeongw.adapters.notice_codec import NoticeError
from wigeongw.adapters.notice_codec import RequestCleared
from wigeongw.adapters.notice_codec import RequestHeld
from wigeongw.adapters.notice_codec import UpstreamEnded
from wigeongw.adapters.notice_codec import UpstreamLeaving
from wigeongw.gateway.host_case import FakeUpstream
from wigeongw.gateway.host_case import HostCase

UPSTREAMS = 8
DEADLY = "/read/deadly"
NAME = bytes(range(16))


class CrashingUpstream(FakeUpstream):
    """Ends when it gets the deadly request, until it is mended."""

    is_mended = False

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.target == DEADLY and not self.is_mended:
            self.server.crash()
            return
        await super()._answer(request, writer)


class CrashCase(HostCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.crashing = [
            CrashingUpstream(f"u-{number}") for number in range(UPSTREAMS)
        ]
        self.upstreams = list(self.crashing)
        for upstream in self.upstreams:
            await upstream.server.start(self.stack)
        await self.publish_all()

    def ended(self) -> int:
        """Return how many upstreams have ended."""
        servers = [u.server.server for u in self.upstreams]
        return sum(1 for s in servers if s and not s.is_serving())

    async def send_deadly(
        self, number: int, host: int = 0
    ) -> tuple[int, bytes, dict[str, str]]:
        answer = await self.send(
            DEADLY, request_id=f"deadly-{number}", entry=self.hosts[host]
        )
        await asyncio.sleep(0.05)
        return answer


class CrashWatchTest(CrashCase):
    async def test_deadly_request_ends_three_upstreams_at_most(self) -> None:
        statuses = [(await self.send_deadly(n))[0] for n in range(6)]
        self.assertLessEqual(self.ended(), 3)
        self.assertEqual(set(statuses) - {502, 503}, set())
        status, body, headers = await self.send_deadly(7)
        self.assertEqual((status, body), (503, b"held_back\n"))
        self.assertGreater(float(headers["retry-after"]), 10.0)

    async def test_others_are_served_beside_it(self) -> None:
        for number in range(10):
            deadly = asyncio.create_task(self.send_deadly(number))
            answers = [
                await self.send(f"/read/{number}-{n}", request_id=f"{n}")
                for n in range(4)
            ]
            await deadly
            self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(len(self.host.crash_watch.suspects.held), 1)

    async def test_connection_that_breaks_alone_is_no_evidence(self) -> None:
        for upstream in self.upstreams:
            upstream.script = [b"CLOSE"]
        for number in range(6):
            await self.send("/read/odd", request_id=f"odd-{number}")
        await asyncio.sleep(0.1)
        self.assertTrue(self.host.crash_watch.is_idle)

    async def test_answer_to_a_held_request_clears_it(self) -> None:
        for number in range(3):
            await self.send_deadly(number)
        suspects = self.host.crash_watch.suspects
        verdict = next(iter(suspects.held.values()))
        verdict.trial_at = self.host.clock.now()
        for upstream in self.crashing:
            upstream.is_mended = True
        status, _, _ = await self.send_deadly(9)
        self.assertEqual(status, 200)
        self.assertEqual(suspects.held, {})


class TwoHostsTest(CrashCase):
    host_count = 2

    async def test_second_host_holds_it_back_too(self) -> None:
        await self.until(
            lambda: all(host.state.peer_addresses for host in self.hosts)
        )
        for number in range(6):
            await self.send_deadly(number, number % 2)
        self.assertLessEqual(self.ended(), 3)
        for host in self.hosts:
            self.assertEqual(len(host.crash_watch.suspects.held), 1)

    async def test_host_that_missed_the_notices_learns_it(self) -> None:
        first, second = (host.crash_watch for host in self.hosts)
        await self.until(lambda: bool(self.host.state.peer_addresses))
        await self.until(lambda: bool(self.hosts[1].state.peer_ips))
        first.suspects.hold(NAME, 2, self.host.clock.now())
        await self.until(lambda: NAME in second.suspects.held)


class NoticeCodecTest(unittest.TestCase):
    def test_notices_come_back_as_they_were(self) -> None:
        notices: list[Notice] = [
            UpstreamLeaving(7, notice_codec.born_key(1_771_812_380_000.0)),
            UpstreamEnded(NAME, 9, True),
            RequestHeld(NAME, 3),
            RequestCleared(NAME),
        ]
        self.assertEqual(
            notice_codec.decode(notice_codec.encode(notices)), notices
        )

    def test_cut_and_unknown_notices_are_errors(self) -> None:
        data = notice_codec.encode([UpstreamEnded(NAME, 9, True)])
        for end in range(1, len(data)):
            with self.subTest(end=end), self.assertRaises(NoticeError):
                notice_codec.decode(data[:end])
        with self.assertRaises(NoticeError):
            notice_codec.decode(data[:2] + b"?" + data[3:])


if __name__ == "__main__":
    unittest.main()
