"""The HTTP side towards clients: reads requests and answers them.

Falcon answers everything below the well-known path; requests for services go
straight through, since the answer of an upstream must reach the client as it
comes, be cut visibly when it breaks, and end when the client goes away.
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
from wigeongw.core.identity import new_identity
from wigeongw.core.records import Outcome
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.dispatcher import Exchange
from wigeongw.daemon.dispatcher import Request
from wigeongw.daemon.download import Download
from wigeongw.daemon.errors import AnswerCutError
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.headers import answer_headers
from wigeongw.daemon.headers import Fields
from wigeongw.daemon.headers import read_fields
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.once_desk import digest
from wigeongw.daemon.once_desk import OnceDesk
from wigeongw.daemon.once_desk import Ticket
from wigeongw.decisions.once import Claim
from wigeongw.decisions.retry import IDEMPOTENT_METHODS
from wigeongw.settings.model import Settings

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

WELL_KNOWN = "/.well-known/wigeongw"
KEPT_BODY_BYTES = 65_536
KEYED_BODY_BYTES = 1 << 20


class FrontDoor:
    """The ASGI application of an entry host."""

    def __init__(
        self,
        own: App,
        dispatcher: Dispatcher,
        once: OnceDesk,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        me: str,
    ) -> None:
        self.own = own
        self.dispatcher = dispatcher
        self.once = once
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.me = me
        self.in_progress = 0
        self.closing = False

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        if scope["path"].startswith(WELL_KNOWN):
            await self.own(scope, receive, send)
            return
        self.in_progress += 1
        try:
            await self._answer(scope, receive, Answer(send, self.closing))
        finally:
            self.in_progress -= 1

    async def _answer(
        self, scope: Scope, receive: Receive, answer: "Answer"
    ) -> None:
        began = self.clock.now()
        identity = new_identity(self.rng)
        service = "-"
        outcome = Outcome.NOT_RUN
        try:
            settings = self.dispatcher.desk.site.settings
            if settings is None:
                raise Problem(
                    503, "Not ready", "no settings yet", retry_after_s=1
                )
            service = self._service(settings, scope["path"])
            fields = read_fields(scope, settings.services[service], self.me)
            body = _Body(receive, fields)
            outcome = await self._serve(
                _Job(scope, identity, service, fields, body), answer
            )
        except Problem as problem:
            outcome = problem.outcome
            await answer.problem(problem, identity)
        except _ClientGoneError:
            self.metrics.count("client_gone", service)
        finally:
            took = self.clock.now() - began
            self.metrics.time(took, "request", service, outcome.value)
            if answer.upstream_ms:
                added = took - answer.upstream_ms
                self.metrics.time(added, "added", service)

    @staticmethod
    def _service(settings: Settings, path: str) -> str:
        """Find the service with the longest prefix of a path."""
        best = ("", "")
        for service, rules in settings.services.items():
            for prefix in rules.paths:
                whole = prefix.rstrip("/")
                fits = path == whole or path.startswith(whole + "/")
                if fits and len(prefix) > len(best[0]):
                    best = (prefix, service)
        if not best[1]:
            raise Problem(404, "No such service", "no service has this path")
        return best[1]

    async def _serve(self, job: "_Job", answer: "Answer") -> Outcome:
        """Serve one request while watching that the client stays."""
        ends_at = self.clock.now() + job.fields.deadline_ms
        keyed = job.method not in IDEMPOTENT_METHODS
        if keyed and not job.fields.key and job.fields.key_required:
            raise Problem(
                400,
                "An Idempotency-Key is required",
                f"{job.method} requests of {job.service} need one",
            )
        body = await self._body(job, keyed and bool(job.fields.key))
        request = Request(
            job.identity,
            job.service,
            job.method,
            job.target,
            job.fields.headers,
            body or None,
            ends_at,
        )
        async with _leave_with_client(job.body, answer):
            if keyed and job.fields.key:
                return await self._serve_once(request, job.fields, answer)
            try:
                exchange = await self.dispatcher.open(request)
            except Problem as problem:
                raise job.body.refusal or problem from problem
            return await self._relay(request, exchange, answer)

    async def _body(
        self, job: "_Job", keyed: bool
    ) -> bytes | AsyncIterator[bytes]:
        """Read a body that is small or has a key; stream any other."""
        most = KEYED_BODY_BYTES if keyed else KEPT_BODY_BYTES
        length = job.fields.length
        if not keyed and (length is None or length > most):
            return job.body.stream()
        try:
            async with asyncio.timeout(seconds(job.fields.deadline_ms)):
                return await job.body.read(most)
        except TimeoutError as error:
            raise Problem(408, "The body came too slowly") from error

    async def _relay(
        self, request: Request, exchange: Exchange, answer: "Answer"
    ) -> Outcome:
        """Send an upstream's answer on to the client."""
        reply = exchange.reply
        headers = answer_headers(reply.headers, request.identity, Outcome.RAN)
        download = Download(self.dispatcher, request, exchange)
        if exchange.small is not None:
            answer.upstream_ms = exchange.took_ms
        whole = False
        try:
            await answer.start(reply.status, headers)
            async for chunk in download.chunks():
                await answer.more(chunk)
            whole = True
            await answer.end()
        except AnswerCutError:
            self.metrics.count("answer_cut", request.service)
            raise
        finally:
            await download.close(whole)
        return Outcome.RAN

    async def _serve_once(
        self, request: Request, fields: Fields, answer: "Answer"
    ) -> Outcome:
        """Serve a request that must run at most once."""
        body = request.body if isinstance(request.body, bytes) else b""
        body_digest = digest(
            request.method.encode(), request.target.encode(), body
        )
        left = request.ends_at - self.clock.now()
        claimed = await self.once.claim(
            request.service, fields.key, body_digest, left
        )
        if isinstance(claimed, Claim):
            return await self._replay(request, claimed, answer)
        try:
            exchange = await self.dispatcher.open(
                request, lambda: self.once.may_dispatch(claimed)
            )
        except Problem as problem:
            await self._record_failure(claimed, problem)
            raise
        except asyncio.CancelledError:
            self.once.record_unknown(claimed)
            raise
        self._record_answer(claimed, exchange)
        return await self._relay(request, exchange, answer)

    async def _replay(
        self, request: Request, claim: Claim, answer: "Answer"
    ) -> Outcome:
        headers = answer_headers(claim.headers, request.identity, Outcome.RAN)
        headers.append((b"idempotent-replayed", b"true"))
        await answer.start(claim.status, headers)
        await answer.more(claim.body)
        await answer.end()
        return Outcome.RAN

    async def _record_failure(self, ticket: Ticket, problem: Problem) -> None:
        if problem.outcome is Outcome.NOT_RUN:
            await self.once.release(ticket)
        else:
            self.once.record_unknown(ticket)

    def _record_answer(self, ticket: Ticket, exchange: Exchange) -> None:
        reply = exchange.reply
        self.once.record_answer(
            ticket, reply.status, reply.headers, exchange.small
        )


