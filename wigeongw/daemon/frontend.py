"""The ASGI application that serves clients of an entry host.

Requests below the well-known path go to a Falcon application. Requests for
services are handled here without a framework, because the response of an
upstream must be streamed to the client as it arrives, be visibly truncated
when the upstream breaks off, and be cancelled when the client disconnects.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import json
import random
from typing import Any

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.identifiers import new_random_id
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import Outcome
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.dispatcher import Exchange
from wigeongw.daemon.dispatcher import Request
from wigeongw.daemon.download import Download
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.errors import ResponseTruncatedError
from wigeongw.daemon.headers import parse_headers
from wigeongw.daemon.headers import ParsedHeaders
from wigeongw.daemon.headers import response_headers
from wigeongw.daemon.idempotency_manager import digest
from wigeongw.daemon.idempotency_manager import IdempotencyManager
from wigeongw.daemon.idempotency_manager import OwnedClaim
from wigeongw.decisions.idempotency import Claim
from wigeongw.decisions.retry import IDEMPOTENT_METHODS
from wigeongw.settings.schema import Settings

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

WELL_KNOWN_PREFIX = "/.well-known/wigeongw"
# Larger request bodies without an idempotency key are streamed.
MAX_BUFFERED_BODY_BYTES = 65_536
MAX_KEYED_BODY_BYTES = 1 << 20


class Frontend:
    """The ASGI application of an entry host.

    Attributes:
        local_app: application for paths below the well-known path.
        idempotency: manager of idempotency keys.
        host_name: name of this entry host.
        in_progress: number of service requests in progress.
        close_connections: whether responses tell clients to close their
            connection.
    """

    def __init__(
        self,
        local_app: App,
        dispatcher: Dispatcher,
        idempotency: IdempotencyManager,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        host_name: str,
    ) -> None:
        self.local_app = local_app
        self.dispatcher = dispatcher
        self.idempotency = idempotency
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.host_name = host_name
        self.in_progress = 0
        self.close_connections = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        if scope["path"].startswith(WELL_KNOWN_PREFIX):
            await self.local_app(scope, receive, send)
            return
        self.in_progress += 1
        try:
            await self._handle(
                scope, receive, ClientResponse(send, self.close_connections)
            )
        finally:
            self.in_progress -= 1

    async def _handle(
        self, scope: Scope, receive: Receive, response: "ClientResponse"
    ) -> None:
        started_at = self.clock.now()
        identity = new_random_id(self.rng)
        service = "-"
        outcome = Outcome.NOT_RUN
        try:
            settings = self.dispatcher.permit_manager.site.settings
            if settings is None:
                raise Problem(
                    503, "Not ready", "no settings yet", retry_after_s=1
                )
            service = self._find_service(settings, scope["path"])
            parsed = parse_headers(
                scope, settings.services[service], self.host_name
            )
            body = _RequestBody(receive, parsed)
            outcome = await self._serve(
                _RequestContext(scope, identity, service, parsed, body),
                response,
            )
        except Problem as problem:
            outcome = problem.outcome
            await response.send_problem(problem, identity)
        except _ClientDisconnectedError:
            self.metrics.count("client_gone", service)
        finally:
            elapsed_ms = self.clock.now() - started_at
            self.metrics.time(elapsed_ms, "request", service, outcome.value)
            if response.upstream_ms:
                overhead_ms = elapsed_ms - response.upstream_ms
                self.metrics.time(overhead_ms, "added", service)

    @staticmethod
    def _find_service(settings: Settings, path: str) -> str:
        """Return the service whose path prefix is the longest match.

        Raises:
            Problem: 404 when no service matches.
        """
        best_match = ("", "")
        for service, service_settings in settings.services.items():
            for prefix in service_settings.paths:
                base = prefix.rstrip("/")
                matches = path == base or path.startswith(base + "/")
                if matches and len(prefix) > len(best_match[0]):
                    best_match = (prefix, service)
        if not best_match[1]:
            raise Problem(404, "No such service", "no service has this path")
        return best_match[1]

    async def _serve(
        self, context: "_RequestContext", response: "ClientResponse"
    ) -> Outcome:
        """Serve one request; cancel it when the client disconnects.

        Returns:
            The outcome of the request.

        Raises:
            Problem: when the request failed before a response was sent.
        """
        ends_at = self.clock.now() + context.parsed.deadline_ms
        needs_key = context.method not in IDEMPOTENT_METHODS
        if (
            needs_key
            and not context.parsed.key
            and context.parsed.key_required
        ):
            raise Problem(
                400,
                "An Idempotency-Key is required",
                f"{context.method} requests of {context.service} need one",
            )
        body = await self._read_body(
            context, needs_key and bool(context.parsed.key)
        )
        request = Request(
            context.identity,
            context.service,
            context.method,
            context.target,
            context.parsed.headers,
            body or None,
            ends_at,
        )
        async with _cancel_on_disconnect(context.body, response):
            if needs_key and context.parsed.key:
                return await self._serve_keyed(
                    request, context.parsed, response
                )
            try:
                exchange = await self.dispatcher.dispatch(request)
            except Problem as problem:
                raise context.body.rejection or problem from problem
            return await self._relay_response(request, exchange, response)

    async def _read_body(
        self, context: "_RequestContext", keyed: bool
    ) -> bytes | AsyncIterator[bytes]:
        """Buffer a small body or one with a key; stream any other body.

        A buffered body can be sent again by a retry. The body of a request
        with an idempotency key is always buffered, because its digest is part
        of the claim.

        Args:
            context: request to read the body of.
            keyed: whether the request has an idempotency key.

        Returns:
            The whole body, or a stream of its chunks.

        Raises:
            Problem: when the body is too large or arrives too slowly.
        """
        max_bytes = MAX_KEYED_BODY_BYTES if keyed else MAX_BUFFERED_BODY_BYTES
        length = context.parsed.length
        if not keyed and (length is None or length > max_bytes):
            return context.body.stream()
        try:
            async with asyncio.timeout(seconds(context.parsed.deadline_ms)):
                return await context.body.read(max_bytes)
        except TimeoutError as error:
            raise Problem(408, "The body came too slowly") from error

    async def _relay_response(
        self, request: Request, exchange: Exchange, response: "ClientResponse"
    ) -> Outcome:
        """Stream the response of an upstream to the client."""
        reply = exchange.reply
        headers = response_headers(
            reply.headers, request.identity, Outcome.RAN
        )
        download = Download(self.dispatcher, request, exchange)
        if exchange.buffered_body is not None:
            response.upstream_ms = exchange.elapsed_ms
        is_complete = False
        try:
            await response.send_head(reply.status, headers)
            async for chunk in download.chunks():
                await response.send_chunk(chunk)
            is_complete = True
            await response.send_end()
        except ResponseTruncatedError:
            self.metrics.count("answer_cut", request.service)
            raise
        finally:
            await download.close(is_complete)
        return Outcome.RAN

    async def _serve_keyed(
        self,
        request: Request,
        parsed: ParsedHeaders,
        response: "ClientResponse",
    ) -> Outcome:
        """Serve a request with an idempotency key, at most once."""
        body = request.body if isinstance(request.body, bytes) else b""
        body_digest = digest(
            request.method.encode(), request.target.encode(), body
        )
        remaining_ms = request.ends_at - self.clock.now()
        found = await self.idempotency.claim(
            request.service, parsed.key, body_digest, remaining_ms
        )
        if isinstance(found, Claim):
            return await self._replay(request, found, response)
        try:
            exchange = await self.dispatcher.dispatch(
                request, lambda: self.idempotency.may_dispatch(found)
            )
        except Problem as problem:
            await self._record_failure(found, problem)
            raise
        except asyncio.CancelledError:
            self.idempotency.record_unknown(found)
            raise
        self._record_response(found, exchange)
        return await self._relay_response(request, exchange, response)

    async def _replay(
        self, request: Request, claim: Claim, response: "ClientResponse"
    ) -> Outcome:
        headers = response_headers(
            claim.headers, request.identity, Outcome.RAN
        )
        headers.append((b"idempotent-replayed", b"true"))
        await response.send_head(claim.status, headers)
        await response.send_chunk(claim.body)
        await response.send_end()
        return Outcome.RAN

    async def _record_failure(
        self, owned_claim: OwnedClaim, problem: Problem
    ) -> None:
        if problem.outcome is Outcome.NOT_RUN:
            await self.idempotency.release(owned_claim)
        else:
            self.idempotency.record_unknown(owned_claim)

    def _record_response(
        self, owned_claim: OwnedClaim, exchange: Exchange
    ) -> None:
        reply = exchange.reply
        self.idempotency.record_response(
            owned_claim, reply.status, reply.headers, exchange.buffered_body
        )


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


class _ClientDisconnectedError(Exception):
    """The client closed its connection before the response ended."""


class _RequestContext:
    """One request and what was parsed from it."""

    def __init__(
        self,
        scope: Scope,
        identity: str,
        service: str,
        parsed: ParsedHeaders,
        body: "_RequestBody",
    ) -> None:
        self.identity = identity
        self.service = service
        self.parsed = parsed
        self.body = body
        self.method: str = scope["method"]
        raw_path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        self.target = f"{raw_path}?{query}" if query else raw_path


class _RequestBody:
    """The body of a request; it can be read once.

    Attributes:
        max_bytes: largest accepted body.
        is_ended: whether the whole body was received.
        size: number of bytes received so far.
        rejection: set when a streamed body exceeded ``max_bytes``; replaces
            the upstream error that the aborted body causes.
        fully_read: set when the whole body was received.
    """

    def __init__(self, receive: Receive, parsed: ParsedHeaders) -> None:
        self.receive = receive
        self.max_bytes = parsed.max_body_bytes
        self.is_ended = parsed.length == 0
        self.size = 0
        self.rejection: Problem | None = None
        self.fully_read = asyncio.Event()
        if self.is_ended:
            self.fully_read.set()

    async def read(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Raises:
            Problem: when the body is larger than ``max_bytes``.
        """
        if self.is_ended:
            return b""
        chunks: list[bytes] = []
        async for chunk in self.stream():
            chunks.append(chunk)
            if self.size > max_bytes:
                raise Problem(
                    413,
                    "The body is too large",
                    f"at most {max_bytes} bytes with an Idempotency-Key",
                )
        return b"".join(chunks)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive."""
        while not self.is_ended:
            message = await self.receive()
            if message["type"] != "http.request":
                raise _ClientDisconnectedError
            chunk = message.get("body", b"")
            self.size += len(chunk)
            if self.size > self.max_bytes:
                self.rejection = Problem(
                    413,
                    "The body is too large",
                    f"at most {self.max_bytes} bytes",
                    Outcome.UNKNOWN,
                )
                raise self.rejection
            if chunk:
                yield chunk
            if not message.get("more_body"):
                self.is_ended = True
                self.fully_read.set()

    async def wait_disconnected(self) -> None:
        """Wait until the client closes its connection.

        Waits for the end of the body first, since a body and a disconnect are
        received from the same ASGI channel.
        """
        await self.fully_read.wait()
        while (await self.receive())["type"] != "http.disconnect":
            pass


@contextlib.asynccontextmanager
async def _cancel_on_disconnect(
    body: _RequestBody, response: ClientResponse
) -> AsyncIterator[None]:
    """Cancel the enclosed block when the client closes its connection.

    Raises:
        _ClientDisconnectedError: when the block was cancelled for that reason.
    """
    task = asyncio.current_task()
    assert task is not None
    disconnected = False

    async def watch() -> None:
        nonlocal disconnected
        await body.wait_disconnected()
        if not response.is_ended:
            disconnected = True
            task.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not disconnected:
            raise
        task.uncancel()
        raise _ClientDisconnectedError from None
    finally:
        watcher.cancel()
