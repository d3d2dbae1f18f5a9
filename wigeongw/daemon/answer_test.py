"""Every caller gets the whole answer to its own request, or a clear failure.

The stand-in cuts, crosses, delays, repeats and mislabels answers.
"""

import asyncio
from collections.abc import AsyncIterator
import unittest

import aiohttp

from standins.site_case import SiteCase
from standins.upstream_model import file_bytes

FILE = 300_000


class AnswerTest(SiteCase):
    zones = ("amman",)
    upstreams_per_zone = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.warm_up()

    async def faults(self, name: str, **faults: object) -> None:
        await self.site.control(name, "faults", faults)

    async def download(self, path: str, **options: object) -> bytes | None:
        """Return a body that a client takes for whole, or None."""
        try:
            answer = await self.site.get(self.hosts[0], path, **options)
        except aiohttp.ClientError:
            return None
        return await answer.read() if answer.status == 200 else None

    async def test_small_answer_cut_at_every_byte(self) -> None:
        """Both upstreams cut; a whole answer must be whole."""
        whole = await self.download("/dial-watch/file/40")
        self.assertEqual(whole, file_bytes(0, 40))
        cuts = 0
        for place in range(0, 330, 1):
            for name in ("amman-1", "amman-2"):
                await self.faults(name, truncate_at=place)
            found = await self.download("/dial-watch/file/40")
            self.assertIn(found, (None, file_bytes(0, 40)), place)
            cuts += found is None
        self.assertGreater(cuts, 100)

    async def test_cut_download_continues_on_another_upstream(self) -> None:
        await self.faults("amman-1", file_cut_at=100_000)
        await self.faults("amman-2", file_cut_at=-1)
        for number in range(12):
            found = await self.download(f"/dial-watch/n{number}/file/{FILE}")
            self.assertEqual(found, file_bytes(0, FILE))
        seen = await self.site.seen("amman-1")
        self.assertGreater(seen["requests"], 0)

    async def test_download_that_cannot_continue_is_seen_as_cut(self) -> None:
        for name in ("amman-1", "amman-2"):
            await self.faults(name, file_cut_at=0)
        found = await self.download(f"/dial-watch/file/{FILE}")
        self.assertIsNone(found)

    async def test_mislabelled_answers_never_reach_a_client(self) -> None:
        for name in ("amman-1", "amman-2"):
            await self.faults(name, wrong_identity=True)
        found = await self.download("/dial-watch/file/40")
        self.assertIsNone(found)

    async def test_repeated_answers_stay_with_their_request(self) -> None:
        """The second copy must not meet the next request."""
        for name in ("amman-1", "amman-2"):
            await self.faults(name, duplicate=True)
        async with self.load(width=4) as load:
            await asyncio.sleep(1.0)
        others = [b for b in load.bad if ": 200 " in b]
        self.assertEqual(others, [])
        self.assertGreater(load.good, 0)

    async def test_late_answers_of_cancelled_requests_go_nowhere(
        self,
    ) -> None:
        for name in ("amman-1", "amman-2"):
            await self.faults(name, late_ms=100.0)
        async with self.load(width=4) as load:
            for _ in range(20):
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(
                        self.site.get(self.hosts[0], "/dial-watch/gone"),
                        0.06,
                    )
        self.assertEqual(load.bad, [])

    async def test_range_and_head(self) -> None:
        answer = await self.site.get(
            self.hosts[0],
            "/dial-watch/file/1000",
            headers={"Range": "bytes=900-"},
        )
        self.assertEqual(answer.status, 206)
        self.assertEqual(await answer.read(), file_bytes(900, 1000))
        head = await self.site.request(
            self.hosts[0], "HEAD", "/dial-watch/file/1000"
        )
        self.assertEqual(head.headers["Content-Length"], "1000")

    async def test_large_body_streams_up(self) -> None:
        async def pieces() -> AsyncIterator[bytes]:
            for _ in range(50):
                yield b"x" * 40_000

        status, outcome, body = await self.send(
            self.hosts[0], "PUT", "/dial-watch/up", data=pieces()
        )
        self.assertEqual((status, outcome), (200, "ran"))
        self.assertIn(b'"size": 2000000', body)


if __name__ == "__main__":
    unittest.main()
