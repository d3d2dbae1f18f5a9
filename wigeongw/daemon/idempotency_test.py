"""Tests that a request with an Idempotency-Key runs at most once, whatever
fails.
"""

import asyncio
import json
import unittest

import aiohttp

from standins.site_case import SERVICE
from standins.site_case import SiteCase

KEY_HEADER = "Idempotency-Key"


class IdempotencyKeyTest(SiteCase):
    zones = ("amman",)
    hosts_per_zone = 3
    settings_tables = {
        "services": {
            SERVICE: {
                "paths": [f"/{SERVICE}"],
                "deadline_ms": 3000.0,
                "deadline_most_ms": 4000.0,
            }
        },
        "once": {"claim_ms": 1000.0},
    }

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.warm_up()

    async def post_with_key(
        self, host: str, key: str, body: bytes = b"strike", query: str = ""
    ) -> tuple[int, str, bytes]:
        return await self.send(
            host,
            "POST",
            f"/{SERVICE}/strike{query}",
            headers={KEY_HEADER: key},
            data=body,
        )

    async def test_resend_to_any_host_replays_the_response(self) -> None:
        first = await self.post_with_key(self.hosts[0], "a")
        await asyncio.sleep(0.2)
        for host in self.hosts:
            second = await self.post_with_key(host, "a")
            self.assertEqual(second, first)
        self.assertEqual(await self.count_executions("a"), 1)

    async def test_resend_without_a_key_runs_again(self) -> None:
        """Control: without a key these tests would detect a second run."""
        services = {
            SERVICE: {"paths": [f"/{SERVICE}"], "idempotency_key": "optional"}
        }
        await self.site.publish(self.render_settings(services=services))
        await self.site.wait_revision(2, self.hosts)
        before = await self.count_executions()
        for host in self.hosts[:2]:
            await self.send(host, "POST", f"/{SERVICE}/strike", data=b"s")
        self.assertEqual(await self.count_executions(), before + 2)

    async def test_concurrent_requests_run_once(self) -> None:
        responses = await asyncio.gather(
            *(
                self.post_with_key(
                    self.hosts[number % 3], "b", query="?work_ms=100"
                )
                for number in range(12)
            )
        )
        statuses = sorted(status for status, _, _ in responses)
        self.assertEqual(statuses.count(200), 1)
        self.assertTrue(set(statuses) <= {200, 409})
        self.assertEqual(await self.count_executions("b"), 1)

    async def test_same_key_with_another_body_is_refused(self) -> None:
        await self.post_with_key(self.hosts[0], "c")
        status, outcome, _ = await self.post_with_key(
            self.hosts[1], "c", b"other"
        )
        self.assertEqual((status, outcome), (422, "not-run"))
        self.assertEqual(await self.count_executions("c"), 1)

    async def test_lost_store_replies(self) -> None:
        """The first one, two or three writes succeed, but their replies are
        lost.
        """
        for lost in (1, 2, 3):
            with self.subTest(lost=lost):
                key = f"lost-{lost}"
                await self.site.set_platform_faults(lose_replies=lost)
                first = await self.post_with_key(self.hosts[0], key)
                await self.site.set_platform_faults()
                await asyncio.sleep(0.8)
                second = await self.post_with_key(self.hosts[1], key)
                ran = await self.count_executions(key)
                self.assertLessEqual(ran, 1)
                if first[1] == "ran":
                    self.assertEqual(second, first)
                if first[1] == "not-run" and second[1] != "ran":
                    self.assertEqual(ran, 0)

    async def test_request_is_refused_while_the_store_is_down(self) -> None:
        await self.site.set_platform_faults(down=True)
        status, outcome, _ = await self.post_with_key(self.hosts[0], "d")
        self.assertEqual((status, outcome), (503, "not-run"))
        self.assertEqual(await self.count_executions("d"), 0)
        await self.site.set_platform_faults()
        status, outcome, _ = await self.post_with_key(self.hosts[0], "d")
        self.assertEqual((status, outcome), (200, "ran"))

    async def test_claimant_killed_while_the_request_runs(self) -> None:
        task = asyncio.create_task(
            self.post_with_key(self.hosts[0], "e", query="?work_ms=800")
        )
        await asyncio.sleep(0.4)
        self.site.processes[self.hosts[0]].kill()
        with self.assertRaises(aiohttp.ClientError):
            await task
        status, outcome, _ = await self.post_with_key(
            self.hosts[1], "e", query="?work_ms=800"
        )
        self.assertEqual((status, outcome), (409, "unknown"))
        await asyncio.sleep(3.0)
        status, outcome, body = await self.post_with_key(
            self.hosts[2], "e", query="?work_ms=800"
        )
        self.assertEqual((status, outcome), (409, "unknown"))
        self.assertIn("cannot be known", json.loads(body)["detail"])
        self.assertLessEqual(await self.count_executions("e"), 1)

    async def test_claimant_paused_until_its_claim_expired(self) -> None:
        """A host that resumes after its claim has expired must not dispatch
        the request.
        """
        await self.site.set_platform_faults(slow_ms=300.0)
        task = asyncio.create_task(self.post_with_key(self.hosts[0], "f"))
        await asyncio.sleep(0.15)
        self.site.processes[self.hosts[0]].pause()
        await asyncio.sleep(2.0)
        await self.site.set_platform_faults()
        self.site.processes[self.hosts[0]].resume()
        _, outcome, _ = await task
        self.assertEqual(outcome, "not-run")
        self.assertEqual(await self.count_executions("f"), 0)

    async def test_request_that_did_not_run_can_be_sent_again(self) -> None:
        for upstream in self.site.listing.upstreams:
            await self.site.control(upstream.name, "faults", {"shed": True})
        _, outcome, _ = await self.post_with_key(self.hosts[0], "g")
        self.assertEqual(outcome, "not-run")
        for upstream in self.site.listing.upstreams:
            await self.site.control(upstream.name, "faults", {})
        await asyncio.sleep(0.6)
        status, outcome, _ = await self.post_with_key(self.hosts[1], "g")
        self.assertEqual((status, outcome), (200, "ran"))
        self.assertEqual(await self.count_executions("g"), 1)

    async def test_concurrent_claims_share_store_writes(self) -> None:
        before = await self.write_count()
        await asyncio.gather(
            *(
                self.post_with_key(self.hosts[0], f"h{number}")
                for number in range(100)
            )
        )
        await asyncio.sleep(0.3)
        write_delta = await self.write_count() - before
        self.assertLess(write_delta, 100)

    async def write_count(self) -> int:
        metrics = await self.site.metrics(self.hosts[0])
        return int(metrics.get("once_writes", "0"))


if __name__ == "__main__":
    unittest.main()
