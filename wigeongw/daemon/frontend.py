"""The ASGI application that serves clients of an entry host.

Requests below the well-known path go to a Falcon application. Requests for
services are handled here without a framework, because the response of an
upstream must be streamed to the client as it arrives, be visibly truncated
when the upstream breaks off, and be cancelled when the client disconnects.
"""

import asyncio
from collections.abc import AsyncIterator
import random

from wigeongw.adapters.client_protocol import connection_of
from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import Connection
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.identifiers import new_random_id
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import Outcome
from wigeongw.daemon.asgi import App
from wigeongw.daemon.asgi import Receive
from wigeongw.daemon.asgi import Scope
from wigeongw.daemon.asgi import Send
from wigeongw.daemon.client_response import ClientResponse
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.download import Download
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.errors import ResponseTruncatedError
from wigeongw.daemon.exchange import Exchange
from wigeongw.daemon.exchange import Request
from wigeongw.daemon.headers import parse_headers
from wigeongw.daemon.headers import ParsedHeaders
from wigeongw.daemon.headers import response_headers
from wigeongw.daemon.idempotency_manager import digest
from wigeongw.daemon.idempotency_manager import IdempotencyManager
from wigeongw.daemon.idempotency_manager import OwnedClaim
from wigeongw.daemon.request_body import cancel_on_disconnect
from wigeongw.daemon.request_body import ClientDisconnectedError
from wigeongw.daemon.request_body import RequestBody
from wigeongw.daemon.request_body import STREAMED_BODY_BYTES
from wigeongw.daemon.slow_clients import SlowClients
from wigeongw.decisions.idempotency import Claim
from wigeongw.decisions.retry import IDEMPOTENT_METHODS
from wigeongw.settings.schema import Settings

WELL_KNOWN_PREFIX = "/.well-known/wigeongw"
# Larger request bodies without an idempotency key are streamed.
MAX_BUFFERED_BODY_BYTES = 65_536
MAX_KEYED_BODY_BYTES = 1 << 20
# What an answer takes that is passed on as it arrives.
STREAMED_ANSWER_BYTES = 48 << 10


class Frontend:
    """The ASGI application of an entry host.

    Attributes:
        local_app: application for paths below the well-known path.
        idempotency: manager of idempotency keys.
        host_name: name of this entry host.
        resources: what all connections of clients share.
        slow_clients: the exchanges that wait for their client.
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
        resources: ClientResources,
        slow_clients: SlowClients,
    ) -> None:
        self.resources = resources
        self.slow_clients = slow_clients
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
        self._count_request(1)
        try:
            await self._handle(
                scope, receive, ClientResponse(send, self.close_connections)
            )
        finally:
            self._count_request(-1)

    def _count_request(self, change: int) -> None:
        self.in_progress += change
        # Each has a connection to an upstream at most.
        self.resources.ledger.upstreams = self.in_progress

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
            owner = connection_of(scope)
            body = RequestBody(receive, parsed, self.resources, owner)
            try:
                outcome = await self._serve(
                    _RequestContext(scope, identity, service, parsed, body),
                    response,
                )
            finally:
                body.release()
        except Problem as problem:
            outcome = problem.outcome
            await response.send_problem(problem, identity)
        except ClientDisconnectedError:
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
        if not isinstance(body, bytes):
            body = self.slow_clients.receive(
                context.service, context.body.owner, body
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
        async with cancel_on_disconnect(context.body, response):
            if needs_key and context.parsed.key:
                return await self._serve_keyed(request, context, response)
            try:
                exchange = await self.dispatcher.dispatch(request)
            except Problem as problem:
                raise context.body.rejection or problem from problem
            return await self._relay_response(
                request, exchange, response, context.body.owner
            )

    async def _read_body(
        self, context: "_RequestContext", keyed: bool
    ) -> bytes | AsyncIterator[bytes]:
        """Buffer a small body or one with a key; stream any other body.

        A buffered body can be sent again by a retry. The body of a request
        with an idempotency key is always buffered, because its digest is part
        of the claim. One of unknown length is buffered until it is not small.

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
        if not keyed and length is not None and length > max_bytes:
            context.body.hold(STREAMED_BODY_BYTES)
            return context.body.stream()
        try:
            async with asyncio.timeout(seconds(context.parsed.deadline_ms)):
                if not keyed and length is None:
                    return await context.body.read_unless_long(max_bytes)
                return await context.body.read(max_bytes)
        except TimeoutError as error:
            raise Problem(408, "The body came too slowly") from error

    async def _relay_response(
        self,
        request: Request,
        exchange: Exchange,
        response: "ClientResponse",
        owner: Connection | None,
    ) -> Outcome:
        """Stream the response of an upstream to the client."""
        whole = exchange.buffered_body
        size = STREAMED_ANSWER_BYTES if whole is None else len(whole)
        if whole is not None:
            # Its upstream is done with it, however slowly the client reads.
            await exchange.close(is_complete=True)
        holds_slot = whole is None
        with self.resources.answer(owner, size):
            return await self._stream_response(
                request, exchange, response, owner if holds_slot else None
            )

    async def _stream_response(
        self,
        request: Request,
        exchange: Exchange,
        response: "ClientResponse",
        owner: Connection | None,
    ) -> Outcome:
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
                with self.slow_clients.wait(request.service, owner):
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
        context: "_RequestContext",
        response: "ClientResponse",
    ) -> Outcome:
        """Serve a request with an idempotency key, at most once."""
        body = request.body if isinstance(request.body, bytes) else b""
        body_digest = digest(
            request.method.encode(), request.target.encode(), body
        )
        remaining_ms = request.ends_at - self.clock.now()
        found = await self.idempotency.claim(
            request.service, context.parsed.key, body_digest, remaining_ms
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
        return await self._relay_response(
            request, exchange, response, context.body.owner
        )

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


class _RequestContext:
    """One request and what was parsed from it."""

    def __init__(
        self,
        scope: Scope,
        identity: str,
        service: str,
        parsed: ParsedHeaders,
        body: RequestBody,
    ) -> None:
        self.identity = identity
        self.service = service
        self.parsed = parsed
        self.body = body
        self.method: str = scope["method"]
        raw_path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        self.target = f"{raw_path}?{query}" if query else raw_path
