"""One request of a client, from its head to the last byte of its response."""

import asyncio
from collections.abc import Coroutine
import contextlib
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

from wigeongw.adapters.body_stream import BodyStream
from wigeongw.adapters.client_protocol import connection_of
from wigeongw.adapters.client_protocol import RAW_TARGET_EXTENSION
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.http_headers import HOP_BY_HOP_HEADERS
from wigeongw.core.records import Outcome
from wigeongw.core.site import ClientAccount
from wigeongw.core.site import Route
from wigeongw.decisions import queue_order
from wigeongw.gateway.asgi import Receive
from wigeongw.gateway.asgi import Scope
from wigeongw.gateway.asgi import Send
from wigeongw.gateway.errors import OutcomeUnknownError
from wigeongw.gateway.errors import RequestError
from wigeongw.gateway.errors import ResponseTruncatedError
from wigeongw.gateway.forwarder import Forwarder
from wigeongw.gateway.quota_limiter import QuotaLimiter
from wigeongw.gateway.request import Request
from wigeongw.gateway.request_admission import RequestAdmission
from wigeongw.gateway.request_head import Headers
from wigeongw.gateway.request_head import read_head
from wigeongw.gateway.request_head import RequestHead
from wigeongw.gateway.request_head import split_tokens
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.upstream_sender import Attempt
from wigeongw.ports.dialect import Dialect
from wigeongw.ports.errors import BodyError

T = TypeVar("T")

# Deadline of a request that specifies none.
DEFAULT_DEADLINE_MS = 5_000.0
# How long the body of a refused request is discarded, so that its client reads
# the refusal instead of a reset.
DISCARD_TIMEOUT_MS = 2_000.0
# How long an upstream may send nothing in the middle of a body. The timeout of
# the route applies as well.
MAX_BODY_SILENCE_MS = 15_000.0
CLOSE_HEADER = (b"connection", b"close")
HTTP_UNAUTHORIZED = 401


class _ClientDisconnectedError(Exception):
    """The client closed its connection."""


