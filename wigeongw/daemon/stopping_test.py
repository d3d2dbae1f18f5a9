"""Planned stops cut nothing, and a killed entry host leaves others serving."""

import asyncio
import json
import unittest

from standins.site_case import SiteCase


class StoppingTest(SiteCase):
    async def test_planned_stop_of_an_entry_host_cuts_nothing(self) -> None:
        """Clients with a cached address are served to its lifetime's end."""
        await self.warm_up()
        stopped = self.hosts[1]
        async with self.load() as load:
            await asyncio.sleep(0.3)
            self.site.processes[stopped].terminate()
            await asyncio.sleep(0.8)
        self.assertEqual(load.bad, [])
        self.assertGreater(load.good, 50)
        answer = await self.site.get(
            self.hosts[0], "/.well-known/wigeongw/addresses"
        )
        listed = json.loads(await answer.read())["addresses"]
        addresses = [a["address"] for a in listed]
        self.assertNotIn(self.site.address(stopped), addresses)
        code = await self.site.processes[stopped].wait(5_000.0)
        self.assertEqual(code, 0)

    async def test_long_request_outlives_the_stop(self) -> None:
        await self.warm_up()
        host = self.hosts[1]
        slow = asyncio.create_task(
            self.send(host, "GET", "/dial-watch/slow?work_ms=2500")
        )
        await asyncio.sleep(0.2)
        self.site.processes[host].terminate()
        self.site.processes[host].terminate()
        status, outcome, _ = await slow
        self.assertEqual((status, outcome), (200, "ran"))
        self.assertEqual(await self.site.processes[host].wait(5_000.0), 0)

    async def test_planned_stop_of_an_upstream_cuts_nothing(self) -> None:
        await self.warm_up()
        async with self.load() as load:
            await asyncio.sleep(0.2)
            self.site.processes["irbid-1"].terminate()
            code = await self.site.processes["irbid-1"].wait(5_000.0)
            await asyncio.sleep(0.3)
        self.assertEqual(code, 0)
        self.assertEqual(load.bad, [])

    async def test_killed_grantor_leaves_others_serving(self) -> None:
        await self.warm_up()
        grantor = await self.site.grantor("dial-watch@amman")
        others = [name for name in self.hosts if name != grantor]
        async with self.load(others) as load:
            await asyncio.sleep(0.3)
            self.site.processes[grantor].kill()
            await asyncio.sleep(5.0)
        self.assertEqual(load.bad, [])
        self.assertIn(await self.site.grantor("dial-watch@amman"), others)

    async def test_paused_entry_host_is_heard_again(self) -> None:
        """Links that broke while a host was frozen come back."""
        paused = self.hosts[2]
        self.site.processes[paused].pause()
        await self.site.wait_status(
            self.hosts[0], lambda s: paused not in heard(s)
        )
        self.site.processes[paused].resume()
        for name in self.hosts:
            await self.site.wait_status(
                name, lambda s: set(self.hosts) == heard(s)
            )


def heard(status: dict[str, list[dict[str, object]]]) -> set[object]:
    return {h["name"] for h in status["entry_hosts"] if h["heard"]}


if __name__ == "__main__":
    unittest.main()
