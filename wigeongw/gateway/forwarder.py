"""Sends a request to upstreams until one response is final.

A non-idempotent request is sent to a second upstream only after the first
reported that it did not run the request, or when no byte of the request was
sent. An idempotent request may be retried after a failure or hedged when it is
late, within the retry budget that all hosts share.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field

from wigeongw.core.clock import seconds
from wigeongw.core.records import Outcome
from wigeongw.decisions import host_limits
from wigeongw.decisions import wait_limits
from wigeongw.decisions.crash_suspects import Ruling
from wigeongw.decisions.placement import Placement
from wigeongw.gateway.crash_watch import CrashWatch
from wigeongw.gateway.errors import OutcomeUnknownError
from wigeongw.gateway.errors import RefusedError
from wigeongw.gateway.placer import PlacementRequest
from wigeongw.gateway.placer import Placer
from wigeongw.gateway.request import Request
from wigeongw.gateway.rollout_traffic import VersionChoice
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.upstream_sender import Attempt
from wigeongw.gateway.upstream_sender import RATE_LIMITED
from wigeongw.gateway.upstream_sender import UpstreamSender

HTTP_SERVER_ERROR = 500
# Reason of the refusal of a request under which upstreams end.
HELD_BACK = "held_back"
# Event loop timers may fire this much early.
MAX_TIMER_EARLY_MS = 2.0


@dataclass(slots=True)
class Progress:
    """The attempts made for one request so far.

    Attributes:
        sends: number of attempts started.
        tried: identities of the upstreams used.
        may_have_run: whether a failed attempt may have run the request.
        in_flight: unfinished attempts and their placements.
        hedged: whether hedging was already considered.
        rate_limited: whether the last attempt was denied by a rate limit.
        versions: the upstreams of a service with two versions that the next
            send may go to.
        refusal: why no upstream took the request after a failed attempt.
    """

    sends: int = 0
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    in_flight: dict[asyncio.Task[Attempt], Placement] = field(
        default_factory=dict
    )
    hedged: bool = False
    rate_limited: bool = False
    versions: VersionChoice = VersionChoice.ANY
    refusal: RefusedError | None = None

    def forget(self, unsent: Attempt) -> None:
        """Take back an attempt that did not reach its upstream.

        An upstream at its rate limit may take the request a moment later.
        """
        self.sends -= 1
        self.rate_limited = unsent.reason == RATE_LIMITED
        if self.rate_limited:
            self.tried.discard(unsent.placement.target.identity)


class Forwarder:
    """Forwards requests to upstreams, with retries and hedging."""

    def __init__(
        self,
        state: GatewayState,
        placer: Placer,
        sender: UpstreamSender,
        crash_watch: CrashWatch,
    ) -> None:
        self.state = state
        self.crash_watch = crash_watch
        self.placer = placer
        self.sender = sender

    async def forward(self, request: Request) -> Attempt:
        """Forward a request.

        Returns:
            The attempt whose response goes to the client.

        Raises:
            RequestError: when this host must respond itself.
        """
        self.state.retry_budget(request.service).earn(self.state.clock.now())
        progress = Progress()
        progress.versions = self.state.rollouts.choose(request.service)
        ruling = self.crash_watch.ruling(request)
        self._check_ruling(request, ruling)
        try:
            placement = await self.placer.place(
                self._placement_request(request, progress)
            )
            if ruling is not Ruling.TRY:
                # Evidence may have come while it waited.
                self._check_ruling(request, self.crash_watch.ruling(request))
            self._start_attempt(request, progress, placement, "first")
            return await self._await_final(request, progress)
        finally:
            for task in progress.in_flight:
                task.cancel()
            self.crash_watch.end_request(request)

    def _check_ruling(self, request: Request, ruling: Ruling) -> None:
        """Refuse a request that is held back; nothing of it was sent.

        Raises:
            RefusedError: with the time of its next trial.
        """
        if ruling is Ruling.HOLD:
            retry_after_ms = self.crash_watch.retry_after_ms(request)
            raise RefusedError(HELD_BACK, retry_after_ms)

    # Retries and hedging

    async def _await_final(
        self, request: Request, progress: Progress
    ) -> Attempt:
        while True:
            done = await self._next_result(request, progress)
            if done is None:
                remaining_ms = request.deadline_at - self.state.clock.now()
                if remaining_ms < MAX_TIMER_EARLY_MS:
                    raise OutcomeUnknownError(504, "timeout")
                await self._hedge(request, progress)
                continue
            if self._is_final(request, done):
                return done
            if not done.sent:
                progress.forget(done)
            if done.outcome is not Outcome.NOT_RUN:
                progress.may_have_run = True
            if progress.in_flight:
                _discard(done)
                continue
            if not await self._retry(request, progress, done):
                return self._give_up(request, progress, done)
            _discard(done)

    async def _next_result(
        self, request: Request, progress: Progress
    ) -> Attempt | None:
        """Wait for an attempt to end.

        Returns:
            None when it is time to hedge or the deadline has passed.
        """
        now = self.state.clock.now()
        wait_ms = request.deadline_at - now
        if self._may_hedge(request, progress):
            placement = next(iter(progress.in_flight.values()))
            hedge_after_ms = wait_limits.hedge_delay_ms(
                placement.expected_ms, request.route.objective_ms
            )
            wait_ms = min(wait_ms, request.arrived_at + hedge_after_ms - now)
        done, _ = await asyncio.wait(
            progress.in_flight,
            timeout=seconds(max(0.0, wait_ms)),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            del progress.in_flight[task]
            return task.result()
        return None

    def _may_hedge(self, request: Request, progress: Progress) -> bool:
        return (
            request.route.idempotent
            and not progress.hedged
            and len(progress.in_flight) == 1
            and progress.sends < request.route.attempts
        )

    async def _hedge(self, request: Request, progress: Progress) -> None:
        """Hedge a late request if a second upstream can finish in time."""
        progress.hedged = True
        if self.crash_watch.ruling(request) is not Ruling.SEND:
            return
        budget = self.state.retry_budget(request.service)
        now = self.state.clock.now()
        if budget.left(now) < 1.0 + host_limits.FAILED_RETRY_RESERVE:
            self._record_not_resent(request, "second", "over_budget")
            return
        placement = await self.placer.try_place(
            self._placement_request(request, progress)
        )
        if placement is None:
            return
        remaining_ms = request.deadline_at - self.state.clock.now()
        if not wait_limits.can_finish(placement.expected_ms, remaining_ms):
            return
        if not progress.in_flight or any(t.done() for t in progress.in_flight):
            return
        if budget.spend(
            self.state.clock.now(), host_limits.FAILED_RETRY_RESERVE
        ):
            self.state.metrics.count("second_tries_total", "late")
            self._start_attempt(request, progress, placement, "late")

    async def _retry(
        self, request: Request, progress: Progress, failed: Attempt
    ) -> bool:
        """Retry a failed request if that is allowed.

        A retry after a byte was sent is limited by the route's attempts and
        by the retry budget.

        Returns:
            Whether the request was sent again.
        """
        may_run_twice = request.route.idempotent
        if failed.outcome is not Outcome.NOT_RUN and not may_run_twice:
            return False
        if self.crash_watch.ruling(request) is Ruling.HOLD:
            return False
        if failed.sent:
            if progress.sends >= request.route.attempts:
                return False
            budget = self.state.retry_budget(request.service)
            if not budget.spend(self.state.clock.now()):
                self._record_not_resent(request, "again", "over_budget")
                return False
        try:
            placement = await self.placer.place(
                self._placement_request(request, progress)
            )
        except RefusedError as refusal:
            progress.refusal = refusal
            return False
        self.state.metrics.count("second_tries_total", failed.reason)
        self._start_attempt(request, progress, placement, "again")
        return True

    def _is_final(self, request: Request, attempt: Attempt) -> bool:
        if attempt.reply is None:
            return False
        is_error = attempt.reply.status >= HTTP_SERVER_ERROR
        return not (is_error and request.route.idempotent)

    def _give_up(
        self, request: Request, progress: Progress, failed: Attempt
    ) -> Attempt:
        """End a request whose retries are exhausted.

        Returns:
            The failed attempt, if it has a response to forward.

        Raises:
            OutcomeUnknownError: when an upstream may have run the request.
            RefusedError: when no upstream ran it.
        """
        if failed.reply is not None:
            return failed
        if progress.may_have_run or failed.outcome is not Outcome.NOT_RUN:
            raise OutcomeUnknownError(502, failed.reason)
        if progress.rate_limited and progress.refusal is not None:
            raise progress.refusal
        estimate = self.state.work_estimate(request.route, request.service)
        retry_after_ms = self.placer.retry_after_ms(
            request.service, estimate.mean_ms
        )
        if self.placer.has_free_slot(request.service):
            retry_after_ms = wait_limits.SHORT_RETRY_AFTER_MS
        raise RefusedError(failed.reason, retry_after_ms)

    # Sending to one upstream

    def _start_attempt(
        self,
        request: Request,
        progress: Progress,
        placement: Placement,
        why: str,
    ) -> None:
        progress.sends += 1
        progress.rate_limited = False
        progress.versions = VersionChoice.ANY
        progress.tried.add(placement.target.identity)
        self.crash_watch.begin_send(request, placement.target.identity)
        self._log_placement(request, placement, why)
        task = asyncio.create_task(self.sender.send(request, placement))
        progress.in_flight[task] = placement

    # Logging and conversions

    def _placement_request(
        self, request: Request, progress: Progress
    ) -> PlacementRequest:
        return PlacementRequest(
            request.request_id,
            request.route,
            request.service,
            request.arrived_at,
            request.deadline_at,
            request.overdue,
            self.crash_watch.upstreams_to_avoid(request) | progress.tried,
            progress.rate_limited,
            progress.versions,
            request.account,
        )

    def _log_placement(
        self, request: Request, placement: Placement, why: str
    ) -> None:
        state = self.state.targets.get(placement.target.identity)
        sample = state.sample if state else None
        limit_per_s = state.limit_per_s if state else None
        limit = state.rate_limit if state and limit_per_s is not None else None
        now = self.state.clock.now()
        self.state.log.add(
            "place",
            id=request.request_id,
            service=request.service,
            to=placement.target.identity,
            zone=placement.target.availability_zone,
            why=why,
            expected_ms=placement.expected_ms,
            doubtful=int(placement.doubtful),
            sample_age_ms=now - sample.at_ms if sample else None,
            running=sample.running if sample else None,
            waiting=sample.waiting if sample else None,
            slowdown=sample.slowdown if sample else None,
            risk=state.risk.decayed(now) if state else None,
            limit_per_s=limit_per_s,
            limit_age_ms=now - limit.at_ms if limit else None,
        )

    def _record_not_resent(
        self, request: Request, record_type: str, reason: str
    ) -> None:
        self.state.metrics.count("not_sent_again_total", reason)
        self.state.log.add(record_type, id=request.request_id, reason=reason)


def _discard(attempt: Attempt) -> None:
    """Close the connection of a response that is not forwarded to its end."""
    has_rest = attempt.reply is not None and attempt.reply.rest is not None
    if has_rest and attempt.connection is not None:
        attempt.connection.close()
