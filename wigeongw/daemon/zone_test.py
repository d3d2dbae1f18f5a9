"""Taking an availability zone out and bringing it back."""

import asyncio
import unittest

from standins.site_case import SiteCase
from standins.site_case import ZONES
from wigeongw.core.clock import Clock

MOST_MS = 3_000.0
OUT = "irbid"


class ZoneTest(SiteCase):
    rules = {"work_ms": 10.0, "cold_work": 5, "cold_bears": 1}
    tables = {"cold_start": {"work_per_step": 10}}

    def zone_text(self, state: str) -> str:
        zones = {zone: {"distance_ms": 0.1} for zone in ZONES}
        zones[OUT] = {"distance_ms": 0.1, "state": state}  # type: ignore
        return self.text(availability_zones=zones)

    async def last_request_ms(self) -> float:
        seen = await self.site.all_seen()
        return max(s["last_at"] for n, s in seen.items() if OUT in n)

    async def test_out_within_seconds_though_the_store_dies(self) -> None:
        """The operators' command tells the entry hosts itself."""
        await self.warm_up()
        overlay = self.site.folder / "out.toml"
        overlay.write_text(self.zone_text("out"))
        async with self.load() as load:
            code, output = await self.site.command(
                "settings",
                "publish",
                str(overlay),
                "--why=storm",
                f"--store=http://{self.site.platform}",
                f"--host-list=http://{self.site.platform}/hosts",
            )
            accepted = Clock().wall()
            await self.site.store_faults(down=True)
            self.assertEqual(code, 0, output)
            await asyncio.sleep(4.0)
        self.assertEqual(load.bad, [])
        last = await self.last_request_ms()
        self.assertLessEqual(last - accepted, MOST_MS)
        for name in self.hosts:
            status = await self.site.status(name)
            self.assertEqual(status["zones_out"], [OUT])

    async def test_departure_and_return_cost_no_request(self) -> None:
        await self.warm_up()
        async with self.load() as load:
            await self.site.publish(self.zone_text("out"))
            await self.site.wait_revision(2)
            await asyncio.sleep(1.0)
            gone = await self.last_request_ms()
            for name in (f"{OUT}-1", f"{OUT}-2"):
                await self.site.control(name, "cold", {"restart": True})
            await asyncio.sleep(0.5)
            self.assertEqual(await self.last_request_ms(), gone)
            await self.site.publish(self.zone_text("in"))
            await self.site.wait_revision(3)
            await self.site.wait_warm(self.hosts[0])
        self.assertEqual(load.bad, [])
        self.assertGreater(await self.last_request_ms(), gone)
        for name, seen in (await self.site.all_seen()).items():
            if OUT in name:
                self.assertEqual(seen["overloads"], 0)


class LeavingTest(SiteCase):
    rules = {"work_ms": 10.0}

    async def stopped_after_ms(self, name: str, signed: float) -> float:
        await asyncio.sleep(MOST_MS / 1000.0 + 0.5)
        return float((await self.site.seen(name))["last_at"]) - signed

    async def test_leaving_by_the_list(self) -> None:
        await self.warm_up()
        async with self.load() as load:
            signed = Clock().wall()
            await self.site.mark_leaving("irbid-1")
            after = await self.stopped_after_ms("irbid-1", signed)
        self.assertLessEqual(after, MOST_MS)
        self.assertEqual(load.bad, [])

    async def test_leaving_by_its_own_word_reaches_all(self) -> None:
        """One entry host hears it; the list says nothing at all."""
        await self.warm_up()
        async with self.load() as load:
            signed = Clock().wall()
            await self.site.control("irbid-1", "leave", {})
            after = await self.stopped_after_ms("irbid-1", signed)
        self.assertLessEqual(after, MOST_MS)
        self.assertEqual(load.bad, [])


if __name__ == "__main__":
    unittest.main()
