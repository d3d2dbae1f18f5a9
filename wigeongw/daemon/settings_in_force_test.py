"""An accepted revision is in force everywhere in seconds, for good."""

import asyncio
import json
import pathlib
import unittest

from standins.site import PREFIX
from standins.site_case import SiteCase
from wigeongw.core.clock import Clock
from wigeongw.settings import revisions

MOST_MS = 2_000.0


class SettingsInForceTest(SiteCase):
    upstreams_per_zone = 1

    async def publish_file(
        self, path: pathlib.Path, *options: str
    ) -> tuple[int, str]:
        return await self.site.command(
            "settings",
            "publish",
            str(path),
            f"--store=http://{self.site.platform}",
            f"--host-list=http://{self.site.platform}/hosts",
            *options,
        )

    def file(self, name: str, lifetime_ms: float) -> pathlib.Path:
        path = self.site.folder / name
        text = self.text(addresses={"lifetime_ms": lifetime_ms})
        path.write_text(text)
        return path

    async def test_two_operators_at_once(self) -> None:
        """One wins; the other is told who did, with the difference."""
        paths = [self.file(f"{n}.toml", 1000.0 + n) for n in (1, 2)]
        answers = await asyncio.gather(
            *(
                self.publish_file(p, "--why=race", f"--who={p.stem}", "--wait")
                for p in paths
            )
        )
        codes = sorted(code for code, _ in answers)
        if codes == [0, 0]:
            history = await revisions.read_history(self.site.store, PREFIX)
            self.assertEqual([r.number for r in history], [1, 2, 3])
            return
        self.assertEqual(codes, [0, 4], answers)
        loser = next(output for code, output in answers if code == 4)
        self.assertIn("was accepted first", loser)
        self.assertIn("+lifetime_ms", loser)

    async def test_expected_revision(self) -> None:
        path = self.file("a.toml", 1001.0)
        code, output = await self.publish_file(
            path, "--why=x", "--expect=7", "--who=me"
        )
        self.assertEqual(code, 4, output)

    async def test_wait_names_who_lacks_it(self) -> None:
        slow = self.hosts[1]
        self.site.processes[slow].pause()
        path = self.file("a.toml", 1001.0)
        code, output = await self.publish_file(
            path, "--why=x", "--wait", "--timeout-s=2"
        )
        self.assertEqual(code, 6, output)
        self.assertIn(slow, output)
        self.site.processes[slow].resume()
        await self.site.wait_revision(2, [slow], MOST_MS)

    async def test_in_force_though_the_store_dies(self) -> None:
        path = self.file("a.toml", 1001.0)
        code, output = await self.publish_file(path, "--why=x")
        await self.site.store_faults(down=True)
        accepted = Clock().now()
        self.assertEqual(code, 0, output)
        await self.site.wait_revision(2, self.hosts, MOST_MS)
        self.assertLessEqual(Clock().now() - accepted, MOST_MS)

    async def test_peers_heal_a_silent_watch(self) -> None:
        """Only one entry host is told, and the watches say nothing."""
        await self.site.store_faults(frozen_watches=True)
        await self.site.publish(self.text(addresses={"lifetime_ms": 1001.0}))
        base = await revisions.read_in_force(self.site.store, PREFIX)
        assert base.revision is not None
        from wigeongw.adapters.peer_links import offer_settings

        await offer_settings(
            self.site.listing.entry_hosts[0], base.revision, 1_000.0
        )
        await self.site.store_faults(down=True)
        await self.site.wait_revision(2, self.hosts, MOST_MS)

    async def test_never_reverts(self) -> None:
        """Stale readings, and a paused host that wakes with an old one."""
        paused = self.hosts[2]
        self.site.processes[paused].pause()
        for number in (2, 3):
            text = self.text(addresses={"lifetime_ms": 1000.0 + number})
            await self.site.publish(text)
        await self.site.wait_revision(3, self.hosts[:2])
        await self.site.store_faults(stale_reads=100)
        self.site.processes[paused].resume()
        lowest: dict[str, int] = {}
        ends_at = Clock().now() + 7_000.0
        while Clock().now() < ends_at:
            for name in self.hosts[:2]:
                found = (await self.site.status(name))["revision"]
                lowest[name] = min(found, lowest.get(name, found))
            await asyncio.sleep(0.05)
        self.assertEqual(set(lowest.values()), {3})
        await self.site.wait_revision(3, [paused], MOST_MS)

    async def test_fresh_host_starts_during_an_outage(self) -> None:
        await self.site.publish(self.text(addresses={"lifetime_ms": 1002.0}))
        await self.site.wait_revision(2, self.hosts)
        await self.site.store_faults(down=True)
        await self.site.start_host("entry-fresh-1", "amman")
        await self.site.wait_revision(2, ["entry-fresh-1"], 4_000.0)
        status, outcome, _ = await self.send(
            "entry-fresh-1",
            "GET",
            "/dial-watch/x",
            headers={"Wigeongw-Deadline-Ms": "9000"},
        )
        self.assertIn((status, outcome), ((200, "ran"), (504, "not-run")))

    async def test_requests_in_line_outlive_a_change(self) -> None:
        """Failed first: the line was forgotten with the old settings."""
        await self.warm_up()
        slow = [
            asyncio.create_task(
                self.send(
                    self.hosts[n % 3], "GET", "/dial-watch/x?work_ms=1500"
                )
            )
            for n in range(16)
        ]
        await asyncio.sleep(0.4)
        services = {"dial-watch": {"paths": ["/dial-watch"], "queue_most": 9}}
        await self.site.publish(self.text(services=services))
        await self.site.wait_revision(2, self.hosts)
        async with asyncio.timeout(20.0):
            answers = await asyncio.gather(*slow)
        self.assertEqual([a[:2] for a in answers], [(200, "ran")] * 16)

    async def test_history_and_show(self) -> None:
        path = self.file("a.toml", 1001.0)
        await self.publish_file(path, "--why=longer", "--who=mona")
        store = f"--store=http://{self.site.platform}"
        code, output = await self.site.command("settings", "history", store)
        self.assertEqual(code, 0)
        self.assertIn("mona: longer", output)
        code, output = await self.site.command("settings", "show", "2", store)
        self.assertIn("lifetime_ms = 1001.0", output)

    async def test_record_answers_what_went_where(self) -> None:
        await self.warm_up()
        answer = await self.site.get(self.hosts[0], "/dial-watch/x")
        identity = answer.headers["Wigeongw-Request-Id"]
        upstream = json.loads(await answer.read())["upstream"]
        await asyncio.sleep(0.3)
        files = [str(self.site.record_file(name)) for name in self.hosts]
        code, output = await self.site.command(
            "record", *files, f"--request={identity}"
        )
        self.assertEqual(code, 0, output)
        self.assertIn(f"to={upstream}", output)
        self.assertIn("revision=1", output)


if __name__ == "__main__":
    unittest.main()
