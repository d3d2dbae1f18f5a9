"""Connections are reused for the address that they lead to only."""

from contextlib import AsyncExitStack
from dataclasses import replace
import unittest

from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import ScriptedUpstream
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import Clock
from wigeongw.core.site import Target


async def _answer_nothing(request: ReceivedRequest, writer: object) -> None:
    """Leave a request without an answer."""


class UpstreamPoolTest(unittest.IsolatedAsyncioTestCase):
    async def test_later_start_elsewhere_gets_a_connection_of_its_own(
        self,
    ) -> None:
        """Requests to it went to the address of the earlier start."""
        stack = await self.enterAsyncContext(AsyncExitStack())
        starts = []
        for _ in range(2):
            upstream = ScriptedUpstream(_answer_nothing)
            await upstream.start(stack)
            starts.append(upstream)
        pool = UpstreamPool(Clock(), "x-id")
        stack.callback(pool.close)
        before = Target("one", "s", starts[0].address, "amman", 4)
        after = replace(before, address=starts[1].address)
        connection = await pool.acquire(before)
        connection.is_complete = True
        pool.release(before, connection)
        self.assertTrue(pool.has_idle(before))
        self.assertFalse(pool.has_idle(after))
        other = await pool.acquire(after)
        stack.callback(other.close)
        self.assertIsNot(other, connection)
        assert other.transport is not None
        peer = other.transport.get_extra_info("peername")
        self.assertEqual(f"{peer[0]}:{peer[1]}", after.address)


if __name__ == "__main__":
    unittest.main()
