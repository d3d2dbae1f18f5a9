"""Tests that run the commands as processes."""

import json
import re
import unittest

from standins.site_case import SiteCase
from standins.site_process import Process
from standins.site_processes import SiteProcesses

BASE = """
site = "qadri"
[availability_zones.amman]
[services.dial-watch]
paths = ["/dial-watch"]
"""


class DemoCommandTest(unittest.IsolatedAsyncioTestCase):
    async def test_printed_curl_command_is_answered(self) -> None:
        site = await self.enterAsyncContext(SiteProcesses())
        process: Process = await site._start(
            "demo", *site.host_command, "demo", "--port=0"
        )
        match = await process.wait_line(re.compile(r"curl -i (http://\S+)"))
        async with site.session.get(match[1]) as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["Wigeongw-Outcome"], "ran")
            request_id = response.headers["Wigeongw-Request-Id"]
            self.assertEqual((await response.json())["id"], request_id)
        await process.wait_line(re.compile(r"answers/s"))
        process.terminate()
        self.assertEqual(await process.wait(9_000.0), 0)


class SettingsCommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = await self.enterAsyncContext(SiteProcesses())

    def write_file(self, name: str, text: str) -> str:
        path = self.site.folder / name
        path.write_text(text)
        return str(path)

    async def test_check_reports_problems_of_both_files(self) -> None:
        base = self.write_file("base.toml", BASE + "slots = 0\n")
        overlay = self.write_file("site.toml", "[permits]\nspil_ms = 3\n")
        code, output = await self.site.command(
            "settings", "check", base, overlay
        )
        self.assertEqual(code, 2)
        self.assertIn("base.toml: services.dial-watch.slots", output)
        self.assertIn("did you mean spill_ms?", output)

    async def test_merge_prints_the_merged_settings(self) -> None:
        base = self.write_file("base.toml", BASE)
        overlay = self.write_file(
            "site.toml", "[availability_zones.amman]\nstate = 'out'\n"
        )
        code, output = await self.site.command(
            "settings", "merge", base, overlay
        )
        self.assertEqual(code, 0)
        self.assertIn('state = "out"', output)

    async def test_publish_exits_with_5_when_store_is_unreachable(
        self,
    ) -> None:
        base = self.write_file("base.toml", BASE)
        code, output = await self.site.command(
            "settings",
            "publish",
            base,
            "--why=x",
            "--store=http://127.0.0.1:9",
        )
        self.assertEqual(code, 5, output)

    async def test_serve_rejects_invalid_host_settings(self) -> None:
        path = self.write_file("host.toml", "name = 'X'\nadress = '1'\n")
        code, output = await self.site.command(
            "serve", f"--host-settings={path}"
        )
        self.assertEqual(code, 2)
        self.assertIn("host.toml: adress: unknown key", output)
        self.assertIn("did you mean address?", output)
        self.assertIn("host.toml: store: expected a value", output)

    async def test_exit_codes_for_missing_file_and_unreachable_host(
        self,
    ) -> None:
        code, output = await self.site.command("record", "/nowhere")
        self.assertEqual(code, 2, output)
        code, output = await self.site.command("status", "127.0.0.1:9")
        self.assertEqual(code, 5, output)


class StatusCommandTest(SiteCase):
    zones = ("amman",)

    async def test_status_shows_revision_and_upstream_state(self) -> None:
        await self.warm_up()
        admin = self.site.admin_addresses[self.hosts[0]]
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
