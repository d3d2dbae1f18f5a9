"""Tests that the reported outcome (not run, ran or unknown) is true."""

import asyncio
from collections.abc import AsyncIterator
import signal
import unittest

from standins.site_case import SiteCase

KEY_HEADER = "Idempotency-Key"


class OutcomeTest(SiteCase):
    zones = ("amman",)
    hosts_per_zone = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.warm_up()

    async def set_faults(self, **faults: object) -> None:
        for upstream in self.site.listing.upstreams:
            await self.site.control(upstream.name, "faults", faults)

    async def run_count(self, path: str) -> int:
        """Return how often the upstreams ran requests for a path."""
        seen = await self.site.all_upstream_counters()
        return sum(s["paths"].get(path, 0) for s in seen.values())

    async def test_reported_outcome_matches_the_upstreams(self) -> None:
        """Covers each stage at which an exchange can fail; compares the
        outcome with the counters of the upstreams.
        """
        cases: tuple[tuple[str, dict[str, object], str, str], ...] = (
            ("shed", {"shed": True}, "GET", "not-run"),
            ("shed a POST", {"shed": True}, "POST", "not-run"),
            ("dropped after running", {"drop": True}, "POST", "unknown"),
            ("dropped a GET", {"drop": True}, "GET", "unknown"),
            ("cut in the head", {"truncate_at": 20}, "POST", "unknown"),
            ("cut in the body", {"truncate_at": 300}, "POST", "unknown"),
            ("another's answer", {"wrong_identity": True}, "POST", "unknown"),
            ("without a length", {"no_length": True}, "POST", "unknown"),
            ("an error status", {"refuse_status": 500}, "POST", "ran"),
        )
        for number, (name, faults, method, expected) in enumerate(cases):
            with self.subTest(name):
                path = f"/dial-watch/case-{number}"
                await self.set_faults(**faults)
                headers = (
                    {KEY_HEADER: f"key-{number}"} if method == "POST" else {}
                )
                _, outcome, _ = await self.send(
                    self.hosts[0], method, path, headers=headers
                )
                await self.set_faults()
                self.assertEqual(outcome, expected)
                runs = await self.run_count(path)
                if outcome == "not-run":
                    self.assertEqual(runs, 0)
                if method == "POST":
                    self.assertLessEqual(runs, 1)

    async def test_refused_connection_is_not_run(self) -> None:
        self.site.processes["amman-1"].kill()
        await asyncio.sleep(0.1)
        status, outcome, _ = await self.send(
            self.hosts[0],
            "POST",
            "/dial-watch/gone",
            headers={KEY_HEADER: "k"},
        )
        self.assertEqual((status, outcome), (503, "not-run"))

    async def test_invalid_requests_are_not_run(self) -> None:
        before = await self.count_executions()
        host = self.hosts[0]
        cases: tuple[tuple[str, str, dict[str, str], bytes, int], ...] = (
            ("GET", "/nowhere", {}, b"", 404),
            ("POST", "/dial-watch/x", {}, b"", 400),
            ("GET", "/dial-watch/x", {"Wigeongw-Deadline-Ms": "x"}, b"", 400),
            ("GET", "/dial-watch/x", {"Wigeongw-Deadline-Ms": "0"}, b"", 400),
            ("POST", "/dial-watch/x", {KEY_HEADER: "k" * 300}, b"", 400),
            (
                "POST",
                "/dial-watch/x",
                {KEY_HEADER: "k"},
                b"x" * (1 << 21),
                413,
            ),
            ("GET", "/dial-watch/x", {"X-Large": "x" * 70_000}, b"", 431),
        )
        for method, path, headers, body, expected in cases:
            with self.subTest(path=path, expected=expected):
                status, outcome, _ = await self.send(
                    host, method, path, headers=headers, data=body
                )
                self.assertEqual((status, outcome), (expected, "not-run"))
        self.assertEqual(await self.count_executions(), before)

    async def test_streamed_body_over_the_limit_is_refused(self) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(40):
                yield b"x" * 50_000

        services = {
            "dial-watch": {
                "paths": ["/dial-watch"],
                "body_most_bytes": 1_000_000,
            }
        }
        await self.site.publish(self.render_settings(services=services))
        await self.site.wait_revision(2, self.hosts)
        status, outcome, _ = await self.send(
            self.hosts[0], "PUT", "/dial-watch/up", data=chunks()
        )
        self.assertEqual((status, outcome), (413, "unknown"))

    async def test_request_smuggling_is_refused(self) -> None:
        before = await self.count_executions()
        cases = (
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            b"Transfer-Encoding: xchunked\r\n\r\nabc",
            b"Content-Length: +4\r\n\r\nabcd",
            b"X\x00: y\r\n\r\n",
        )
        for header_lines in cases:
            with self.subTest(header_lines):
                response = await self.send_raw(
                    b"POST /dial-watch/x HTTP/1.1\r\nHost: h\r\n"
                    b"Idempotency-Key: k\r\n" + header_lines
                )
                self.assertTrue(response.startswith(b"HTTP/1.1 400"), response)
        self.assertEqual(await self.count_executions(), before)

    async def send_raw(self, request: bytes) -> bytes:
        address, _, port = self.site.address(self.hosts[0]).partition(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(request)
        try:
            async with asyncio.timeout(5.0):
                return await reader.read(200)
        finally:
            writer.close()

    async def test_client_disconnect_cancels_the_request(self) -> None:
        address, _, port = self.site.address(self.hosts[0]).partition(":")
        _, writer = await asyncio.open_connection(address, int(port))
        writer.write(
            b"GET /dial-watch/x?work_ms=30000 HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        await asyncio.sleep(0.3)
        writer.close()
        await asyncio.sleep(0.3)
        seen = await self.site.all_upstream_counters()
        self.assertEqual(sum(s["in_flight"] for s in seen.values()), 0)
        self.assertEqual(sum(s["cancelled"] for s in seen.values()), 1)

    async def test_deadline_while_queued_is_not_run(self) -> None:
        """Eight slots are occupied; the ninth request cannot start in time."""
        slow = [
            asyncio.create_task(
                self.send(
                    self.hosts[number % 2],
                    "GET",
                    "/dial-watch/slow?work_ms=2000",
                )
            )
            for number in range(8)
        ]
        await asyncio.sleep(0.3)
        status, outcome, _ = await self.send(
            self.hosts[0],
            "GET",
            "/dial-watch/late",
            headers={"Wigeongw-Deadline-Ms": "300"},
        )
        self.assertEqual((status, outcome), (504, "not-run"))
        self.assertEqual(await self.run_count("/dial-watch/late"), 0)
        for status, _, _ in await asyncio.gather(*slow):
            self.assertEqual(status, 200)

    async def test_paused_entry_host_does_not_send_after_the_deadline(
        self,
    ) -> None:
        """A request whose deadline passes during the pause is not run."""
        host = self.hosts[0]
        self.site.processes[host].send_signal(signal.SIGSTOP)
        late = asyncio.create_task(
            self.send(
                host,
                "GET",
                "/dial-watch/frozen",
                headers={"Wigeongw-Deadline-Ms": "500"},
            )
        )
        await asyncio.sleep(1.5)
        self.site.processes[host].send_signal(signal.SIGCONT)
        status, outcome, _ = await late
        runs = await self.run_count("/dial-watch/frozen")
        if outcome == "not-run":
            self.assertEqual(runs, 0)
        else:
            self.assertEqual((status, runs), (200, 1))


if __name__ == "__main__":
    unittest.main()
