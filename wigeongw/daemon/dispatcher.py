"""Sends requests to upstreams and retries them where that is safe.

Whether an upstream ran a request is carried as an ``Outcome`` in the errors of
the lower layers, not derived from an HTTP status, and is reported to the
client unchanged.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from dataclasses import replace

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import Outcome
from wigeongw.core.records import Upstream
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.decision_log import ROUTE
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.exchange import Exchange
from wigeongw.daemon.exchange import Request
from wigeongw.daemon.permit_manager import NotAdmittedError
from wigeongw.daemon.permit_manager import PermitManager
from wigeongw.decisions import retry
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.retry import RetryBudget
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import Refusal
from wigeongw.decisions.sharing import Wanted
from wigeongw.ports.errors import ShedError
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import Call
from wigeongw.ports.upstream import UpstreamClient
from wigeongw.settings.schema import RetrySettings

REFUSAL_STATUSES = {
    Refusal.QUEUE_FULL: 503,
    Refusal.DEADLINE: 504,
    Refusal.OVERLOAD: 503,
    Refusal.NO_UPSTREAM: 503,
}
RETRY_AFTER_S = 1
SHORTAGE_INTERVAL_MS = 250.0


def always_allowed() -> bool:
    """Allow every attempt; the default for ``may_send``."""
    return True


class Dispatcher:
    """Sends the requests of all services.

    Attributes:
        on_upstream_leaving: called with the name and the start identity of an
            upstream whose response says that it is leaving.
        on_shortage: called with a service, again and again while a request
            waits for one of its slots.
        retry_budgets: retry budget of each service.
    """

    def __init__(
        self,
        permit_manager: PermitManager,
        upstream_client: UpstreamClient,
        clock: Clock,
        decision_log: DecisionLog,
        metrics: Metrics,
        on_upstream_leaving: Callable[[str, str], None],
        on_shortage: Callable[[str], object],
    ) -> None:
        self.permit_manager = permit_manager
        self.upstream_client = upstream_client
        self.clock = clock
        self.decision_log = decision_log
        self.metrics = metrics
        self.on_upstream_leaving = on_upstream_leaving
        self.on_shortage = on_shortage
        self.retry_budgets: dict[str, RetryBudget] = {}

    async def dispatch(
        self,
        request: Request,
        may_send: Callable[[], bool] = always_allowed,
        avoid: tuple[str, ...] = (),
    ) -> Exchange:
        """Send a request, with retries, until a response head arrives.

        Args:
            request: request to send.
            may_send: called immediately before each attempt; False stops the
                request.
            avoid: upstreams to use only if there is no other one.

        Returns:
            The exchange; the caller must close it.

        Raises:
            Problem: when no attempt succeeded; its outcome covers all
                attempts.
        """
        self.retry_budgets[request.service] = retry.earn(
            self._retry_budget(request.service)
        )
        if not self._has_other_upstream(request.service, avoid):
            avoid = ()
        failures: list[UpstreamError] = []
        tried: tuple[str, ...] = ()
        while True:
            attempt = len(tried) + 1
            try:
                held = await self._acquire_permit(
                    request, (*avoid, *tried), attempt
                )
                return await self._send_attempt(
                    request, held, attempt, may_send
                )
            except Problem as problem:
                raise _with_earlier_failures(problem, failures) from problem
            except UpstreamError as error:
                failures.append(error)
                tried = (*tried, held.upstream)
                if not self._should_retry(request, error, attempt):
                    last_problem = self._problem_for(error)
                    raise _with_earlier_failures(
                        last_problem, failures
                    ) from error

    def _has_other_upstream(
        self, service: str, avoid: tuple[str, ...]
    ) -> bool:
        """Return whether a service has an upstream besides some."""
        return any(
            upstream.service == service and name not in avoid
            for name, upstream in self.permit_manager.upstreams.items()
        )

    def take_retry_token(self, service: str) -> bool:
        """Take one token from the retry budget of a service.

        Returns:
            False when the budget has no whole token left.
        """
        remaining = retry.spend(self._retry_budget(service))
        if remaining is None:
            self.metrics.count("retries_refused", service)
            return False
        self.retry_budgets[service] = remaining
        self.metrics.count("retries", service)
        return True

    async def _acquire_permit(
        self, request: Request, tried: tuple[str, ...], attempt: int
    ) -> Held:
        wanted = Wanted(
            f"{request.identity}.{attempt}", request.ends_at, tried
        )
        started_at = self.clock.now()
        try:
            with self._reporting_shortage(request.service):
                held = await self.permit_manager.acquire(
                    request.service, wanted
                )
        except NotAdmittedError as error:
            reason = error.reason
            self._log_decision(request, "", reason.value)
            self.metrics.count("refused", request.service, reason.value)
            raise Problem(
                REFUSAL_STATUSES[reason],
                "Not admitted",
                f"{reason.value} at this entry host",
                Outcome.NOT_RUN,
                RETRY_AFTER_S,
            ) from error
        queued_ms = self.clock.now() - started_at
        self.metrics.time(queued_ms, "queue", request.service)
        return held

    @contextlib.contextmanager
    def _reporting_shortage(self, service: str) -> Iterator[None]:
        """Report while the block waits, after each interval."""
        loop = asyncio.get_running_loop()
        interval_s = seconds(SHORTAGE_INTERVAL_MS)
        timer: asyncio.TimerHandle

        def schedule() -> None:
            nonlocal timer
            timer = loop.call_later(interval_s, report)

        def report() -> None:
            self.on_shortage(service)
            schedule()

        schedule()
        try:
            yield
        finally:
            timer.cancel()

    async def _send_attempt(
        self,
        request: Request,
        held: Held,
        attempt: int,
        may_send: Callable[[], bool],
    ) -> Exchange:
        """Send the request once.

        The permit is released on every error; on success the exchange releases
        it.
        """
        attempt_id = f"{request.identity}.{attempt}"
        started_at = self.clock.now()
        state = _AttemptState()
        handed_over = False

        def release_permit(verdict: Verdict) -> None:
            limit = state.limit
            if limit is not None:
                limit = limit.after(self.clock.now() - state.head_at)
            self.permit_manager.release(
                attempt_id, verdict, state.head_ms, state.start, limit
            )

        try:
            upstream = self._find_upstream(held)
            self._check_deadline(request, may_send)
            self._log_decision(
                request, held.upstream, _routing_reason(held, attempt)
            )
            call = self._build_call(request)
            reply = await self.upstream_client.call(upstream, call)
            state.head_at = self.clock.now()
            state.head_ms = state.head_at - started_at
            state.start = reply.start
            state.limit = reply.limit
            exchange = Exchange(reply, held, release_permit)
            if reply.leaving:
                self.on_upstream_leaving(held.upstream, reply.start)
            await exchange.buffer_small_body(request, self.clock.now())
            exchange.elapsed_ms = self.clock.now() - started_at
            handed_over = True
            self.metrics.time(state.head_ms, "upstream", held.upstream)
            return exchange
        except UpstreamError as error:
            state.verdict = error.verdict
            if isinstance(error, ShedError):
                state.head_at = self.clock.now()
                state.start = error.start
                state.limit = error.limit
                if error.leaving:
                    self.on_upstream_leaving(held.upstream, error.start)
            raise
        finally:
            if not handed_over:
                release_permit(state.verdict)

    def _check_deadline(
        self, request: Request, may_send: Callable[[], bool]
    ) -> None:
        """Reject a request whose deadline has passed or that may not be sent.

        Called immediately before the first byte is sent.

        Raises:
            Problem: 504 with the outcome NOT_RUN.
        """
        if self.clock.now() >= request.ends_at or not may_send():
            self._log_decision(request, "", "too-late")
            raise Problem(504, "Too late to send", "", Outcome.NOT_RUN)

    def _build_call(self, request: Request) -> Call:
        return Call(
            request.identity,
            request.method,
            request.target,
            request.headers,
            request.body,
            max(1.0, request.ends_at - self.clock.now()),
        )

    def _find_upstream(self, held: Held) -> Upstream:
        upstream = self.permit_manager.upstreams.get(held.upstream)
        if upstream is None:
            raise UpstreamError(
                "no longer listed", Outcome.NOT_RUN, Verdict.UNUSED
            )
        return upstream

    def _should_retry(
        self, request: Request, error: UpstreamError, attempt: int
    ) -> bool:
        self._log_decision(request, "", f"failed-{error.outcome.value}")
        self.metrics.count("failed", request.service, error.outcome.value)
        allowed = retry.may_send_again(
            request.method,
            error.outcome,
            attempt,
            self._retry_settings().attempts_most,
            not request.is_replayable,
        )
        before_deadline = self.clock.now() < request.ends_at
        return (
            allowed
            and before_deadline
            and self.take_retry_token(request.service)
        )

    @staticmethod
    def _problem_for(error: UpstreamError) -> Problem:
        if error.outcome is Outcome.NOT_RUN:
            return Problem(
                503,
                "No upstream took the request",
                error.reason,
                Outcome.NOT_RUN,
                RETRY_AFTER_S,
            )
        return Problem(502, "The exchange failed", error.reason, error.outcome)

    def _retry_settings(self) -> RetrySettings:
        assert self.permit_manager.site.settings is not None
        return self.permit_manager.site.settings.retries

    def _retry_budget(self, service: str) -> RetryBudget:
        settings = self._retry_settings()
        max_tokens = float(settings.burst)
        known = self.retry_budgets.get(service)
        if known is None:
            return RetryBudget(max_tokens, settings.budget, max_tokens)
        return replace(known, share=settings.budget, capacity=max_tokens)

    def _log_decision(
        self, request: Request, upstream: str, reason: str
    ) -> None:
        listed = self.permit_manager.upstreams.get(upstream)
        self.decision_log.add(
            ROUTE,
            request.identity,
            request.service,
            upstream,
            listed.availability_zone if listed else "",
            self.permit_manager.site.revision,
            reason,
        )


class _AttemptState:
    """What one attempt has observed.

    Attributes:
        head_ms: time from sending the request to the response head; 0 before.
        head_at: when the response head arrived, monotonic milliseconds.
        start: start identity that the upstream reported; empty when unknown.
        verdict: reported with the permit when the attempt fails.
        limit: what the response said about a rate limit; None without one.
    """

    def __init__(self) -> None:
        self.head_ms = 0.0
        self.head_at = 0.0
        self.start = ""
        self.verdict = Verdict.FAILED
        self.limit: LimitReport | None = None


def _with_earlier_failures(
    problem: Problem, failures: Sequence[UpstreamError]
) -> Problem:
    """Return the problem to report after all attempts of a request.

    When the last attempt did not run but an earlier one may have, the outcome
    of the request is UNKNOWN.
    """
    uncertain = [f for f in failures if f.outcome is not Outcome.NOT_RUN]
    if problem.outcome is not Outcome.NOT_RUN or not uncertain:
        return problem
    reason = f"{uncertain[0].reason}; then: {problem.detail}"
    return Problem(502, "The exchange failed", reason, Outcome.UNKNOWN)


def _routing_reason(held: Held, attempt: int) -> str:
    if attempt > 1:
        return f"retry-{attempt - 1}"
    if held.cold:
        return "cold"
    return "rate-limited" if held.single_use else "permit"
