"""Tests of what clients receive from a host and what it sends upstream."""

import asyncio
import unittest

import aiohttp

from standins.scripted_upstream import response_bytes
from wigeongw.core.site import LoadSample
from wigeongw.core.site import Target
from wigeongw.decisions import address_lookup
from wigeongw.decisions.host_limits import TokenBucket
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import NAMES
from wigeongw.gateway.host_case import SIGNATURE_HEADER
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated

SHED = response_bytes(
    503, b"", f"{NAMES.not_run}: 1", f"{NAMES.request_id}: id-1"
)
# It may be a late copy of the refusal of another request.
SHED_WITHOUT_ID = response_bytes(503, b"", f"{NAMES.not_run}: 1")
OK = response_bytes(200, b"done", SIGNATURE_HEADER)
SERVER_ERROR = response_bytes(500, b"sorry", SIGNATURE_HEADER)
UNSIGNED = response_bytes(200, b"done")
TRUNCATED = response_bytes(200, b"do", SIGNATURE_HEADER, length=4)
OTHER_REQUEST_ID = response_bytes(
    200, b"other", SIGNATURE_HEADER, f"{NAMES.request_id}: other"
)


class ProxyAppTest(HostCase):
    """Requests and responses pass through a host."""

    async def test_request_and_response_pass_unchanged(self) -> None:
        await self.publish_all()
        target = "/write/x%2Fy?q=1&q=%20"
        status, body, headers = await self.send(
            target, "POST", data=b"payload"
        )
        self.assertEqual((status, body), (200, b"done"))
        self.assertEqual(headers[NAMES.signature], "proof")
        received = [h for u in self.upstreams for h in u.ran]
        self.assertEqual(len(received), 1)
        self.assertEqual(received[0].target, target)
        self.assertEqual(received[0].body, b"payload")
        self.assertEqual(received[0].headers[NAMES.request_id], "id-1")
        remaining_ms = int(received[0].headers[NAMES.deadline_ms])
        self.assertTrue(0 < remaining_ms <= 2_000)

    async def test_no_configuration_is_503_and_unknown_route_404(self) -> None:
        status, _, headers = await self.send("/read/x")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        await self.publish_all()
        for host, path in (("b.example", "/read/x"), ("a.example", "/x")):
            with self.subTest(host=host, path=path):
                status, _, _ = await self.send(path, host=host)
                self.assertEqual(status, 404)

    async def test_streamed_response_is_complete_or_visibly_truncated(
        self,
    ) -> None:
        await self.publish_all()
        long_body = bytes(range(256)) * 12_000
        for upstream in self.upstreams:
            upstream.script = [
                response_bytes(200, long_body, SIGNATURE_HEADER)
            ]
        status, body, _ = await self.send("/fetch/x")
        self.assertEqual((status, body), (200, long_body))
        for upstream in self.upstreams:
            upstream.script = [
                response_bytes(
                    200, long_body, SIGNATURE_HEADER, length=len(long_body) + 9
                ),
                b"CLOSE",
            ]
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.send("/fetch/x")

    async def test_attempt_is_cancelled_when_client_disconnects(self) -> None:
        await self.publish_all(timeout_ms=5_000.0, objective_ms=5_000.0)
        for upstream in self.upstreams:
            upstream.script = [b"HANG"]
        client = asyncio.create_task(self.send("/read/x"))
        await self.until(lambda: self.ran_count() == 1)
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
        await self.until(lambda: self.host.proxy_app.in_progress == 0, 1.0)
        states = self.host.state.targets.values()
        self.assertTrue(all(not s.in_flight_since for s in states))

    async def test_download_ends_when_its_client_disconnects(self) -> None:
        """Neither host nor upstream work on for a client that has left."""
        await self.publish_all()
        for upstream in self.upstreams:
            upstream.script = [
                response_bytes(200, b"", SIGNATURE_HEADER, length=-1),
                b"ENDLESS",
            ]
        response = await self.session.get(
            f"http://{self.host.state.host_config.front}/fetch/x",
            headers={"Host": "a.example", NAMES.request_id: "id-1"},
        )
        await response.content.readexactly(4 << 20)
        response.close()
        await self.until(lambda: self.host.proxy_app.in_progress == 0, 1.0)
        await self.until(
            lambda: sum(u.closed_by_caller for u in self.upstreams) == 1, 1.0
        )

    async def test_endless_body_without_signature_is_no_response(self) -> None:
        await self.publish_all()
        for upstream in self.upstreams:
            upstream.script = [response_bytes(200, b"", length=-1), b"ENDLESS"]
        status, _, _ = await self.send("/write/x", "POST")
        self.assertEqual(status, 502)
        await self.until(
            lambda: sum(u.closed_by_caller for u in self.upstreams) == 1, 1.0
        )

    async def test_failures_with_endless_bodies_are_retried_and_closed(
        self,
    ) -> None:
        await self.publish_all()
        first, second = self.upstreams
        for upstream in self.upstreams:
            upstream.script = [
                # Time in which the other upstream gets its script.
                *[b"PAUSE"] * 4,
                response_bytes(500, b"", length=-1),
                b"ENDLESS",
            ]
        sent = asyncio.create_task(self.send("/read/x"))
        await self.until(lambda: self.ran_count() >= 1)
        other = second if first.ran else first
        other.script = [response_bytes(200, b"done", SIGNATURE_HEADER)]
        status, body, _ = await sent
        self.assertEqual((status, body), (200, b"done"))
        await self.until(
            lambda: sum(u.closed_by_caller for u in self.upstreams) == 1, 1.0
        )


