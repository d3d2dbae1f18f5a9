"""HTTP/1.1 of a stand-in upstream, with answers that can be spoilt."""

import asyncio
from dataclasses import fields
import json
from typing import Any

import httptools

from standins.upstream_model import Faults
from standins.upstream_model import Headers
from standins.upstream_model import Job
from standins.upstream_model import Seen
from standins.upstream_model import UpstreamStandIn
from wigeongw.adapters import http_upstream as names


class Connection(asyncio.Protocol):
    """HTTP/1.1 as a small server speaks it."""

    def __init__(self, upstream: UpstreamStandIn) -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self.job: Job | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for this caller."""
        if self.job is not None:
            self.upstream.cancel(self.job)

    def data_received(self, data: bytes) -> None:
        """Parse."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.url = b""
        self.headers: Headers = {}
        self.body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Serve the request."""
        url = httptools.parse_url(self.url)
        path = url.path.decode()
        body = b"".join(self.body)
        if path == names.REPORT_PATH:
            self.write(200, {}, self.upstream.report())
        elif path.startswith("/control/"):
            self._control(path, body)
        else:
            self._take(path, (url.query or b"").decode(), body)

    def reply(
        self,
        job: Job,
        status: int,
        headers: Headers,
        body: bytes,
        is_file: bool = False,
    ) -> None:
        """Answer a request, with the faults that are switched on."""
        if self.job is job:
            self.job = None
        faults = self.upstream.faults
        cut = faults.file_cut_at if is_file else -1
        bare = job.method == "HEAD"
        self.write(status, headers, body, cut, bare, faults)

    def write(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        body_cut: int = -1,
        bare: bool = False,
        faults: Faults | None = None,
    ) -> None:
        """Write an answer."""
        faults = faults or Faults()
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{n}: {v}" for n, v in headers.items()]
        if not faults.no_length:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        sent = b"" if bare else body
        if 0 <= body_cut < len(sent):
            self.transport.write(head + sent[:body_cut])
            self.transport.close()
            return
        raw = head + sent
        if faults.duplicate:
            raw += raw
        if faults.truncate_at >= 0:
            self.transport.write(raw[: faults.truncate_at])
            self.transport.close()
            return
        self.transport.write(raw)
        if faults.no_length:
            self.transport.close()

    def close(self) -> None:
        """Close the connection without an answer."""
        self.job = None
        self.transport.close()

    def _take(self, path: str, query: str, body: bytes) -> None:
        job = Job(
            self.headers.get(names.REQUEST_ID.lower(), ""),
            self.headers.get("idempotency-key", ""),
            self.parser.get_method().decode(),
            path,
            query,
            self.headers,
            body,
            self,
            True,
        )
        self.job = job
        self.upstream.take(job)

    def _control(self, path: str, body: bytes) -> None:
        upstream = self.upstream
        answer: Any = {}
        if path == "/control/faults":
            upstream.faults = Faults(**json.loads(body))
        elif path == "/control/cold":
            upstream.turn_cold(json.loads(body)["restart"])
        elif path == "/control/leave":
            upstream.leaving = True
        elif path == "/control/seen":
            answer = {
                f.name: getattr(upstream.seen, f.name) for f in fields(Seen)
            }
            answer["in_flight"] = upstream.in_flight()
            answer["cold"] = upstream.cold
        self.write(200, {}, json.dumps(answer).encode())
