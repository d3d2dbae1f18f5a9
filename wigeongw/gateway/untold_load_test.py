"""Tests of upstreams whose answers tell no load."""

import unittest

from wigeongw.gateway.host_case import HostCase


class UntoldLoadTest(HostCase):
    async def test_upstream_that_tells_no_load_is_never_warm(self) -> None:
        """Its requests stay within the limit of a cold upstream for good."""
        for upstream in self.upstreams:
            upstream.load = ""
        await self.publish_all()
        await self.until(lambda: not self._doubtful())

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