class Answer:
    """The answer to one request; knows how much of it has gone.

    Attributes:
        upstream_ms: what the upstream took for a small answer; 0 for others.
    """

    def __init__(self, send: Send, closing: bool) -> None:
        self.send = send
        self.closing = closing
        self.started = False
        self.ended = False
        self.upstream_ms = 0.0

    async def start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the head."""
        if self.closing:
            headers.append((b"connection", b"close"))
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )

    async def more(self, chunk: bytes) -> None:
        """Send a piece of the body."""
        await self.send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def end(self) -> None:
        """End the body."""
        self.ended = True
        await self.send({"type": "http.response.body", "body": b""})

    async def problem(self, problem: Problem, identity: str) -> None:
        """Send a failure as problem+json.

        Raises:
            AnswerCutError: when another answer has begun already.
        """
        if self.started:
            raise AnswerCutError(str(problem))
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
            wait = str(problem.retry_after_s).encode()
            headers.append((b"retry-after", wait))
        if problem.status in (400, 408, 413):
            headers.append((b"connection", b"close"))
        await self.start(problem.status, headers)
        await self.more(body)
        await self.end()


class _ClientGoneError(Exception):
    """The client closed its connection."""


class _Job:
    """One request while it is being served."""

    def __init__(
        self,
        scope: Scope,
        identity: str,
        service: str,
        fields: Fields,
        body: "_Body",
    ) -> None:
        self.identity = identity
        self.service = service
        self.fields = fields
        self.body = body
        self.method: str = scope["method"]
        raw = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        self.target = f"{raw}?{query}" if query else raw


class _Body:
    """The body of a request, read once.

    Attributes:
        refusal: why a body that was being passed on had to be refused.
    """

    def __init__(self, receive: Receive, fields: Fields) -> None:
        self.receive = receive
        self.most = fields.body_most
        self.ended = fields.length == 0
        self.size = 0
        self.refusal: Problem | None = None
        self.changed = asyncio.Event()
        if self.ended:
            self.changed.set()

    async def read(self, most: int) -> bytes:
        """Read all of it.

        Raises:
            Problem: when it is larger than allowed.
        """
        if self.ended:
            return b""
        chunks: list[bytes] = []
        async for chunk in self.stream():
            chunks.append(chunk)
            if self.size > most:
                raise Problem(
                    413,
                    "The body is too large",
                    f"at most {most} bytes with an Idempotency-Key",
                )
        return b"".join(chunks)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield it piece by piece."""
        while not self.ended:
            message = await self.receive()
            if message["type"] != "http.request":
                raise _ClientGoneError
            chunk = message.get("body", b"")
            self.size += len(chunk)
            if self.size > self.most:
                self.refusal = Problem(
                    413,
                    "The body is too large",
                    f"at most {self.most} bytes",
                    Outcome.UNKNOWN,
                )
                raise self.refusal
            if chunk:
                yield chunk
            if not message.get("more_body"):
                self.ended = True
                self.changed.set()

    async def gone(self) -> None:
        """Wait until the client has closed its connection."""
        await self.changed.wait()
        while (await self.receive())["type"] != "http.disconnect":
            pass


@contextlib.asynccontextmanager
async def _leave_with_client(
    body: _Body, answer: Answer
) -> AsyncIterator[None]:
    """Cancel what runs inside when the client closes its connection."""
    task = asyncio.current_task()
    assert task is not None
    gone = False

    async def watch() -> None:
        nonlocal gone
        await body.gone()
        if not answer.ended:
            gone = True
            task.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not gone:
            raise
        task.uncancel()
        raise _ClientGoneError from None
    finally:
        watcher.cancel()
