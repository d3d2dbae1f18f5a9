"""Tests of upstreams whose answers tell no load."""

import asyncio
import unittest

from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import TIMEOUT_S


class UntoldLoadTest(HostCase):
    async def test_upstream_that_tells_no_load_is_never_warm(self) -> None:
        """Its requests stay within the limit of a cold upstream for good.

        Upstreams are probed for requests, so there have to be some.
        """
        for upstream in self.upstreams:
            upstream.load = ""
        await self.publish_all()
        async with asyncio.timeout(TIMEOUT_S):
            while self._doubtful():
                await self.send("/read/a")

    def _doubtful(self) -> list[str]:
        """Return the upstreams that are not known to be warm."""
        state = self.host.state
        now = state.clock.now()
        return [
            name
            for name, target in state.targets.items()
            if state.candidate(target, now).doubtful
        ]


if __name__ == "__main__":
    unittest.main()
