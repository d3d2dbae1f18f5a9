"""Upstreams that went silent get no request until they answer a probe."""

import asyncio
import unittest

from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import WAIT_S

# Longer than the first rest of an upstream that could not be reached.
RESTED_S = 0.4
FULL = "4,0,4,1"


class SilentUpstreamTest(HostCase):
    async def silence_the_first(self) -> None:
        """Let the host learn that its first upstream is silent."""
        await self.publish_all()
        await self.send("/read/1")
        self.upstreams[0].silent = True
        state = self.host.state.targets["one"]
        await self.host.prober.refresh([state])
        async with asyncio.timeout(WAIT_S):
            while not state.silent:
                await asyncio.sleep(0.05)
                await self.host.prober.refresh([state])
        await asyncio.sleep(RESTED_S)
        self.heard_before = len(self.upstreams[0].ran)

    def sent_to_silent(self) -> int:
        return len(self.upstreams[0].ran) - self.heard_before

    async def test_no_request_is_risked_there_while_others_are_full(
        self,
    ) -> None:
        await self.silence_the_first()
        self.upstreams[1].load = FULL
        answers = await asyncio.gather(
            *(self.send(f"/write/{n}", "POST") for n in range(6))
        )
        self.assertEqual(self.sent_to_silent(), 0)
        self.assertEqual({status for status, _, _ in answers}, {503})

    async def test_others_do_not_wait_for_its_probe(self) -> None:
        await self.silence_the_first()
        for number in range(10):
            status, _, _ = await self.send(f"/read/{number}")
            self.assertEqual(status, 200)
        self.assertEqual(self.sent_to_silent(), 0)

    async def test_it_gets_requests_again_once_it_answers(self) -> None:
        await self.silence_the_first()
        self.upstreams[0].silent = False
        self.upstreams[1].load = FULL

        state = self.host.state.targets["one"]
        async with asyncio.timeout(WAIT_S):
            while state.silent:
                await self.send("/read/1")
        status, _, _ = await self.send("/read/2")
        self.assertEqual(status, 200)
        self.assertGreater(self.sent_to_silent(), 0)

    async def test_when_all_are_silent_one_is_tried_all_the_same(
        self,
    ) -> None:
        """Probes may go unanswered where requests are answered."""
        await self.silence_the_first()
        other = self.host.state.targets["two"]
        other.note_unreachable(self.host.state.clock.now())
        self.upstreams[1].silent = True
        await self.send("/read/1")
        heard = [len(u.ran) for u in self.upstreams]
        self.assertGreater(sum(heard), 1)


if __name__ == "__main__":
    unittest.main()
