"""Which connections to an upstream are kept, and for whom."""

from contextlib import AsyncExitStack
from dataclasses import replace
import unittest

from standins.fake_transport import FakeTransport
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import ScriptedUpstream
from wigeongw.adapters.upstream_connection import UpstreamConnection
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

    async def test_connection_that_holds_a_body_is_not_kept(self) -> None:
        """Bodies that were answered early stayed in idle connections."""
        pool = UpstreamPool(Clock(), "x-id")
        target = Target("one", "s", "127.0.0.1:1", "amman", 4)
        for unsent, is_kept in ((0, True), (1, False)):
            with self.subTest(unsent=unsent):
                transport = FakeTransport()
                transport.unsent_bytes = unsent
                connection = UpstreamConnection("x-id")
                connection.connection_made(transport)
                connection.is_complete = True
                pool.release(target, connection)
                self.assertEqual(pool.has_idle(target), is_kept)
                self.assertEqual(transport.is_ended, not is_kept)
                pool.close_idle(target)


if __name__ == "__main__":
    unittest.main()
