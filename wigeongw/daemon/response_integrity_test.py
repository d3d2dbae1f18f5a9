"""Tests that a client gets the complete response to its own request, or a
clear failure.

The stand-in upstreams truncate, mix up, delay, duplicate and mislabel
responses.
"""

import asyncio
from collections.abc import AsyncIterator
import unittest

import aiohttp

from standins.site_case import SiteCase
from standins.upstream_model import file_bytes

FILE_BYTES = 300_000

SHORT_DEADLINE_MS = 300
CLIENT_PATIENCE_S = 2.0
MIN_DOWNLOADS = 12
# By then one has gone to the upstream that breaks off.
MAX_DOWNLOADS = 100


class ResponseIntegrityTest(SiteCase):
    zones = ("amman",)
    upstreams_per_zone = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.warm_up()

    async def set_faults(self, name: str, **faults: object) -> None:
        await self.site.control(name, "faults", faults)

    async def download(self, path: str, **options: object) -> bytes | None:
        """Return a body that a client regards as complete, or None."""
        try:
            response = await self.site.get(self.hosts[0], path, **options)
        except aiohttp.ClientError:
            return None
        return await response.read() if response.status == 200 else None

    async def test_small_response_truncated_at_every_byte(self) -> None:
        """Both upstreams truncate; a 200 response must have the whole body."""
        body = await self.download("/dial-watch/file/40")
        self.assertEqual(body, file_bytes(0, 40))
        failures = 0
        for offset in range(0, 330, 1):
            for name in ("amman-1", "amman-2"):
                await self.set_faults(name, truncate_at=offset)
            body = await self.download("/dial-watch/file/40")
            self.assertIn(body, (None, file_bytes(0, 40)), offset)
            failures += body is None
        self.assertGreater(failures, 100)

    async def test_truncated_download_resumes_on_another_upstream(
        self,
    ) -> None:
        used = await self.find_used_upstream()
        await self.set_faults(used, file_cut_at=100_000)
        before = await self.request_count(used)
        received = number = 0
        while number < MIN_DOWNLOADS or not received:
            self.assertLess(number, MAX_DOWNLOADS)
            body = await self.download(
                f"/dial-watch/n{number}/file/{FILE_BYTES}"
            )
            self.assertEqual(body, file_bytes(0, FILE_BYTES))
            number += 1
            received = await self.request_count(used) - before
            # No download goes again to the upstream that broke it off.
            self.assertLessEqual(received, number)

    async def find_used_upstream(self) -> str:
        """Return the upstream that runs one download after the other."""
        names = ("amman-1", "amman-2")
        before = [await self.request_count(name) for name in names]
        await self.download(f"/dial-watch/first/file/{FILE_BYTES}")
        after = [await self.request_count(name) for name in names]
        return names[0] if after[0] > before[0] else names[1]

    async def request_count(self, upstream: str) -> int:
        return int((await self.site.upstream_counters(upstream))["requests"])

    async def test_download_that_cannot_resume_is_visibly_truncated(
        self,
    ) -> None:
        for name in ("amman-1", "amman-2"):
            await self.set_faults(name, file_cut_at=0)
        body = await self.download(f"/dial-watch/file/{FILE_BYTES}")
        self.assertIsNone(body)

    async def test_response_that_falls_silent_holds_its_client_for_good(
        self,
    ) -> None:
        """The head, or a small body, stops in its middle."""
        for stop_at in (30, 500):
            for name in ("amman-1", "amman-2"):
                await self.set_faults(name, stop_at=stop_at)
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                response = await self.site.get(
                    self.hosts[0],
                    "/dial-watch/file/1000",
                    headers={"Wigeongw-Deadline-Ms": f"{SHORT_DEADLINE_MS}"},
                )
            self.assertGreaterEqual(response.status, 500)

    async def test_responses_to_other_requests_are_not_relayed(self) -> None:
        for name in ("amman-1", "amman-2"):
            await self.set_faults(name, wrong_identity=True)
        body = await self.download("/dial-watch/file/40")
        self.assertIsNone(body)

    async def test_duplicate_responses_do_not_reach_other_requests(
        self,
    ) -> None:
        """The second copy must not be taken for the response to the next
        request on the connection.
        """
        for name in ("amman-1", "amman-2"):
            await self.set_faults(name, duplicate=True)
        async with self.load(concurrency=4) as load:
            await asyncio.sleep(1.0)
        wrong_responses = [
            failure for failure in load.failures if ": 200 " in failure
        ]
        self.assertEqual(wrong_responses, [])
        self.assertGreater(load.success_count, 0)

    async def test_late_responses_to_cancelled_requests_are_dropped(
        self,
    ) -> None:
        for name in ("amman-1", "amman-2"):
            await self.set_faults(name, late_ms=100.0)
        async with self.load(concurrency=4) as load:
            for _ in range(20):
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(
                        self.site.get(self.hosts[0], "/dial-watch/gone"),
                        0.06,
                    )
        self.assertEqual(load.failures, [])

    async def test_range_and_head_requests(self) -> None:
        response = await self.site.get(
            self.hosts[0],
            "/dial-watch/file/1000",
            headers={"Range": "bytes=900-"},
        )
        self.assertEqual(response.status, 206)
        self.assertEqual(await response.read(), file_bytes(900, 1000))
        head = await self.site.request(
            self.hosts[0], "HEAD", "/dial-watch/file/1000"
        )
        self.assertEqual(head.headers["Content-Length"], "1000")

    async def test_large_request_body_is_streamed(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(50):
                yield b"x" * 40_000

        status, outcome, body = await self.send(
            self.hosts[0], "PUT", "/dial-watch/up", data=chunks()
        )
        self.assertEqual((status, outcome), (200, "ran"))
        self.assertIn(b'"size": 2000000', body)


if __name__ == "__main__":
    unittest.main()
