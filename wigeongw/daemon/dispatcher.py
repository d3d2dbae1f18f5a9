"""Sends a request to an upstream, and again where that is safe.

The outcome is a type here, not a status: what is certain about a request is
carried by the errors of the layers below and told to the client as it is.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from wigeongw.core.clock import Clock
from wigeongw.core.records import Outcome
from wigeongw.core.records import Upstream
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.permit_desk import NotAdmittedError
from wigeongw.daemon.permit_desk import PermitDesk
from wigeongw.daemon.record import Record
from wigeongw.daemon.record import ROUTE
from wigeongw.decisions import retry
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.retry import Budget
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Wanted
from wigeongw.ports.errors import BodyError
from wigeongw.ports.errors import ShedError
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import Call
from wigeongw.ports.upstream import Headers
from wigeongw.ports.upstream import Reply
from wigeongw.ports.upstream import UpstreamClient
from wigeongw.settings.model import RetrySettings

SMALL_ANSWER_BYTES = 65_536
BODILESS_STATUS = frozenset((204, 304))
SERVER_ERROR = 500

REFUSAL_STATUS = {
    Refusal.QUEUE_FULL: 503,
    Refusal.DEADLINE: 504,
    Refusal.OVERLOAD: 503,
    Refusal.NO_UPSTREAM: 503,
}
RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the front door read it.

    Attributes:
        target: path and query.
        headers: end-to-end headers only.
        body: bytes that can be sent again, or a stream that cannot.
        ends_at: its deadline, monotonic milliseconds.
    """

    identity: str
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes] | None
    ends_at: float

    @property
    def can_repeat(self) -> bool:
        """Whether the body can be sent a second time."""
        return self.body is None or isinstance(self.body, bytes)


class Exchange:
    """An answer that has begun, with the permit that it holds.

    Attributes:
        small: the whole body when it was small, else None.
        took_ms: from sending to the head, or to the end of a small body.
    """

    def __init__(
        self, reply: Reply, held: Held, finish: Callable[[Verdict], None]
    ) -> None:
        self.reply = reply
        self.held = held
        self.finish = finish
        self.small: bytes | None = None
        self.took_ms = 0.0
        self.open = True

    def body(self) -> AsyncIterator[bytes]:
        """Read a body that is not small."""
        return self.reply.body()

    async def close(self, whole: bool) -> None:
        """Give the permit back; only the first call counts."""
        if not self.open:
            return
        self.open = False
        await self.reply.close()
        failed = self.reply.status >= SERVER_ERROR or not whole
        self.finish(Verdict.FAILED if failed else Verdict.GOOD)


def always() -> bool:
    """Allow every attempt."""
    return True


