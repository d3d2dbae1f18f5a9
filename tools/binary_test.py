"""The executable file serves a request and stops gracefully."""

import subprocess
import sys
import unittest

from standins.site_case import SiteCase
from tools.build_binary import OUTPUT
from tools.build_binary import ROOT


class BinaryTest(SiteCase):
    zones = ("amman",)

    async def asyncSetUp(self) -> None:
        subprocess.run(  # noqa: ASYNC221
            [sys.executable, "-m", "tools.build_binary"],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        await super().asyncSetUp()

    async def test_binary_serves_and_stops_gracefully(self) -> None:
        unpacked = self.site.folder / "unpacked"
        self.site.extra_environment = {"SHIV_ROOT": str(unpacked)}
        self.site.host_command = (sys.executable, str(OUTPUT))
        await self.site.start_host("binary", "amman")
        await self.site.wait_revision(1, ["binary"])
        status, outcome, _ = await self.send("binary", "GET", "/dial-watch/x")
        self.assertEqual((status, outcome), (200, "ran"))
        self.site.processes["binary"].terminate()
        self.assertEqual(await self.site.processes["binary"].wait(9_000.0), 0)


if __name__ == "__main__":
    unittest.main()
