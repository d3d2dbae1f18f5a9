"""The response to one client request over ASGI."""

import json

from wigeongw.daemon.asgi import Send
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.errors import ResponseTruncatedError


class ClientResponse:
    """Sends the response to one request and tracks how far it got.

    Attributes:
        close_connections: whether to send ``Connection: close``.
        is_started: whether the head was sent.
        is_ended: whether the end of the body was sent.
        upstream_ms: time that the upstream took for a buffered response; 0
            for others.
    """

    def __init__(self, send: Send, close_connections: bool) -> None:
        self.send = send
        self.close_connections = close_connections
        self.is_started = False
        self.is_ended = False
        self.upstream_ms = 0.0

    async def send_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the response head."""
        if self.close_connections:
            headers.append((b"connection", b"close"))
        self.is_started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def send_end(self) -> None:
        """Send the end of the body."""
        self.is_ended = True
        await self.send({"type": "http.response.body", "body": b""})

    async def send_problem(self, problem: Problem, identity: str) -> None:
        """Send a problem as ``application/problem+json``.

        Raises:
            ResponseTruncatedError: when a response head was already sent.
        """
        if self.is_started:
            raise ResponseTruncatedError(str(problem))
        body = json.dumps(
            {
                "type": "about:blank",
                "title": problem.title,
                "status": problem.status,
                "detail": problem.detail,
                "outcome": problem.outcome.value,
                "request": identity,
            }
        ).encode()
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"content-length", str(len(body)).encode()),
            (b"wigeongw-outcome", problem.outcome.value.encode()),
            (b"wigeongw-request-id", identity.encode()),
        ]
        if problem.retry_after_s:
            retry_after = str(problem.retry_after_s).encode()
            headers.append((b"retry-after", retry_after))
        if problem.status in (400, 408, 413):
            headers.append((b"connection", b"close"))
        await self.send_head(problem.status, headers)
        await self.send_chunk(body)
        await self.send_end()
