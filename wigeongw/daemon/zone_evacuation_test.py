"""Tests taking availability zones and upstreams out of service."""

import asyncio
import unittest

from standins.site_case import SiteCase
from standins.site_case import ZONES
from wigeongw.core.clock import Clock

MAX_DELAY_MS = 3_000.0
EVACUATED_ZONE = "irbid"


class ZoneEvacuationTest(SiteCase):
    upstream_options = {"work_ms": 10.0, "cold_work": 5, "cold_bears": 1}
    settings_tables = {"cold_start": {"work_per_step": 10}}

    def zone_text(self, state: str) -> str:
        zones = {zone: {"distance_ms": 0.1} for zone in ZONES}
        zones[EVACUATED_ZONE] = {
            "distance_ms": 0.1,
            "state": state,  # type: ignore
        }
        return self.render_settings(availability_zones=zones)

    async def last_request_at(self) -> float:
        seen = await self.site.all_upstream_counters()
        return max(
            s["last_at"] for name, s in seen.items() if EVACUATED_ZONE in name
        )

    async def test_evacuation_while_the_store_is_down(self) -> None:
        """The ``settings publish`` command sends the revision directly to the
        entry hosts.
        """
        await self.warm_up()
        overlay = self.site.folder / "out.toml"
        overlay.write_text(self.zone_text("out"))
        async with self.load() as load:
            code, output = await self.site.command(
                "settings",
                "publish",
                str(overlay),
                "--why=storm",
                f"--store=http://{self.site.platform_address}",
                f"--host-list=http://{self.site.platform_address}/hosts",
            )
            accepted_at = Clock().wall()
            await self.site.set_platform_faults(down=True)
            self.assertEqual(code, 0, output)
            await asyncio.sleep(4.0)
        self.assertEqual(load.failures, [])
        last_at = await self.last_request_at()
        self.assertLessEqual(last_at - accepted_at, MAX_DELAY_MS)
        for name in self.hosts:
            status = await self.site.status(name)
            self.assertEqual(status["zones_out"], [EVACUATED_ZONE])

    async def test_evacuation_and_restoration_lose_no_request(self) -> None:
        await self.warm_up()
        async with self.load() as load:
            await self.site.publish(self.zone_text("out"))
            await self.site.wait_revision(2)
            await asyncio.sleep(1.0)
            evacuated_at = await self.last_request_at()
            for name in (f"{EVACUATED_ZONE}-1", f"{EVACUATED_ZONE}-2"):
                await self.site.control(name, "cold", {"restart": True})
            await asyncio.sleep(0.5)
            self.assertEqual(await self.last_request_at(), evacuated_at)
            await self.site.publish(self.zone_text("in"))
            await self.site.wait_revision(3)
            await self.site.wait_warm(self.hosts[0])
        self.assertEqual(load.failures, [])
        self.assertGreater(await self.last_request_at(), evacuated_at)
        for name, seen in (await self.site.all_upstream_counters()).items():
            if EVACUATED_ZONE in name:
                self.assertEqual(seen["overloads"], 0)


class UpstreamLeavingTest(SiteCase):
    upstream_options = {"work_ms": 10.0}

    async def last_request_after_ms(
        self, name: str, announced_at: float
    ) -> float:
        await asyncio.sleep(MAX_DELAY_MS / 1000.0 + 0.5)
        return (
            float((await self.site.upstream_counters(name))["last_at"])
            - announced_at
        )

    async def test_leaving_upstream_on_the_host_list(self) -> None:
        await self.warm_up()
        async with self.load() as load:
            announced_at = Clock().wall()
            await self.site.mark_leaving("irbid-1")
            delay_ms = await self.last_request_after_ms(
                "irbid-1", announced_at
            )
        self.assertLessEqual(delay_ms, MAX_DELAY_MS)
        self.assertEqual(load.failures, [])

    async def test_leaving_upstream_by_its_own_response(self) -> None:
        """One entry host learns of it from the upstream; the host list does
        not show it.
        """
        await self.warm_up()
        async with self.load() as load:
            announced_at = Clock().wall()
            await self.site.control("irbid-1", "leave", {})
            delay_ms = await self.last_request_after_ms(
                "irbid-1", announced_at
            )
        self.assertLessEqual(delay_ms, MAX_DELAY_MS)
        self.assertEqual(load.failures, [])


if __name__ == "__main__":
    unittest.main()
