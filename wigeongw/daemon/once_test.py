"""A request with an Idempotency-Key runs at most once, whatever fails."""

import asyncio
import json
import unittest

import aiohttp

from standins.site_case import SERVICE
from standins.site_case import SiteCase

KEY = "Idempotency-Key"


class OnceTest(SiteCase):
    zones = ("amman",)
    hosts_per_zone = 3
    tables = {
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

    async def order(
        self, host: str, key: str, body: bytes = b"strike", query: str = ""
    ) -> tuple[int, str, bytes]:
        return await self.send(
            host,
            "POST",
            f"/{SERVICE}/strike{query}",
            headers={KEY: key},
            data=body,
        )

    async def test_resend_gets_the_recorded_answer_anywhere(self) -> None:
        first = await self.order(self.hosts[0], "a")
        await asyncio.sleep(0.2)
        for host in self.hosts:
            again = await self.order(host, "a")
            self.assertEqual(again, first)
        self.assertEqual(await self.ran("a"), 1)

    async def test_without_a_key_a_resend_runs_again(self) -> None:
        """The mechanism switched off: what these tests would catch."""
        services = {
            SERVICE: {"paths": [f"/{SERVICE}"], "idempotency_key": "optional"}
        }
        await self.site.publish(self.text(services=services))
        await self.site.wait_revision(2, self.hosts)
        before = await self.ran()
        for host in self.hosts[:2]:
            await self.send(host, "POST", f"/{SERVICE}/strike", data=b"s")
        self.assertEqual(await self.ran(), before + 2)

    async def test_many_at_once_run_once(self) -> None:
        answers = await asyncio.gather(
            *(
                self.order(self.hosts[n % 3], "b", query="?work_ms=100")
                for n in range(12)
            )
        )
        statuses = sorted(status for status, _, _ in answers)
        self.assertEqual(statuses.count(200), 1)
        self.assertTrue(set(statuses) <= {200, 409})
        self.assertEqual(await self.ran("b"), 1)

    async def test_same_key_with_another_body(self) -> None:
        await self.order(self.hosts[0], "c")
        status, outcome, _ = await self.order(self.hosts[1], "c", b"other")
        self.assertEqual((status, outcome), (422, "not-run"))
        self.assertEqual(await self.ran("c"), 1)

    async def test_lost_replies_of_the_store(self) -> None:
        """Each of the first replies of a claim and its record is lost."""
        for lost in (1, 2, 3):
            with self.subTest(lost=lost):
                key = f"lost-{lost}"
                await self.site.store_faults(lose_replies=lost)
                first = await self.order(self.hosts[0], key)
                await self.site.store_faults()
                await asyncio.sleep(0.8)
                again = await self.order(self.hosts[1], key)
                ran = await self.ran(key)
                self.assertLessEqual(ran, 1)
                if first[1] == "ran":
                    self.assertEqual(again, first)
                if first[1] == "not-run" and again[1] != "ran":
                    self.assertEqual(ran, 0)

    async def test_store_down_refuses_before_any_byte(self) -> None:
        await self.site.store_faults(down=True)
        status, outcome, _ = await self.order(self.hosts[0], "d")
        self.assertEqual((status, outcome), (503, "not-run"))
        self.assertEqual(await self.ran("d"), 0)
        await self.site.store_faults()
        status, outcome, _ = await self.order(self.hosts[0], "d")
        self.assertEqual((status, outcome), (200, "ran"))

    async def test_claimant_killed_while_it_runs(self) -> None:
        sent = asyncio.create_task(
            self.order(self.hosts[0], "e", query="?work_ms=800")
        )
        await asyncio.sleep(0.4)
        self.site.processes[self.hosts[0]].kill()
        with self.assertRaises(aiohttp.ClientError):
            await sent
        status, outcome, _ = await self.order(
            self.hosts[1], "e", query="?work_ms=800"
        )
        self.assertEqual((status, outcome), (409, "unknown"))
        await asyncio.sleep(3.0)
        status, outcome, body = await self.order(
            self.hosts[2], "e", query="?work_ms=800"
        )
        self.assertEqual((status, outcome), (409, "unknown"))
        self.assertIn("cannot be known", json.loads(body)["detail"])
        self.assertLessEqual(await self.ran("e"), 1)

    async def test_claimant_paused_past_its_claim(self) -> None:
        """It resumes after others gave up on it, and may not dispatch."""
        await self.site.store_faults(slow_ms=300.0)
        sent = asyncio.create_task(self.order(self.hosts[0], "f"))
        await asyncio.sleep(0.15)
        self.site.processes[self.hosts[0]].pause()
        await asyncio.sleep(2.0)
        await self.site.store_faults()
        self.site.processes[self.hosts[0]].resume()
        _, outcome, _ = await sent
        self.assertEqual(outcome, "not-run")
        self.assertEqual(await self.ran("f"), 0)

    async def test_not_run_can_be_sent_again(self) -> None:
        for upstream in self.site.listing.upstreams:
            await self.site.control(upstream.name, "faults", {"shed": True})
        _, outcome, _ = await self.order(self.hosts[0], "g")
        self.assertEqual(outcome, "not-run")
        for upstream in self.site.listing.upstreams:
            await self.site.control(upstream.name, "faults", {})
        await asyncio.sleep(0.6)
        status, outcome, _ = await self.order(self.hosts[1], "g")
        self.assertEqual((status, outcome), (200, "ran"))
        self.assertEqual(await self.ran("g"), 1)

    async def test_claims_share_writes(self) -> None:
        before = await self.writes()
        await asyncio.gather(
            *(self.order(self.hosts[0], f"h{n}") for n in range(100))
        )
        await asyncio.sleep(0.3)
        spent = await self.writes() - before
        self.assertLess(spent, 100)

    async def writes(self) -> int:
        metrics = await self.site.metrics(self.hosts[0])
        return int(metrics.get("once_writes", "0"))


if __name__ == "__main__":
    unittest.main()
