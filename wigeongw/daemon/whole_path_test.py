"""The whole path: separate processes answer, stop gracefully and survive."""

import asyncio
import json
import unittest

from standins.site import settings_text
from standins.site import SiteProcesses

HOSTS = (("entry-1", "amman"), ("entry-2", "irbid"), ("entry-3", "zarqa"))


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = await self.enterAsyncContext(SiteProcesses())
        await self.site.start_platform()
        for zone in ("amman", "irbid", "zarqa"):
            names = [f"{zone}-{n}" for n in (1, 2)]
            await self.site.start_upstreams(
                "dial-watch", zone, names, work_ms=5.0
            )
        await self.site.publish(settings_text())
        await self.site.start_hosts(HOSTS)
        await self.site.wait_revision(1)
        await self.site.wait_fences()

    async def load(self, hosts: list[str], until: asyncio.Event) -> list[str]:
        """Send requests without pause; return what was not answered."""
        bad: list[str] = []

        async def one(number: int) -> None:
            turn = number
            while not until.is_set():
                host = hosts[turn % len(hosts)]
                turn += 1
                try:
                    found = await self.site.get(host, f"/dial-watch/{turn}")
                except Exception as error:
                    bad.append(f"{host}: {error!r}")
                    continue
                body = json.loads(await found.read())
                if found.status != 200 or (
                    body["path"] != f"/dial-watch/{turn}"
                ):
                    bad.append(f"{host}: {found.status} {body}")

        await asyncio.gather(*(one(n) for n in range(8)))
        return bad

    async def warm_up(self) -> None:
        until = asyncio.Event()
        work = asyncio.create_task(
            self.load([name for name, _ in HOSTS], until)
        )
        try:
            await self.site.wait_warm("entry-1")
        finally:
            until.set()
            await work

    async def test_request_is_answered_with_identity_and_outcome(self) -> None:
        found = await self.site.get("entry-1", "/dial-watch/hands")
        self.assertEqual(found.status, 200)
        self.assertEqual(found.headers["Wigeongw-Outcome"], "ran")
        body = json.loads(await found.read())
        identity = found.headers["Wigeongw-Request-Id"]
        self.assertEqual(body["id"], identity)

    async def test_planned_stop_cuts_no_request(self) -> None:
        """Clients with a cached address are served to its lifetime's end."""
        await self.warm_up()
        until = asyncio.Event()
        work = asyncio.create_task(
            self.load(["entry-1", "entry-2", "entry-3"], until)
        )
        await asyncio.sleep(0.3)
        self.site.processes["entry-2"].terminate()
        await asyncio.sleep(0.8)
        until.set()
        self.assertEqual(await work, [])
        answer = await self.site.get(
            "entry-1", "/.well-known/wigeongw/addresses"
        )
        listed = json.loads(await answer.read())["addresses"]
        stopped = self.site.address("entry-2")
        self.assertNotIn(stopped, [a["address"] for a in listed])
        code = await self.site.processes["entry-2"].wait(5_000.0)
        self.assertEqual(code, 0)

    async def test_killed_entry_host_leaves_others_serving(self) -> None:
        await self.warm_up()
        grantor = await self.site.grantor("dial-watch@amman")
        others = [name for name, _ in HOSTS if name != grantor]
        until = asyncio.Event()
        work = asyncio.create_task(self.load(others, until))
        await asyncio.sleep(0.3)
        self.site.processes[grantor].kill()
        await asyncio.sleep(5.0)
        until.set()
        self.assertEqual(await work, [])
        self.assertIn(await self.site.grantor("dial-watch@amman"), others)


if __name__ == "__main__":
    unittest.main()
