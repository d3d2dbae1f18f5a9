"""Tests that graceful stops lose no request, and that other hosts keep serving
when an entry host is killed.
"""

import asyncio
import json
import unittest

from standins.site_case import SiteCase


class ShutdownTest(SiteCase):
    async def test_graceful_stop_of_an_entry_host_loses_no_request(
        self,
    ) -> None:
        """A cached address keeps working until its time to live has passed."""
        await self.warm_up()
        stopped = self.hosts[1]
        async with self.load() as load:
            await asyncio.sleep(0.3)
            self.site.processes[stopped].terminate()
            await asyncio.sleep(0.8)
        self.assertEqual(load.failures, [])
        self.assertGreater(load.success_count, 50)
        response = await self.site.get(
            self.hosts[0], "/.well-known/wigeongw/addresses"
        )
        listed = json.loads(await response.read())["addresses"]
        addresses = [entry["address"] for entry in listed]
        self.assertNotIn(self.site.address(stopped), addresses)
        exit_code = await self.site.processes[stopped].wait(5_000.0)
        self.assertEqual(exit_code, 0)

    async def test_request_in_progress_completes_during_a_stop(self) -> None:
        await self.warm_up()
        host = self.hosts[1]
        task = asyncio.create_task(
            self.send(host, "GET", "/dial-watch/slow?work_ms=2500")
        )
        await asyncio.sleep(0.2)
        self.site.processes[host].terminate()
        self.site.processes[host].terminate()
        status, outcome, _ = await task
        self.assertEqual((status, outcome), (200, "ran"))
        self.assertEqual(await self.site.processes[host].wait(5_000.0), 0)

    async def test_graceful_stop_of_an_upstream_loses_no_request(self) -> None:
        await self.warm_up()
        async with self.load() as load:
            await asyncio.sleep(0.2)
            self.site.processes["irbid-1"].terminate()
            exit_code = await self.site.processes["irbid-1"].wait(5_000.0)
            await asyncio.sleep(0.3)
        self.assertEqual(exit_code, 0)
        self.assertEqual(load.failures, [])

    async def test_other_hosts_serve_after_a_grantor_is_killed(self) -> None:
        await self.warm_up()
        grantor = await self.site.grantor("dial-watch@amman")
        others = [name for name in self.hosts if name != grantor]
        async with self.load(others) as load:
            await asyncio.sleep(0.3)
            self.site.processes[grantor].kill()
            await asyncio.sleep(5.0)
        self.assertEqual(load.failures, [])
        self.assertIn(await self.site.grantor("dial-watch@amman"), others)

    async def test_paused_entry_host_becomes_reachable_again(self) -> None:
        """Links that broke while a host was paused are opened again."""
        paused = self.hosts[2]
        self.site.processes[paused].pause()
        await self.site.wait_status(
            self.hosts[0], lambda status: paused not in reachable_hosts(status)
        )
        self.site.processes[paused].resume()
        for name in self.hosts:
            await self.site.wait_status(
                name, lambda status: set(self.hosts) == reachable_hosts(status)
            )


def reachable_hosts(status: dict[str, list[dict[str, object]]]) -> set[object]:
    return {host["name"] for host in status["entry_hosts"] if host["heard"]}


if __name__ == "__main__":
    unittest.main()