@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What all exchanges of a host share.

    Attributes:
        drain_ended: done when a graceful stop can wait no longer.
    """

    state: GatewayState
    admission: RequestAdmission
    quotas: QuotaLimiter
    forwarder: Forwarder
    dialect: Dialect
    drain_ended: asyncio.Future[None]


class ClientExchange:
    """One request and its response.

    Attributes:
        arrived_at: when the request's head was read, monotonic clock.
        request_id: ID that the client sent; ``-`` when it sent none.
        client_deadline_ms: deadline that the client sent, if any.
        held_bytes: bytes of the request body that are held.
        connection: the client's connection, the owner of what is held; None
            if the server does not name it.
        has_unread_body: whether a part of the request body was not read.
    """

    def __init__(
        self,
        context: ExchangeContext,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        self.context = context
        self.admission = context.admission
        self.state = context.state
        self.scope = scope
        self.receive = receive
        self.send = send
        self.arrived_at = self.state.clock.now()
        self.request_id = "-"
        self.route: Route | None = None
        self.account: ClientAccount | None = None
        self.service = ""
        self.client_deadline_ms: float | None = None
        self.started = False
        self.held_bytes = 0
        self.connection = connection_of(scope)
        self.has_unread_body = False

    async def run(self) -> None:
        """Process the request and log its outcome."""
        try:
            await self._process()
        finally:
            self.admission.release(self.held_bytes, self.connection)

    async def _process(self) -> None:
        try:
            attempt = await self._receive_and_forward()
            await self._send_response(attempt)
            reply = attempt.reply
            status = reply.status if reply else 0
            self._log_request(status, attempt.outcome, "answered", attempt)
        except RequestError as error:
            self._log_request(error.status, error.outcome, error.reason, None)
            await self._send_error(error)
        except ResponseTruncatedError as error:
            self._log_request(0, Outcome.RAN, error.reason, None)
            # The server then closes the connection, so that the client sees
            # that the body is not complete.
            raise
        except _ClientDisconnectedError:
            self._log_request(0, Outcome.UNKNOWN, "client_gone", None)

    # Receiving the request

    async def _receive_and_forward(self) -> Attempt:
        head = read_head(
            self.scope["headers"],
            self.context.dialect.names,
            self.admission.limits(),
            self.admission.has_accounts,
        )
        self.request_id = head.request_id or "-"
        path = self.scope["raw_path"].decode("latin-1")
        self.route = self.admission.match_route(head, path)
        self.account = self.admission.find_account(head, self.route)
        self.admission.check_drain_deadline(
            self.arrived_at + self.route.timeout_ms
        )
        self.client_deadline_ms = head.deadline_ms
        timeout_ms = min(
            head.deadline_ms or DEFAULT_DEADLINE_MS, self.route.timeout_ms
        )
        deadline_at = self.arrived_at + timeout_ms
        body = await self._read_body(head, deadline_at)
        # The host may have been told to stop while the body arrived.
        self.admission.check_drain_deadline(deadline_at)
        await self.context.quotas.admit(self.account, self.request_id)
        self.service = self.state.split(self.route).next()
        request = Request(
            head.request_id,
            self.scope["method"],
            self._request_target(),
            self._with_account(head.headers),
            body,
            self.route,
            self.service,
            self.arrived_at,
            deadline_at,
            self._is_overdue(self.route, head.deadline_ms),
            self.account,
        )
        return await self._until_disconnect(
            self.context.forwarder.forward(request)
        )

    def _with_account(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return headers with the name of the request's account, if any."""
        if self.account is None:
            return headers
        name = self.context.dialect.names.account.encode()
        return (*headers, (name, self.account.name.encode("latin-1")))

    def _is_overdue(self, route: Route, deadline_ms: float | None) -> bool:
        """Return whether the client retries too late for the objective.

        The time that the client has already waited is estimated from the
        typical deadline on the route. The deadline is also added to that
        typical value.
        """
        if deadline_ms is None:
            return False
        typical = self.state.typical_timeout(route)
        waited_ms = typical.estimate_waited_ms(deadline_ms)
        typical.learn(deadline_ms)
        estimate = self.state.work_estimate(route, self.service)
        return queue_order.is_overdue(
            waited_ms, route.objective_ms, estimate.mean_ms
        )

    async def _until_disconnect(self, operation: Coroutine[Any, Any, T]) -> T:
        """Run an operation; cancel it when it can no longer be delivered.

        Raises:
            _ClientDisconnectedError: when the client disconnected first.
            OutcomeUnknownError: when the host is about to be killed.
        """
        running = asyncio.create_task(operation)
        disconnect = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait(
                (running, disconnect, self.context.drain_ended),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if running.done():
                return running.result()
            if disconnect.done():
                raise _ClientDisconnectedError
            raise OutcomeUnknownError(504, "stopping")
        finally:
            disconnect.cancel()
            if not running.done():
                running.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await running
            # A failed task refers to this frame, and the frame to the request
            # body, which would stay until the next garbage collection.
            del running, disconnect

    async def _wait_for_disconnect(self) -> None:
        while (await self.receive())["type"] != "http.disconnect":
            pass

    def _hold(self, size: int) -> None:
        """Hold further bytes of the body, until the request has ended."""
        if size > 0:
            whole = self.held_bytes + size
            self.admission.hold(size, whole, self.connection)
            self.held_bytes = whole

    async def _read_body(
        self, head: RequestHead, deadline_at: float
    ) -> bytes | bytearray:
        """Read the request body into memory.

        Raises:
            RequestError: when it is too large, too slow, or does not fit.
        """
        if head.length == 0:
            return b""
        self.has_unread_body = True
        max_bytes = self.admission.limits().body_bytes
        self._hold(head.length or 0)
        # A body that grows would take up to twice its size for a moment.
        body = bytearray(head.length or 0)
        size = 0
        remaining_ms = deadline_at - self.state.clock.now()
        try:
            async with asyncio.timeout(seconds(max(0.0, remaining_ms))):
                while True:
                    message = await self.receive()
                    if message["type"] == "http.disconnect":
                        raise _ClientDisconnectedError
                    piece = message.get("body", b"")
                    body[size : size + len(piece)] = piece
                    size += len(piece)
                    if size > max_bytes:
                        raise RequestError(413, "body_too_large")
                    self._hold(size - self.held_bytes)
                    is_last = not message.get("more_body", False)
                    # Else they would stay until the next piece has come.
                    del message, piece
                    if is_last:
                        self.has_unread_body = False
                        self.admission.has_arrived(self.connection)
                        return body
        except TimeoutError as error:
            raise RequestError(408, "body_too_slow") from error

    def _request_target(self) -> bytes:
        extensions = self.scope.get("extensions") or {}
        target = extensions.get(RAW_TARGET_EXTENSION, {}).get("raw", b"")
        if target.startswith(b"/"):
            return bytes(target)
        query = self.scope["query_string"]
        path = self.scope["raw_path"]
        return bytes(path + b"?" + query if query else path)

    # Sending the response

    async def _send_response(self, attempt: Attempt) -> None:
        reply = attempt.reply
        assert reply is not None
        headers = self._response_headers(reply)
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": reply.status,
                "headers": headers,
            }
        )
        has_more = reply.rest is not None
        await self._send_counted(reply.body, has_more)
        if has_more:
            reply.body = b""
            try:
                await self._until_disconnect(self._stream_body(attempt, reply))
            except OutcomeUnknownError as error:
                raise ResponseTruncatedError(
                    "stopping", "the host stops"
                ) from error

    async def _stream_body(
        self, attempt: Attempt, reply: BufferedReply
    ) -> None:
        assert reply.rest is not None
        assert attempt.connection is not None
        is_complete = False
        try:
            while True:
                chunk = await self._next_chunk(attempt.connection, reply.rest)
                if chunk is None:
                    break
                await self._send_counted(chunk, True)
            is_complete = True
            await self._send_body(b"", False)
        finally:
            if is_complete:
                self.context.forwarder.sender.pool.release(
                    attempt.placement.target, attempt.connection
                )
            else:
                attempt.connection.close()

    async def _next_chunk(
        self, connection: UpstreamConnection, rest: BodyStream
    ) -> bytes | None:
        """Return the next part of a long body; None at its end.

        The body must end within the route's timeout, whether its upstream
        sends bytes without end or none at all. What has arrived completely is
        delivered also later, since the upstream is not waited for.

        Raises:
            ResponseTruncatedError: when the rest does not arrive in time or
                broke off.
        """
        assert self.route is not None
        ends_at = self.arrived_at + self.route.timeout_ms
        wait_ms = min(ends_at - self.state.clock.now(), MAX_BODY_SILENCE_MS)
        if connection.is_complete:
            wait_ms = MAX_BODY_SILENCE_MS
        if wait_ms <= 0.0:
            raise ResponseTruncatedError("body_timeout", "no end in time")
        try:
            async with asyncio.timeout(seconds(wait_ms)):
                return await rest.get()
        except BodyError as error:
            raise ResponseTruncatedError("body_broken", str(error)) from error
        except TimeoutError as error:
            raise ResponseTruncatedError(
                "body_timeout", f"nothing for {wait_ms:.0f} ms"
            ) from error

    async def _send_counted(self, body: bytes, has_more: bool) -> None:
        """Send a part of an answer, which may wait for its client."""
        with self.admission.resources.answer(self.connection, len(body)):
            await self._send_body(body, has_more)

    async def _send_body(self, body: bytes, has_more: bool) -> None:
        await self.send(
            {"type": "http.response.body", "body": body, "more_body": has_more}
        )

    def _response_headers(self, reply: BufferedReply) -> Headers:
        connection_tokens = split_tokens(
            [
                value.decode("latin-1")
                for name, value in reply.headers
                if name == b"connection"
            ]
        )
        dropped = HOP_BY_HOP_HEADERS | connection_tokens | {"content-length"}
        headers = [
            (name, value)
            for name, value in reply.headers
            if name.decode("latin-1") not in dropped
        ]
        length = reply.fields.get("content-length")
        if reply.rest is None and self.scope["method"] != "HEAD":
            length = str(len(reply.body))
        if length is not None:
            headers.append((b"content-length", length.encode()))
        if self.state.stopping:
            headers.append(CLOSE_HEADER)
        return headers

    async def _send_error(self, error: RequestError) -> None:
        body = f"{error.reason}\n".encode()
        headers: Headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
        ]
        names = self.context.dialect.names
        if self.request_id != "-":
            headers.append(
                (names.request_id.encode(), self.request_id.encode("latin-1"))
            )
        if error.status == HTTP_UNAUTHORIZED:
            scheme = names.key_scheme.capitalize()
            headers.append((b"www-authenticate", scheme.encode()))
        if error.retry_after_ms:
            retry_after_s = error.retry_after_ms / MS_PER_S
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        if (
            self.state.stopping
            or self.has_unread_body
            or error.status in (400, 408, 413)
        ):
            headers.append(CLOSE_HEADER)
        await self.send(
            {
                "type": "http.response.start",
                "status": error.status,
                "headers": headers,
            }
        )
        if self.has_unread_body and error.status != 408:
            await self._send_body(body, True)
            await self._discard_body()
            body = b""
        await self._send_body(body, False)

    async def _discard_body(self) -> None:
        """Read the rest of a refused request's body, and keep nothing."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds(DISCARD_TIMEOUT_MS)):
                while (await self.receive()).get("more_body", False):
                    pass

    def _log_request(
        self,
        status: int,
        outcome: Outcome,
        reason: str,
        attempt: Attempt | None,
    ) -> None:
        elapsed_ms = self.state.clock.now() - self.arrived_at
        kind = self.route.kind.value if self.route else "-"
        metrics = self.state.metrics
        metrics.count("requests_total", kind, str(status), reason)
        metrics.time(elapsed_ms, "request_ms", kind, outcome.value)
        view = self.state.view
        configuration = view.configuration
        self.state.log.add(
            "route",
            id=self.request_id,
            route=self.route.name if self.route else None,
            account=self.account.name if self.account else None,
            service=self.service or None,
            to=attempt.placement.target.identity if attempt else None,
            revision=configuration.revision if configuration else 0,
            era=view.position.era,
            position=view.position.revision,
            view_age_ms=self.state.clock.now() - view.store_responded_ms,
            status=status,
            outcome=outcome.value,
            reason=reason,
            patience_ms=self.client_deadline_ms,
            took_ms=elapsed_ms,
        )
