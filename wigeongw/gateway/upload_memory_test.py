"""Tests that uploads do not take a host over its memory."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
import unittest

from wigeongw.gateway.host_case import HostCase

MEMORY_BYTES = 10_000_000
# One fits beside small requests, two do not.
UPLOAD_BYTES = 2_500_000
REFUSED_IN_S = 1.0


class UploadMemoryTest(HostCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        state = self.host.state
        state.host_config = replace(
            state.host_config, memory_bytes=MEMORY_BYTES
        )
        await self.publish_all(timeout_ms=5_000.0)
        self.may_end = asyncio.Event()

    async def body(self) -> AsyncIterator[bytes]:
        """Send an upload whose last byte waits."""
        yield b"x" * (UPLOAD_BYTES - 1)
        await self.may_end.wait()
        yield b"x"

    async def test_second_large_upload_is_refused_before_it_is_read(
        self,
    ) -> None:
        """Two uploads of the allowed size ended the host."""
        app = self.host.proxy_app.admission
        first = asyncio.create_task(
            self.send("/write/a", "POST", "id-1", data=self.body())
        )
        await self.until(lambda: app.held_bytes >= UPLOAD_BYTES - 1)
        async with asyncio.timeout(REFUSED_IN_S):
            status, body, headers = await self.send(
                "/write/b", "POST", "id-2", data=b"y" * UPLOAD_BYTES
            )
        self.assertEqual((status, body), (503, b"memory\n"))
        self.assertGreater(float(headers["retry-after"]), 0.0)
        self.assertLess(app.held_bytes, UPLOAD_BYTES)
        for number in range(5):
            status, _, _ = await self.send(
                "/write/c", "POST", f"small-{number}", data=b"z" * 2_000
            )
            self.assertEqual(status, 200)
        self.may_end.set()
        status, _, _ = await first
        self.assertEqual(status, 200)
        await self.until(lambda: app.held_bytes == 0)
        bodies = {
            u.headers["wigeongw-request-id"]: len(u.body)
            for upstream in self.upstreams
            for u in upstream.ran
        }
        self.assertNotIn("id-2", bodies)
        self.assertEqual(bodies["id-1"], UPLOAD_BYTES)

    async def test_upload_without_a_length_is_refused_when_it_grows(
        self,
    ) -> None:
        async def grow() -> AsyncIterator[bytes]:
            for _ in range(100):
                yield b"x" * 65_536

        status, body, _ = await self.send("/write/a", "POST", data=grow())
        self.assertEqual((status, body), (503, b"memory\n"))
        await self.until(lambda: self.host.proxy_app.admission.held_bytes == 0)
        self.assertEqual(self.ran_count(), 0)

    async def test_memory_is_free_after_a_client_has_left(self) -> None:
        task = asyncio.create_task(
            self.send("/write/a", "POST", data=self.body())
        )
        app = self.host.proxy_app.admission
        await self.until(lambda: app.held_bytes >= UPLOAD_BYTES - 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.until(lambda: app.held_bytes == 0)


if __name__ == "__main__":
    unittest.main()
