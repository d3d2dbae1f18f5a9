"""Tests that a request's id leads to the cause of its failure.

Each of these failures had no line of its own, or none that named the cause.
"""

from dataclasses import replace
import os
import pathlib
import tempfile
import unittest

import aiohttp
from typer.testing import CliRunner

from wigeongw.commands import main
from wigeongw.commands import record
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import SIGNATURE_HEADER

TIMEOUT_MS = 500.0
HEAD = f"HTTP/1.1 200 OK\r\n{SIGNATURE_HEADER}\r\n".encode()
LONG_START = HEAD + b"Content-Length: 1000000000000\r\n\r\n" + b"x" * 1_100_000
MEMORY_BYTES = 10_000_000
UPLOAD_BYTES = 5_000_000


class FindingRecordTest(HostCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "log"
        fd = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        self.stack.callback(os.close, fd)
        self.host.log.fd = fd
        await self.publish_all(TIMEOUT_MS)

    def lines_of(self, request_id: str) -> list[dict[str, str]]:
        """Return the fields of what ``wigeongw record`` prints of an id."""
        self.host.log.flush()
        arguments = ["record", str(self.path), "--request", request_id]
        result = CliRunner().invoke(main.app, arguments)
        return [record.parse(line) for line in result.output.splitlines()]

    def expect_reason(self, request_id: str, reason: str) -> None:
        reasons = [line.get("reason") for line in self.lines_of(request_id)]
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

    async def test_refused_upload_names_no_cause(self) -> None:
        state = self.host.state
        state.host_config = replace(
            state.host_config, memory_bytes=MEMORY_BYTES
        )
        await self.send("/write/a", "POST", "upload", data=b"x" * UPLOAD_BYTES)
        self.expect_reason("upload", "memory")


if __name__ == "__main__":
    unittest.main()