class Dispatcher:
    """Sends requests of all services."""

    def __init__(
        self,
        desk: PermitDesk,
        upstreams: UpstreamClient,
        clock: Clock,
        record: Record,
        metrics: Metrics,
        note_leaving: Callable[[str], None],
    ) -> None:
        self.desk = desk
        self.upstreams = upstreams
        self.clock = clock
        self.record = record
        self.metrics = metrics
        self.note_leaving = note_leaving
        self.budgets: dict[str, Budget] = {}

    async def open(
        self, request: Request, may_send: Callable[[], bool] = always
    ) -> Exchange:
        """Send a request until an answer begins or sending must end.

        Args:
            request: what to send.
            may_send: asked immediately before each attempt.

        Returns:
            The exchange; the caller must close it.

        Raises:
            Problem: with what is certain about the request.
        """
        self.budgets[request.service] = retry.earn(
            self._budget(request.service)
        )
        failures: list[UpstreamError] = []
        tried: tuple[str, ...] = ()
        while True:
            attempt = len(tried) + 1
            try:
                held = await self._admit(request, tried, attempt)
                return await self._attempt(request, held, attempt, may_send)
            except Problem as problem:
                raise _with_history(problem, failures) from problem
            except UpstreamError as error:
                failures.append(error)
                tried = (*tried, held.upstream)
                if not self._again(request, error, attempt):
                    last = self._problem(error)
                    raise _with_history(last, failures) from error

    def spend(self, service: str) -> bool:
        """Pay for an extra attempt out of the service's budget."""
        left = retry.spend(self._budget(service))
        if left is None:
            self.metrics.count("retries_refused", service)
            return False
        self.budgets[service] = left
        self.metrics.count("retries", service)
        return True

    # Inside

    async def _admit(
        self, request: Request, tried: tuple[str, ...], attempt: int
    ) -> Held:
        wanted = Wanted(
            f"{request.identity}.{attempt}", request.ends_at, tried
        )
        began = self.clock.now()
        try:
            held = await self.desk.acquire(request.service, wanted)
        except NotAdmittedError as error:
            reason = error.reason
            self._log(request, "", reason.value)
            self.metrics.count("refused", request.service, reason.value)
            raise Problem(
                REFUSAL_STATUS[reason],
                "Not admitted",
                f"{reason.value} at this entry host",
                Outcome.NOT_RUN,
                RETRY_AFTER_S,
            ) from error
        waited = self.clock.now() - began
        self.metrics.time(waited, "queue", request.service)
        return held

    async def _attempt(
        self,
        request: Request,
        held: Held,
        attempt: int,
        may_send: Callable[[], bool],
    ) -> Exchange:
        """Send once; the permit is given back on every way out."""
        key = f"{request.identity}.{attempt}"
        began = self.clock.now()
        seen = _Seen()
        kept = False

        def finish(verdict: Verdict) -> None:
            self.desk.release(key, verdict, seen.head_ms, seen.start)

        try:
            upstream = self._upstream(held)
            self._check_still_due(request, may_send)
            self._log(request, held.upstream, _reason(held, attempt))
            call = self._call(request)
            reply = await self.upstreams.call(upstream, call)
            seen.head_ms = self.clock.now() - began
            seen.start = reply.start
            exchange = Exchange(reply, held, finish)
            if reply.leaving:
                self.note_leaving(held.upstream)
            await self._read_small(request, exchange)
            exchange.took_ms = self.clock.now() - began
            kept = True
            self.metrics.time(seen.head_ms, "upstream", held.upstream)
            return exchange
        except UpstreamError as error:
            seen.verdict = error.verdict
            if isinstance(error, ShedError):
                seen.start = error.start
                if error.leaving:
                    self.note_leaving(held.upstream)
            raise
        finally:
            if not kept:
                finish(seen.verdict)

    def _check_still_due(
        self, request: Request, may_send: Callable[[], bool]
    ) -> None:
        """Refuse to send what is too late, just before the first byte."""
        if self.clock.now() >= request.ends_at or not may_send():
            self._log(request, "", "too-late")
            raise Problem(504, "Too late to send", "", Outcome.NOT_RUN)

    def _call(self, request: Request) -> Call:
        return Call(
            request.identity,
            request.method,
            request.target,
            request.headers,
            request.body,
            max(1.0, request.ends_at - self.clock.now()),
        )

    async def _read_small(self, request: Request, exchange: Exchange) -> None:
        """Read a small body at once, so that a cut one can be sent again."""
        reply = exchange.reply
        size = _length(reply.headers)
        bodiless = request.method == "HEAD" or reply.status in BODILESS_STATUS
        if bodiless:
            size = 0
        if size is None:
            if not _is_chunked(reply.headers):
                await reply.close()
                raise UpstreamError(
                    "answer without a length",
                    Outcome.UNKNOWN,
                    Verdict.FAILED,
                )
            return
        if size > SMALL_ANSWER_BYTES:
            return
        try:
            chunks = [chunk async for chunk in reply.body()]
        except BodyError as error:
            await reply.close()
            raise UpstreamError(
                str(error), Outcome.UNKNOWN, Verdict.FAILED
            ) from error
        body = b"".join(chunks)
        if len(body) != size:
            await reply.close()
            raise UpstreamError(
                "answer of another length", Outcome.UNKNOWN, Verdict.FAILED
            )
        exchange.small = body

    def _upstream(self, held: Held) -> Upstream:
        upstream = self.desk.upstreams.get(held.upstream)
        if upstream is None:
            raise UpstreamError(
                "no longer listed", Outcome.NOT_RUN, Verdict.UNUSED
            )
        return upstream

    def _again(
        self, request: Request, error: UpstreamError, attempt: int
    ) -> bool:
        self._log(request, "", f"failed-{error.outcome.value}")
        self.metrics.count("failed", request.service, error.outcome.value)
        safe = retry.may_send_again(
            request.method,
            error.outcome,
            attempt,
            self._rules().attempts_most,
            not request.can_repeat,
        )
        in_time = self.clock.now() < request.ends_at
        return safe and in_time and self.spend(request.service)

    @staticmethod
    def _problem(error: UpstreamError) -> Problem:
        if error.outcome is Outcome.NOT_RUN:
            return Problem(
                503,
                "No upstream took the request",
                error.reason,
                Outcome.NOT_RUN,
                RETRY_AFTER_S,
            )
        return Problem(502, "The exchange failed", error.reason, error.outcome)

    def _rules(self) -> RetrySettings:
        assert self.desk.site.settings is not None
        return self.desk.site.settings.retries

    def _budget(self, service: str) -> Budget:
        rules = self._rules()
        most = float(rules.burst)
        found = self.budgets.get(service)
        if found is None:
            return Budget(most, rules.budget, most)
        return replace(found, share=rules.budget, most=most)

    def _log(self, request: Request, upstream: str, reason: str) -> None:
        known = self.desk.upstreams.get(upstream)
        self.record.add(
            ROUTE,
            request.identity,
            request.service,
            upstream,
            known.availability_zone if known else "",
            self.desk.site.revision,
            reason,
        )


class _Seen:
    """What an attempt has seen so far."""

    def __init__(self) -> None:
        self.head_ms = 0.0
        self.start = ""
        self.verdict = Verdict.FAILED


def _with_history(
    problem: Problem, failures: Sequence[UpstreamError]
) -> Problem:
    """Let a problem say what is certain after all attempts, not the last.

    An earlier attempt may have run although the last one certainly did not.
    """
    unknown = [f for f in failures if f.outcome is not Outcome.NOT_RUN]
    if problem.outcome is not Outcome.NOT_RUN or not unknown:
        return problem
    reason = f"{unknown[0].reason}; then: {problem.detail}"
    return Problem(502, "The exchange failed", reason, Outcome.UNKNOWN)


def _reason(held: Held, attempt: int) -> str:
    if attempt > 1:
        return f"retry-{attempt - 1}"
    return "cold" if held.cold else "permit"


def _length(headers: Headers) -> int | None:
    for name, value in headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None


def _is_chunked(headers: Headers) -> bool:
    return any(
        name.lower() == "transfer-encoding" and "chunked" in value.lower()
        for name, value in headers
    )
