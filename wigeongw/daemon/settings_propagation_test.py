"""Tests that an accepted revision is in force on all hosts within seconds and
is never replaced by an older one.
"""

import asyncio
import json
import pathlib
import unittest

from standins.site_case import SiteCase
from standins.site_processes import PREFIX
from wigeongw.core.clock import Clock
from wigeongw.settings import revisions

MAX_PROPAGATION_MS = 2_000.0


class SettingsPropagationTest(SiteCase):
    upstreams_per_zone = 1

    async def publish_file(
        self, path: pathlib.Path, *options: str
    ) -> tuple[int, str]:
        return await self.site.command(
            "settings",
            "publish",
            str(path),
            f"--store=http://{self.site.platform_address}",
            f"--host-list=http://{self.site.platform_address}/hosts",
            *options,
        )

    def write_settings(self, name: str, lifetime_ms: float) -> pathlib.Path:
        path = self.site.folder / name
        text = self.render_settings(addresses={"lifetime_ms": lifetime_ms})
        path.write_text(text)
        return path

    async def test_concurrent_publications(self) -> None:
        """One publication wins; the other one reports the winner and the
        difference.
        """
        paths = [
            self.write_settings(f"{number}.toml", 1000.0 + number)
            for number in (1, 2)
        ]
        results = await asyncio.gather(
            *(
                self.publish_file(
                    path, "--why=race", f"--who={path.stem}", "--wait"
                )
                for path in paths
            )
        )
        codes = sorted(code for code, _ in results)
        if codes == [0, 0]:
            history = await revisions.read_history(self.site.store, PREFIX)
            self.assertEqual([r.number for r in history], [1, 2, 3])
            return
        self.assertEqual(codes, [0, 4], results)
        loser_output = next(output for code, output in results if code == 4)
        self.assertIn("was accepted first", loser_output)
        self.assertIn("+lifetime_ms", loser_output)

    async def test_unexpected_revision_is_refused(self) -> None:
        path = self.write_settings("a.toml", 1001.0)
        code, output = await self.publish_file(
            path, "--why=x", "--expect=7", "--who=me"
        )
        self.assertEqual(code, 4, output)

    async def test_wait_names_hosts_without_the_revision(self) -> None:
        paused = self.hosts[1]
        self.site.processes[paused].pause()
        path = self.write_settings("a.toml", 1001.0)
        code, output = await self.publish_file(
            path, "--why=x", "--wait", "--timeout-s=2"
        )
        self.assertEqual(code, 6, output)
        self.assertIn(paused, output)
        self.site.processes[paused].resume()
        await self.site.wait_revision(2, [paused], MAX_PROPAGATION_MS)

    async def test_revision_spreads_while_the_store_is_down(self) -> None:
        path = self.write_settings("a.toml", 1001.0)
        code, output = await self.publish_file(path, "--why=x")
        await self.site.set_platform_faults(down=True)
        accepted_at = Clock().now()
        self.assertEqual(code, 0, output)
        await self.site.wait_revision(2, self.hosts, MAX_PROPAGATION_MS)
        self.assertLessEqual(Clock().now() - accepted_at, MAX_PROPAGATION_MS)

    async def test_revision_spreads_between_peers_without_watches(
        self,
    ) -> None:
        """One entry host receives the revision; watches deliver nothing."""
        await self.site.set_platform_faults(frozen_watches=True)
        await self.site.publish(
            self.render_settings(addresses={"lifetime_ms": 1001.0})
        )
        in_force = await revisions.read_current_revision(
            self.site.store, PREFIX
        )
        assert in_force.revision is not None
        from wigeongw.adapters.peer_links import offer_settings

        await offer_settings(
            self.site.listing.entry_hosts[0], in_force.revision, 1_000.0
        )
        await self.site.set_platform_faults(down=True)
        await self.site.wait_revision(2, self.hosts, MAX_PROPAGATION_MS)

    async def test_revision_never_goes_back(self) -> None:
        """The store returns stale readings, and a paused host resumes with an
        old revision.
        """
        paused = self.hosts[2]
        self.site.processes[paused].pause()
        for number in (2, 3):
            text = self.render_settings(
                addresses={"lifetime_ms": 1000.0 + number}
            )
            await self.site.publish(text)
        await self.site.wait_revision(3, self.hosts[:2])
        await self.site.set_platform_faults(stale_reads=100)
        self.site.processes[paused].resume()
        lowest: dict[str, int] = {}
        ends_at = Clock().now() + 7_000.0
        while Clock().now() < ends_at:
            for name in self.hosts[:2]:
                revision_seen = (await self.site.status(name))["revision"]
                lowest[name] = min(
                    revision_seen, lowest.get(name, revision_seen)
                )
            await asyncio.sleep(0.05)
        self.assertEqual(set(lowest.values()), {3})
        await self.site.wait_revision(3, [paused], MAX_PROPAGATION_MS)

    async def test_new_host_starts_while_the_store_is_down(self) -> None:
        await self.site.publish(
            self.render_settings(addresses={"lifetime_ms": 1002.0})
        )
        await self.site.wait_revision(2, self.hosts)
        await self.site.set_platform_faults(down=True)
        await self.site.start_host("entry-fresh-1", "amman")
        await self.site.wait_revision(2, ["entry-fresh-1"], 4_000.0)
        status, outcome, _ = await self.send(
            "entry-fresh-1",
            "GET",
            "/dial-watch/x",
            headers={"Wigeongw-Deadline-Ms": "9000"},
        )
        self.assertIn((status, outcome), ((200, "ran"), (504, "not-run")))

    async def test_queued_requests_survive_a_settings_change(self) -> None:
        """Regression test: queued requests were lost together with the old
        settings.
        """
        await self.warm_up()
        tasks = [
            asyncio.create_task(
                self.send(
                    self.hosts[number % 3], "GET", "/dial-watch/x?work_ms=1500"
                )
            )
            for number in range(16)
        ]
        await asyncio.sleep(0.4)
        services = {"dial-watch": {"paths": ["/dial-watch"], "queue_most": 9}}
        await self.site.publish(self.render_settings(services=services))
        await self.site.wait_revision(2, self.hosts)
        async with asyncio.timeout(20.0):
            results = await asyncio.gather(*tasks)
        self.assertEqual(
            [result[:2] for result in results], [(200, "ran")] * 16
        )

    async def test_history_and_show(self) -> None:
        path = self.write_settings("a.toml", 1001.0)
        await self.publish_file(path, "--why=longer", "--who=mona")
        store = f"--store=http://{self.site.platform_address}"
        code, output = await self.site.command("settings", "history", store)
        self.assertEqual(code, 0)
        self.assertIn("mona: longer", output)
        code, output = await self.site.command("settings", "show", "2", store)
        self.assertIn("lifetime_ms = 1001.0", output)

    async def test_record_command_shows_where_a_request_went(self) -> None:
        await self.warm_up()
        response = await self.site.get(self.hosts[0], "/dial-watch/x")
        identity = response.headers["Wigeongw-Request-Id"]
        upstream = json.loads(await response.read())["upstream"]
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
