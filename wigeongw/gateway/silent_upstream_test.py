"""Tests that silent upstreams get no requests until they answer a probe."""

import asyncio
import unittest

from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import TIMEOUT_S

# Longer than the first backoff of an upstream that could not be reached.
BACKOFF_WAIT_S = 0.4
FULL_LOAD = "4,0,4,1"


class SilentUpstreamTest(HostCase):
    async def silence_first_upstream(self) -> None:
        """Make the first upstream silent and let the host detect it."""
        await self.publish_all()
        await self.send("/read/1")
        self.upstreams[0].silent = True
        state = self.host.state.targets["one"]
        await self.host.prober.refresh([state])
        async with asyncio.timeout(TIMEOUT_S):
            while not state.is_silent(self.host.clock.now()):
                await asyncio.sleep(0.05)
                await self.host.prober.refresh([state])
        await asyncio.sleep(BACKOFF_WAIT_S)
        self.ran_before = len(self.upstreams[0].ran)

    def count_sent_to_silent(self) -> int:
        return len(self.upstreams[0].ran) - self.ran_before

    async def test_silent_upstream_gets_no_request_while_others_are_full(
        self,
    ) -> None:
        await self.silence_first_upstream()
        self.upstreams[1].load = FULL_LOAD
        responses = await asyncio.gather(
            *(self.send(f"/write/{n}", "POST") for n in range(6))
        )
        self.assertEqual(self.count_sent_to_silent(), 0)
        self.assertEqual({status for status, _, _ in responses}, {503})

    async def test_requests_do_not_wait_for_probe_of_silent_upstream(
        self,
    ) -> None:
        await self.silence_first_upstream()
        for number in range(10):
            status, _, _ = await self.send(f"/read/{number}")
            self.assertEqual(status, 200)
        self.assertEqual(self.count_sent_to_silent(), 0)

    async def test_upstream_gets_requests_again_after_it_answers(self) -> None:
        await self.silence_first_upstream()
        self.upstreams[0].silent = False
        self.upstreams[1].load = FULL_LOAD

        state = self.host.state.targets["one"]
        async with asyncio.timeout(TIMEOUT_S):
            while state.is_silent(self.host.clock.now()):
                await self.send("/read/1")
        status, _, _ = await self.send("/read/2")
        self.assertEqual(status, 200)
        self.assertGreater(self.count_sent_to_silent(), 0)

    async def test_silent_upstreams_are_tried_when_all_are_silent(
        self,
    ) -> None:
        """An upstream may answer requests although it ignores probes."""
        await self.silence_first_upstream()
        other = self.host.state.targets["two"]
        other.record_unreachable(self.host.state.clock.now())
        self.upstreams[1].silent = True
        await self.send("/read/1")
        counts = [len(u.ran) for u in self.upstreams]
        self.assertGreater(sum(counts), 1)


if __name__ == "__main__":
    unittest.main()
