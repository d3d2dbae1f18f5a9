"""The HTTP side towards clients: an ASGI application."""

import asyncio
import contextlib

from wigeongw.adapters.http_server import TARGET
from wigeongw.adapters.upstream_connection import Reply
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.records import Outcome
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Route
from wigeongw.daemon.headers import HOP_BY_HOP
from wigeongw.decisions import queueing
from wigeongw.decisions.routing import find_route
from wigeongw.gateway.errors import AnswerCutError
from wigeongw.gateway.errors import RequestError
from wigeongw.gateway.forwarder import Attempt
from wigeongw.gateway.forwarder import Forwarder
from wigeongw.gateway.forwarder import Request
from wigeongw.gateway.own_answers import Receive
from wigeongw.gateway.own_answers import Scope
from wigeongw.gateway.own_answers import Send
from wigeongw.gateway.request_head import Headers
from wigeongw.gateway.request_head import read_head
from wigeongw.gateway.request_head import RequestHead
from wigeongw.gateway.request_head import tokens
from wigeongw.gateway.state import HostState
from wigeongw.ports.dialect import Dialect
from wigeongw.ports.errors import BodyError

# For a request that names no deadline.
DEADLINE_MS = 5_000.0
NOT_CONFIGURED_MS = 200.0
STOPPING_MS = 20.0
# Time for an answer to reach its client before this host is killed.
LAST_ANSWER_MS = 300.0
CLOSE = (b"connection", b"close")


class _ClientGoneError(Exception):
    """The client has closed its connection."""


class Front:
    """Reads requests, has them forwarded, answers."""

    def __init__(
        self, state: HostState, forwarder: Forwarder, dialect: Dialect
    ) -> None:
        self.state = state
        self.forwarder = forwarder
        self.dialect = dialect
        self.in_progress = 0
        self.nobody = asyncio.Event()
        self.nobody.set()
        self.killed_at: float | None = None

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        self.in_progress += 1
        self.nobody.clear()
        try:
            await _Exchange(self, scope, receive, send).run()
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self.nobody.set()

    async def idle(self, until: float) -> None:
        """Wait until no request is in progress, or a time has come."""
        left = until - self.state.clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds(max(0.0, left))):
                await self.nobody.wait()

    def find(self, fields: RequestHead, path: str) -> Route:
        """Find the route of a request.

        Raises:
            RequestError: when there is none, or no configuration yet.
        """
        if self.state.view.configuration is None:
            raise RequestError(
                503, "no_configuration", retry_after_ms=NOT_CONFIGURED_MS
            )
        route = find_route(self.state.index, fields.host, path)
        if route is None:
            raise RequestError(404, "no_route")
        return route

    def limits(self) -> ClientLimits:
        """Return what clients may send now."""
        configuration = self.state.view.configuration
        return configuration.limits if configuration else ClientLimits()

    def check_time_to_stop(self, route: Route, now: float) -> None:
        """Refuse what might not end before this host is killed.

        Raises:
            RequestError: it has not run; another host should be asked.
        """
        if self.killed_at is None:
            return
        if now + route.timeout_ms + LAST_ANSWER_MS > self.killed_at:
            raise RequestError(503, "stopping", retry_after_ms=STOPPING_MS)


