"""HTTP/1.1 server of a stand-in upstream, with faulty responses on demand."""

import asyncio
from dataclasses import fields
import json
from typing import Any

import httptools

from standins.upstream_model import Faults
from standins.upstream_model import Headers
from standins.upstream_model import Job
from standins.upstream_model import UpstreamStandIn
from standins.upstream_model import UpstreamStats
from wigeongw.adapters import http_upstream_client


class Connection(asyncio.Protocol):
    """One connection, with at most one request at a time.

    Attributes:
        upstream: The upstream that executes the requests.
        job: The request that is being executed, if any.
    """

    def __init__(self, upstream: UpstreamStandIn) -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self.job: Job | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that runs for this connection."""
        if self.job is not None:
            self.upstream.cancel(self.job)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Reset the state of the parsed request."""
        self.url = b""
        self.headers: Headers = {}
        self.body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Return a load report, handle a control call or queue a request."""
        url = httptools.parse_url(self.url)
        path = url.path.decode()
        body = b"".join(self.body)
        if path == http_upstream_client.REPORT_PATH:
            self.write(200, {}, self.upstream.report())
        elif path.startswith("/control/"):
            self._handle_control(path, body)
        else:
            self._accept(path, (url.query or b"").decode(), body)

    def respond(
        self,
        job: Job,
        status: int,
        headers: Headers,
        body: bytes,
        is_file: bool = False,
    ) -> None:
        """Send the response of a request, with the active faults."""
        if self.job is job:
            self.job = None
        faults = self.upstream.faults
        cut_body_at = faults.file_cut_at if is_file else -1
        without_body = job.method == "HEAD"
        self.write(status, headers, body, cut_body_at, without_body, faults)

    def write(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        cut_body_at: int = -1,
        without_body: bool = False,
        faults: Faults | None = None,
    ) -> None:
        """Write a response.

        Args:
            status: Status code.
            headers: Headers other than Content-Length.
            body: Complete body.
            cut_body_at: Number of body bytes after which the connection
                closes; -1 to send all.
            without_body: Whether the body is left out, as for HEAD.
            faults: Faults to apply; none by default.
        """
        faults = faults or Faults()
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{n}: {v}" for n, v in headers.items()]
        if not faults.no_length:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        sent = b"" if without_body else body
        if 0 <= cut_body_at < len(sent):
            self.transport.write(head + sent[:cut_body_at])
            self.transport.close()
            return
        response = head + sent
        if faults.duplicate:
            response += response
        if faults.truncate_at >= 0:
            self.transport.write(response[: faults.truncate_at])
            self.transport.close()
            return
        if faults.stop_at >= 0:
            self.transport.write(response[: faults.stop_at])
            return
        self.transport.write(response)
        if faults.no_length:
            self.transport.close()

    def close(self) -> None:
        """Close the connection without a response."""
        self.job = None
        self.transport.close()

    def _accept(self, path: str, query: str, body: bytes) -> None:
        job = Job(
            self.headers.get(http_upstream_client.REQUEST_ID.lower(), ""),
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
        self.upstream.accept(job)

    def _handle_control(self, path: str, body: bytes) -> None:
        upstream = self.upstream
        result: Any = {}
        if path == "/control/faults":
            upstream.faults = Faults(**json.loads(body))
        elif path == "/control/cold":
            upstream.begin_cold_start(json.loads(body)["restart"])
        elif path == "/control/leave":
            upstream.is_leaving = True
        elif path == "/control/seen":
            result = {
                f.name: getattr(upstream.stats, f.name)
                for f in fields(UpstreamStats)
            }
            result["in_flight"] = upstream.in_flight()
            result["cold"] = upstream.is_cold
        self.write(200, {}, json.dumps(result).encode())
