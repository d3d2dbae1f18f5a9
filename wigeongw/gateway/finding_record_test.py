"""Tests that a request's id leads to the cause of its failure.

Each of these failures had no line of its own, or none that named the cause.
"""

import asyncio
from dataclasses import replace
import os
import pathlib
import re
import tempfile
import unittest

import aiohttp
from typer.testing import CliRunner

from standins.scripted_upstream import response_bytes
from wigeongw.commands import main
from wigeongw.commands.record_context import LogLine
from wigeongw.commands.record_context import read_line
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import NAMES
from wigeongw.gateway.host_case import SIGNATURE_HEADER
from wigeongw.ports.catalog import TargetGone

TIMEOUT_MS = 500.0
HEAD = f"HTTP/1.1 200 OK\r\n{SIGNATURE_HEADER}\r\n".encode()
LONG_START = HEAD + b"Content-Length: 1000000000000\r\n\r\n" + b"x" * 1_100_000
MEMORY_BYTES = 10_000_000
UPLOAD_BYTES = 5_000_000
# Entries may expire in an outage of this length.
OUTAGE_S = 4.0


class FindingRecordTest(HostCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "log"
        fd = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        self.stack.callback(os.close, fd)
        self.host.log.fd = fd
        await self.publish_all(TIMEOUT_MS)

    def lines_of(self, request_id: str) -> list[LogLine]:
        """Return what ``wigeongw record`` prints of an id."""
        self.host.log.flush()
        arguments = ["record", str(self.path), "--request", request_id]
        result = CliRunner().invoke(main.app, arguments)
        read = (read_line(line) for line in result.output.splitlines())
        return [line for line in read if line is not None]

    def expect_reason(self, request_id: str, reason: str) -> None:
        reasons = [
            line.fields.get("reason") for line in self.lines_of(request_id)
        ]
        self.assertIn(reason, reasons)

    async def fetch_cut_body(self, request_id: str, *script: bytes) -> None:
        for upstream in self.upstreams:
            upstream.script = list(script)
        with self.assertRaises(aiohttp.ClientError):
            await self.send("/fetch/x", request_id=request_id)
        await self.until(lambda: bool(self.lines_of(request_id)))

    async def test_body_without_end_has_no_line(self) -> None:
        await self.fetch_cut_body("endless", LONG_START, b"ENDLESS")
        self.expect_reason("endless", "body_timeout")

    async def test_body_that_breaks_off_has_no_line(self) -> None:
        await self.fetch_cut_body("broken", LONG_START, b"CLOSE")
        self.expect_reason("broken", "body_broken")

    async def test_request_at_a_removed_upstream_names_no_outage(self) -> None:
        """Its lines showed the upstream, not why it was still in use."""
        self.catalog.down = True
        await asyncio.sleep(OUTAGE_S)
        self.assertTrue(self.has_event("lost"))
        self.catalog.down = False
        await self.until(lambda: self.has_event("regained"))
        await self.catalog.publish(TargetGone("one"))
        await self.send("/fetch/x", request_id="removed")
        lines = self.lines_of("removed")
        self.assertEqual(
            [line.fields.get("event") for line in lines[:2]],
            ["lost", "regained"],
        )
        self.assertEqual(lines[1].fields["was_away"], "1")

    def has_event(self, event: str) -> bool:
        """Return whether the host has logged an event of the store."""
        self.host.log.flush()
        lines = self.path.read_text(encoding="utf-8").splitlines()
        pattern = f"store: .*event={event} "
        return any(re.search(pattern, f"{line} ") for line in lines)

    async def test_upstream_that_sent_no_answer_is_not_named(self) -> None:
        """The request was answered by another one, and nothing else told."""
        for upstream in self.upstreams:
            upstream.script = [b"ENDLESS"]
            upstream.endless_piece = b"HTTP/1.1 103 Hints\r\n\r\n" * 500
        await self.send("/read/x", request_id="endless")
        failed = [
            line.fields
            for line in self.lines_of("endless")
            if line.fields.get("event") == "failed"
        ]
        self.assertEqual({f["to"] for f in failed}, {"one", "two"})
        for fields in failed:
            self.assertEqual(
                fields["cause"], "not_an_answer:_bytes_without_end"
            )
            self.assertGreater(int(fields["received"]), 60_000)
            self.assertEqual(fields["body"], "0")

    async def test_attempt_that_nobody_awaits_has_no_line(self) -> None:
        """A timeout did not tell what its upstream had sent until then."""
        for upstream in self.upstreams:
            upstream.script = [HEAD, b"HANG"]
        status, _, _ = await self.send("/write/x", "POST", "slow")
        self.assertEqual(status, 504)
        await self.until(lambda: len(self.lines_of("slow")) > 2)
        fields = [
            line.fields
            for line in self.lines_of("slow")
            if line.fields.get("event") == "failed"
        ]
        self.assertEqual([f["cause"] for f in fields], ["not_awaited"])
        self.assertEqual(int(fields[0]["received"]), len(HEAD))

    async def test_since_when_an_upstream_leaves_is_not_shown(self) -> None:
        """A request's lines named its upstream, not what that had said."""
        lines = (SIGNATURE_HEADER, f"{NAMES.leaving}: 1")
        answer = response_bytes(200, b"done", *lines)
        self.upstreams[0].script = [b"PAUSE", b"PAUSE", answer]
        self.upstreams[1].script = [b"PAUSE", b"PAUSE", b"DONE"]
        await asyncio.gather(
            *(self.send("/read/x", request_id=f"at-{n}") for n in range(6))
        )
        shown = 0
        for number in range(6):
            found = self.lines_of(f"at-{number}")
            sent_to = {ln.fields.get("to") for ln in found}
            events = [ln.fields.get("event") for ln in found]
            self.assertEqual("leaving" in events, "one" in sent_to)
            shown += "leaving" in events
        self.assertGreater(shown, 0)

    async def test_refused_upload_names_no_cause(self) -> None:
        state = self.host.state
        state.host_config = replace(
            state.host_config, memory_bytes=MEMORY_BYTES
        )
        await self.send("/write/a", "POST", "upload", data=b"x" * UPLOAD_BYTES)
        self.expect_reason("upload", "memory")


if __name__ == "__main__":
    unittest.main()
