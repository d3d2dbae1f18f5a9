"""Tests of requests that meet a host in its grace time before the kill."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
import time
import unittest

import aiohttp

from standins.scripted_upstream import response_bytes
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import SIGNATURE_HEADER

GRACE_S = 2.0
# A route's timeout that does not fit into the grace time.
LONG_TIMEOUT_MS = 8_000.0


class GraceTimeTest(HostCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        bounds = self.host.state.bounds
        self.host.update_bounds(replace(bounds, grace_ms=GRACE_S * 1000.0))

    def hang(self) -> None:
        for upstream in self.upstreams:
            upstream.script = [b"HANG"]

    async def test_request_in_progress_ends_without_an_answer(self) -> None:
        """Its timeout lies behind the kill."""
        await self.publish_all(LONG_TIMEOUT_MS)
        self.hang()
        sent = [
            asyncio.create_task(self.send("/write/x", "POST")),
            asyncio.create_task(self.send("/read/x")),
        ]
        await self.until(lambda: self.ran_count() >= len(sent))
        stopped_at = time.monotonic()
        self.host.request_stop()
        for status, _, headers in await asyncio.gather(*sent):
            self.assertEqual(status, 504)
            self.assertEqual(headers["connection"], "close")
        self.assertLess(time.monotonic() - stopped_at, GRACE_S)

    async def test_request_whose_body_ends_late_in_the_grace_is_passed_on(
        self,
    ) -> None:
        """The head came before the stop, the end of the body after it."""
        await self.publish_all(LONG_TIMEOUT_MS)

        async def body() -> AsyncIterator[bytes]:
            yield b"first"
            await asyncio.sleep(0.2)
            self.host.request_stop()
            await asyncio.sleep(0.2)
            yield b"last"

        status, _, headers = await self.send("/write/x", "POST", data=body())
        self.assertEqual(status, 503)
        self.assertEqual(headers["connection"], "close")
        self.assertIn("retry-after", headers)
        self.assertEqual(self.ran_count(), 0)

    async def test_body_that_ends_in_time_is_passed_on(self) -> None:
        await self.publish_all(timeout_ms=800.0)

        async def body() -> AsyncIterator[bytes]:
            yield b"first"
            self.host.request_stop()
            await asyncio.sleep(0.1)
            yield b"last"

        status, _, _ = await self.send("/write/x", "POST", data=body())
        self.assertEqual(status, 200)

    async def test_request_late_in_the_grace_is_taken(self) -> None:
        """On a kept connection and on a new one."""
        await self.publish_all(timeout_ms=800.0)
        await self.send("/write/x", "POST")
        self.host.request_stop()
        await asyncio.sleep(0.1)
        status, _, headers = await self.send("/write/x", "POST")
        self.assertEqual((status, headers["connection"]), (200, "close"))
        await asyncio.sleep(GRACE_S * 0.45)
        ran_count = self.ran_count()
        for connection in ("kept", "new"):
            with self.subTest(connection=connection):
                status, _, headers = await self.send("/write/x", "POST")
                self.assertEqual(
                    (status, headers["connection"]), (503, "close")
                )
                self.assertIn("retry-after", headers)
        self.assertEqual(self.ran_count(), ran_count)

    async def test_request_between_idle_and_close_is_given_up(self) -> None:
        """It arrives when no other request is left, before the close."""
        await self.publish_all(timeout_ms=300.0, objective_ms=100.0)
        app = self.host.proxy_app
        await app.wait_until_idle(self.host.clock.now() + 1_000.0)
        status, _, _ = await self.send("/write/x", "POST")
        self.assertEqual(status, 200)

    async def test_download_that_outlasts_the_grace_looks_whole(self) -> None:
        await self.publish_all(LONG_TIMEOUT_MS)
        for upstream in self.upstreams:
            upstream.script = [
                response_bytes(
                    200, b"x" * (2 << 20), SIGNATURE_HEADER, length=4 << 20
                ),
                b"HANG",
            ]
        sent = asyncio.create_task(self.send("/fetch/x"))
        await self.until(lambda: self.ran_count() > 0)
        await asyncio.sleep(0.2)
        stopped_at = time.monotonic()
        self.host.request_stop()
        with self.assertRaises(aiohttp.ClientPayloadError):
            await sent
        self.assertLess(time.monotonic() - stopped_at, GRACE_S)


if __name__ == "__main__":
    unittest.main()