class _Exchange:
    """One request and its answer."""

    def __init__(
        self, front: Front, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.front = front
        self.state = front.state
        self.scope = scope
        self.receive = receive
        self.send = send
        self.arrived = self.state.clock.now()
        self.identity = "-"
        self.route: Route | None = None
        self.service = ""
        self.patience_ms: float | None = None
        self.started = False

    async def run(self) -> None:
        """Answer, and log what became of the request."""
        try:
            attempt = await self._serve()
            await self._pass_on(attempt)
            reply = attempt.reply
            status = reply.status if reply else 0
            self._log(status, attempt.outcome, "answered", attempt)
        except RequestError as error:
            self._log(error.status, error.outcome, error.reason, None)
            await self._answer_error(error)
        except _ClientGoneError:
            self._log(0, Outcome.UNKNOWN, "client_gone", None)

    # Reading

    async def _serve(self) -> Attempt:
        fields = read_head(
            self.scope["headers"],
            self.front.dialect.names,
            self.front.limits(),
        )
        self.identity = fields.identity or "-"
        path = self.scope["raw_path"].decode("latin-1")
        self.route = self.front.find(fields, path)
        self.front.check_time_to_stop(self.route, self.arrived)
        self.patience_ms = fields.deadline_ms
        wait_ms = min(fields.deadline_ms or DEADLINE_MS, self.route.timeout_ms)
        ends_at = self.arrived + wait_ms
        body = await self._body(fields, ends_at)
        self.service = self.state.split(self.route).next()
        request = Request(
            fields.identity,
            self.scope["method"],
            self._target(),
            fields.headers,
            body,
            self.route,
            self.service,
            self.arrived,
            ends_at,
            self._is_overdue(self.route, fields.deadline_ms),
        )
        return await self._while_client_stays(request)

    def _is_overdue(self, route: Route, told_ms: float | None) -> bool:
        """Say whether the caller came back too late to be on time."""
        if told_ms is None:
            return False
        usual = self.state.patience_of(route)
        waited_ms = usual.waited_before(told_ms)
        usual.learn(told_ms)
        work = self.state.work_of(route, self.service)
        return queueing.is_overdue(waited_ms, route.objective_ms, work.mean_ms)

    async def _while_client_stays(self, request: Request) -> Attempt:
        work = asyncio.create_task(self.front.forwarder.forward(request))
        gone = asyncio.create_task(self._client_gone())
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return work.result()
            raise _ClientGoneError
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await work

    async def _client_gone(self) -> None:
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def _body(self, fields: RequestHead, ends_at: float) -> bytes:
        if fields.length == 0:
            return b""
        most = self.front.limits().body_bytes
        pieces: list[bytes] = []
        size = 0
        left = ends_at - self.state.clock.now()
        try:
            async with asyncio.timeout(seconds(max(0.0, left))):
                while True:
                    message = await self.receive()
                    if message["type"] == "http.disconnect":
                        raise _ClientGoneError
                    piece = message.get("body", b"")
                    size += len(piece)
                    if size > most:
                        raise RequestError(413, "body_too_large")
                    pieces.append(piece)
                    if not message.get("more_body", False):
                        return b"".join(pieces)
        except TimeoutError as error:
            raise RequestError(408, "body_too_slow") from error

    def _target(self) -> bytes:
        extensions = self.scope.get("extensions") or {}
        target = extensions.get(TARGET, {}).get("raw", b"")
        if target.startswith(b"/"):
            return bytes(target)
        query = self.scope["query_string"]
        path = self.scope["raw_path"]
        return bytes(path + b"?" + query if query else path)

    # Answering

    async def _pass_on(self, attempt: Attempt) -> None:
        reply = attempt.reply
        assert reply is not None
        headers = self._answer_headers(reply)
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": reply.status,
                "headers": headers,
            }
        )
        more = reply.rest is not None
        await self._send_body(reply.body, more)
        if more:
            await self._stream(attempt, reply)

    async def _stream(self, attempt: Attempt, reply: Reply) -> None:
        assert reply.rest is not None
        assert attempt.connection is not None
        whole = False
        try:
            while True:
                piece = await reply.rest.get()
                if isinstance(piece, BodyError):
                    raise AnswerCutError(str(piece))
                if piece is None:
                    break
                if reply.rest.qsize() == 0:
                    attempt.connection.resume()
                await self._send_body(piece, True)
            whole = True
            await self._send_body(b"", False)
        finally:
            if whole:
                self.front.forwarder.pool.give_back(
                    attempt.placed.target, attempt.connection
                )
            else:
                attempt.connection.close()

    async def _send_body(self, body: bytes, more: bool) -> None:
        await self.send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    def _answer_headers(self, reply: Reply) -> Headers:
        named = tokens(
            [
                value.decode("latin-1")
                for name, value in reply.headers
                if name == b"connection"
            ]
        )
        dropped = HOP_BY_HOP | named | {"content-length"}
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
            headers.append(CLOSE)
        return headers

    async def _answer_error(self, error: RequestError) -> None:
        body = f"{error.reason}\n".encode()
        headers: Headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(body)).encode()),
        ]
        names = self.front.dialect.names
        if self.identity != "-":
            headers.append(
                (names.request_id.encode(), self.identity.encode("latin-1"))
            )
        if error.retry_after_ms:
            after = error.retry_after_ms / MS_PER_S
            headers.append((b"retry-after", f"{after:.3f}".encode()))
        if self.state.stopping or error.status in (400, 408, 413):
            headers.append(CLOSE)
        await self.send(
            {
                "type": "http.response.start",
                "status": error.status,
                "headers": headers,
            }
        )
        await self._send_body(body, False)

    def _log(
        self,
        status: int,
        outcome: Outcome,
        reason: str,
        attempt: Attempt | None,
    ) -> None:
        took = self.state.clock.now() - self.arrived
        kind = self.route.kind.value if self.route else "-"
        metrics = self.state.metrics
        metrics.count("requests_total", kind, str(status), reason)
        metrics.time(took, "request_ms", kind, outcome.value)
        view = self.state.view
        configuration = view.configuration
        self.state.log.add(
            "route",
            id=self.identity,
            route=self.route.name if self.route else None,
            service=self.service or None,
            to=attempt.placed.target.identity if attempt else None,
            revision=configuration.revision if configuration else 0,
            position=view.position,
            view_age_ms=self.state.clock.now() - view.heard_ms,
            status=status,
            outcome=outcome.value,
            reason=reason,
            patience_ms=self.patience_ms,
            took_ms=took,
        )