class ForwarderTest(HostCase):
    """Failures of one or both upstreams, with retries and hedging."""

    async def test_one_upstream_fails_and_the_other_succeeds(self) -> None:
        await self.publish_all()
        cases = (
            ("idempotent, shed", "/read/x", "GET", SHED, 200, 2),
            ("idempotent, failed", "/read/x", "GET", SERVER_ERROR, 200, 2),
            ("idempotent, truncated", "/read/x", "GET", TRUNCATED, 200, 2),
            ("idempotent, unsigned", "/read/x", "GET", UNSIGNED, 200, 2),
            ("download, truncated", "/fetch/x", "GET", TRUNCATED, 200, 2),
            ("non-idempotent, shed", "/write/x", "POST", SHED, 200, 2),
            (
                "non-idempotent, failed",
                "/write/x",
                "POST",
                SERVER_ERROR,
                500,
                1,
            ),
            (
                "non-idempotent, truncated",
                "/write/x",
                "POST",
                TRUNCATED,
                502,
                1,
            ),
            ("non-idempotent, unsigned", "/write/x", "POST", UNSIGNED, 502, 1),
            (
                "non-idempotent, other request id",
                "/write/x",
                "POST",
                OTHER_REQUEST_ID,
                502,
                1,
            ),
            ("non-idempotent, no response", "/write/x", "POST", b"", 502, 1),
        )
        one, two = self.upstreams
        for case, path, method, response, status, sends in cases:
            with self.subTest(case=case):
                one.script, two.script = [response, b"CLOSE"], [OK]
                before = self.ran_count()
                self.reset_estimates()
                actual, _, _ = await self.send(path, method)
                self.assertEqual(actual, status)
                self.assertEqual(self.ran_count() - before, sends)

    async def test_retry_after_only_when_request_certainly_did_not_run(
        self,
    ) -> None:
        await self.publish_all()
        cases = (
            ("both shed", SHED, "/write/x", "POST", 503),
            ("both shed", SHED, "/read/x", "GET", 503),
            ("not marked", response_bytes(503, b""), "/write/x", "POST", 502),
            ("not marked", response_bytes(429, b""), "/read/x", "GET", 502),
            ("both truncated", TRUNCATED, "/read/x", "GET", 502),
            ("both fail", SERVER_ERROR, "/read/x", "GET", 500),
        )
        for case, response, path, method, status in cases:
            with self.subTest(case=case, path=path):
                for upstream in self.upstreams:
                    upstream.script = [response, b"CLOSE"]
                self.reset_estimates()
                actual, _, headers = await self.send(path, method)
                self.assertEqual(actual, status)
                self.assertEqual("retry-after" in headers, status == 503)

    async def test_refusal_written_twice_says_that_a_request_did_not_run(
        self,
    ) -> None:
        """The connection was used before, and the copy names no request."""
        await self.publish_all()
        for _ in range(4):
            await self.send("/read/x")
        for upstream in self.upstreams:
            upstream.script = [SHED_WITHOUT_ID]
        before = self.ran_count()
        status, _, headers = await self.send("/write/x", "POST")
        self.assertEqual(status, 502)
        self.assertNotIn("retry-after", headers)
        self.assertEqual(self.ran_count() - before, 1)

    async def test_hanging_upstream_times_out_at_route_timeout(self) -> None:
        await self.publish_all(timeout_ms=300.0, objective_ms=200.0)
        for upstream in self.upstreams:
            upstream.script = [b"HANG"]
        started_at = self.host.clock.now()
        status, _, _ = await self.send("/write/x", "POST")
        elapsed_ms = self.host.clock.now() - started_at
        self.assertEqual(status, 504)
        self.assertTrue(290.0 <= elapsed_ms <= 550.0, elapsed_ms)

    async def test_late_idempotent_request_is_hedged(self) -> None:
        await self.publish_all(objective_ms=200.0)
        one, two = self.upstreams
        one.script = [b"HANG"]
        self.reset_estimates()
        status, _, _ = await self.send("/read/x")
        self.assertEqual(status, 200)
        self.assertEqual((len(one.ran), len(two.ran)), (1, 1))

    async def test_contradictory_heads_are_rejected(self) -> None:
        await self.publish_all()
        cases = (
            ("two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n"),
            (
                "length and chunks",
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            ),
            ("no host", ""),
        )
        for case, lines in cases:
            with self.subTest(case=case):
                host = "" if case == "no host" else "Host: a.example\r\n"
                head = f"POST /write/x HTTP/1.1\r\n{host}{lines}\r\n"
                status = await self.send_raw(head.encode() + b"abcd")
                self.assertEqual(status, b"400")
        self.assertEqual(self.ran_count(), 0)

    async def send_raw(self, request: bytes) -> bytes:
        address, port = self.host.state.host_config.front.split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(request)
        async with asyncio.timeout(5.0):
            line = await reader.readline()
        writer.close()
        return line.split(b" ")[1]

    def reset_estimates(self) -> None:
        """Reset what the host learned and refill its retry budget.

        The load samples are set directly. Otherwise a probe delayed by a busy
        machine could change the order in which upstreams are tried.
        """
        self.host.state.shares.retry_budgets.clear()
        now = self.host.clock.now()
        for index, name in enumerate(("one", "two")):
            state = self.host.state.targets[name]
            state.probe_bucket = TokenBucket(0.0, 1.0, 0.0, now)
            state.sample = LoadSample(now, 2 * index, 0, 4, 1.0 + index, 0.0)
            state.confirmed_warm_at = now + 1_000.0
            state.risk.value = 0.0
            state.backoff_until = 0.0


