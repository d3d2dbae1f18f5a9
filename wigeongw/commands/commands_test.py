"""The programs as an operator meets them."""

import json
import re
import unittest

from standins.site import Process
from standins.site import SiteProcesses
from standins.site_case import SiteCase

BASE = """
site = "qadri"
[availability_zones.amman]
[services.dial-watch]
paths = ["/dial-watch"]
"""


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_demo_answers_the_line_it_prints(self) -> None:
        site = await self.enterAsyncContext(SiteProcesses())
        process: Process = await site._start(
            "demo", *site.program, "demo", "--port=0"
        )
        found = await process.line(re.compile(r"curl -i (http://\S+)"))
        async with site.session.get(found[1]) as answer:
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers["Wigeongw-Outcome"], "ran")
            identity = answer.headers["Wigeongw-Request-Id"]
            self.assertEqual((await answer.json())["id"], identity)
        await process.line(re.compile(r"answers/s"))
        process.terminate()
        self.assertEqual(await process.wait(9_000.0), 0)


class SettingsCommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = await self.enterAsyncContext(SiteProcesses())

    def file(self, name: str, text: str) -> str:
        path = self.site.folder / name
        path.write_text(text)
        return str(path)

    async def test_check_shows_every_mistake(self) -> None:
        base = self.file("base.toml", BASE + "slots = 0\n")
        overlay = self.file("site.toml", "[permits]\nspil_ms = 3\n")
        code, output = await self.site.command(
            "settings", "check", base, overlay
        )
        self.assertEqual(code, 2)
        self.assertIn("base.toml: services.dial-watch.slots", output)
        self.assertIn("did you mean spill_ms?", output)

    async def test_merge_prints_what_is_published(self) -> None:
        base = self.file("base.toml", BASE)
        overlay = self.file(
            "site.toml", "[availability_zones.amman]\nstate = 'out'\n"
        )
        code, output = await self.site.command(
            "settings", "merge", base, overlay
        )
        self.assertEqual(code, 0)
        self.assertIn('state = "out"', output)

    async def test_publish_needs_a_reachable_store(self) -> None:
        base = self.file("base.toml", BASE)
        code, output = await self.site.command(
            "settings",
            "publish",
            base,
            "--why=x",
            "--store=http://127.0.0.1:9",
        )
        self.assertEqual(code, 5, output)

    async def test_serve_refuses_bad_host_settings(self) -> None:
        path = self.file("host.toml", "name = 'X'\nadress = '1'\n")
        code, output = await self.site.command(
            "serve", f"--host-settings={path}"
        )
        self.assertEqual(code, 2)
        self.assertIn("host.toml: adress: unknown key", output)
        self.assertIn("did you mean address?", output)
        self.assertIn("host.toml: store: expected a value", output)

    async def test_record_and_status_say_what_is_missing(self) -> None:
        code, output = await self.site.command("record", "/nowhere")
        self.assertEqual(code, 2, output)
        code, output = await self.site.command("status", "127.0.0.1:9")
        self.assertEqual(code, 5, output)


class StatusTest(SiteCase):
    zones = ("amman",)

    async def test_status_shows_what_is_believed(self) -> None:
        await self.warm_up()
        admin = self.site.admin[self.hosts[0]]
        code, output = await self.site.command("status", admin)
        self.assertEqual(code, 0, output)
        for expected in ("revision 1", "amman-1", "warm", "limit 4"):
            self.assertIn(expected, output)
        code, output = await self.site.command("status", admin, "--json")
        self.assertEqual(json.loads(output)["revision"], 1)
        metrics = await self.site.metrics(self.hosts[0])
        self.assertIn("added dial-watch", metrics)


if __name__ == "__main__":
    unittest.main()