class FollowerTest(HostCase):
    """Changes in the store decide which upstreams get requests."""

    async def test_draining_removed_and_evacuated_upstreams_get_no_requests(
        self,
    ) -> None:
        await self.publish_all()
        one, two = self.upstreams
        draining = Target(
            "one", "s", one.server.address, "amman", 4, draining=True
        )
        for change in (draining, TargetGone("one"), ZoneEvacuated("amman")):
            with self.subTest(change=change):
                await self.catalog.publish(
                    one.target(), two.target("irbid"), change
                )
                await asyncio.sleep(2.0)
                before = len(one.ran)
                for number in range(5):
                    await self.send("/read/x", request_id=f"id-{number}")
                self.assertEqual(len(one.ran), before)

    async def test_reused_address_gets_no_requests_for_former_upstream(
        self,
    ) -> None:
        await self.publish_all()
        one, two = self.upstreams
        reused = Target("old", "s", one.server.address, "amman", 4)
        await self.catalog.publish(TargetGone("one"), reused)
        await self.until(lambda: "old" in self.host.state.targets)
        for number in range(6):
            status, _, _ = await self.send("/write/x", "POST", f"id-{number}")
            self.assertEqual(status, 200)
        self.assertEqual(len(one.ran), 0)

    async def test_cold_upstreams_stay_within_this_hosts_limit(
        self,
    ) -> None:
        await self.publish_all()
        one, two = self.upstreams
        one.cold_ms = two.cold_ms = 3_000
        clients = [
            asyncio.create_task(self.send("/read/x", request_id=f"id-{n}"))
            for n in range(40)
        ]
        statuses = [status for status, _, _ in await asyncio.gather(*clients)]
        self.assertLessEqual(len(one.ran), 9.0 * 1.5 + 5.0)
        self.assertLessEqual(len(two.ran), 9.0 * 1.5 + 5.0)
        self.assertEqual(statuses.count(503), 40 - statuses.count(200))

    async def test_configuration_is_updated_and_never_reverted(
        self,
    ) -> None:
        await self.publish_all()
        await self.catalog.publish(configuration(5, "other"))
        await self.until(lambda: self.revision() == 5)
        await self.catalog.publish(configuration(4, "s"))
        self.catalog.loses_history = True
        await asyncio.sleep(2.5)
        self.assertEqual(self.revision(), 5)
        status, _, _ = await self.send("/read/x")
        self.assertEqual(status, 503)
        self.assertEqual(self.ran_count(), 0)

    async def test_host_serves_while_store_is_unreachable(self) -> None:
        await self.publish_all()
        self.catalog.down = True
        await asyncio.sleep(1.5)
        status, _, _ = await self.send("/read/x")
        self.assertEqual(status, 200)

    def revision(self) -> int:
        current = self.host.state.view.configuration
        return current.revision if current else 0


class GracefulStopTest(HostCase):
    """Requests keep succeeding during a graceful stop."""

    async def test_graceful_stop_interrupts_no_request(self) -> None:
        await self.publish_all()
        for upstream in self.upstreams:
            upstream.script = [b"PAUSE", OK]
        self.host.state.host_config = self.host.state.host_config
        statuses = []

        async def send_one(number: int) -> None:
            status, _, headers = await self.send(
                "/write/x", "POST", f"id-{number}"
            )
            statuses.append(status)
            if self.host.state.stopping:
                self.assertEqual(headers.get("connection"), "close")

        first = asyncio.create_task(send_one(0))
        await self.until(lambda: self.ran_count() > 0)
        self.host.request_stop()
        # Clients use an address for up to two seconds after the last address
        # answer that included this host.
        stop_asking_at = self.host.clock.now() + address_lookup.LOOKUP_TTL_MS
        number = 0
        while self.host.clock.now() < stop_asking_at:
            number += 1
            await asyncio.sleep(0.05)
            await send_one(number)
        await first
        self.assertEqual(set(statuses), {200})
        self.assertFalse(self.host.state.ready)
        async with asyncio.timeout(8.0):
            await self.host_tasks[0]
        self.assertEqual(self.catalog.leases, {})


if __name__ == "__main__":
    unittest.main()
