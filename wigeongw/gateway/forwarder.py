"""Sends a request to upstreams until one response is final.

A non-idempotent request is sent to a second upstream only after the first
reported that it did not run the request, or when no byte of the request was
sent. An idempotent request may be retried after a failure or hedged when it is
late, within the retry budget that all hosts share.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field

from wigeongw.adapters.upstream_connection import BufferedReply
from wigeongw.adapters.upstream_connection import ExchangeError
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import seconds
from wigeongw.core.records import Outcome
from wigeongw.core.site import Route
from wigeongw.decisions import host_limits
from wigeongw.decisions import wait_limits
from wigeongw.decisions.placement import Placement
from wigeongw.gateway.errors import OutcomeUnknownError
from wigeongw.gateway.errors import RefusedError
from wigeongw.gateway.observation_exchange import ObservationExchange
from wigeongw.gateway.placer import PlacementRequest
from wigeongw.gateway.placer import Placer
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import Dialect
from wigeongw.ports.dialect import ResponseKind

HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500
HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
# The upstream's deadline is this much earlier than the client's.
UPSTREAM_MARGIN_MS = 2.0
# Event loop timers may fire this much early.
MAX_TIMER_EARLY_MS = 2.0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, read completely.

    Times are in milliseconds on the monotonic clock.

    Attributes:
        request_id: ID that the client sent; empty when it sent none.
        target: path and query, byte for byte as received.
        headers: end-to-end headers, names in lower case.
        arrived_at: when its head was read.
        deadline_at: when the client must have a response.
        overdue: whether it can no longer meet its latency objective.
    """

    request_id: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    route: Route
    service: str
    arrived_at: float
    deadline_at: float
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """The result of sending a request to one upstream.

    Attributes:
        reply: the response; None when there is none to forward.
        outcome: whether the upstream ran the request.
        sent: whether a byte may have reached the upstream.
        reason: short word for logs and metrics.
        connection: carries the rest of the response, if any.
    """

    placement: Placement
    reply: BufferedReply | None
    outcome: Outcome
    sent: bool
    reason: str
    connection: UpstreamConnection | None = None


@dataclass(slots=True)
class Progress:
    """The attempts made for one request so far.

    Attributes:
        sends: number of attempts started.
        tried: identities of the upstreams used.
        may_have_run: whether a failed attempt may have run the request.
        in_flight: unfinished attempts and their placements.
        hedged: whether hedging was already considered.
    """

    sends: int = 0
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    in_flight: dict[asyncio.Task[Attempt], Placement] = field(
        default_factory=dict
    )
    hedged: bool = False


class Forwarder:
    """Forwards requests to upstreams, with retries and hedging."""

    def __init__(
        self,
        state: GatewayState,
        placer: Placer,
        pool: UpstreamPool,
        dialect: Dialect,
        observations: ObservationExchange,
    ) -> None:
        self.state = state
        self.observations = observations
        self.placer = placer
        self.pool = pool
        self.dialect = dialect

    async def forward(self, request: Request) -> Attempt:
        """Forward a request.

        Returns:
            The attempt whose response goes to the client.

        Raises:
            RequestError: when this host must respond itself.
        """
        self.state.retry_budget(request.service).earn(self.state.clock.now())
        progress = Progress()
        try:
            placement = await self.placer.place(
                self._placement_request(request, progress)
            )
            self._start_attempt(request, progress, placement, "first")
            return await self._await_final(request, progress)
        finally:
            for task in progress.in_flight:
                task.cancel()

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
        except RefusedError:
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
        progress.tried.add(placement.target.identity)
        self._log_placement(request, placement, why)
        state = self.state.targets.get(placement.target.identity)
        task = asyncio.create_task(self._attempt(request, placement, state))
        progress.in_flight[task] = placement

    async def _attempt(
        self,
        request: Request,
        placement: Placement,
        state: TargetState | None,
    ) -> Attempt:
        if state is None:
            return Attempt(placement, None, Outcome.NOT_RUN, False, "gone")
        now = self.state.clock.now()
        if placement.doubtful and not state.cold_bucket.take(now):
            return Attempt(placement, None, Outcome.NOT_RUN, False, "cold")
        sent_at = now
        state.in_flight_since.append(sent_at)
        self.observations.report_send(state)
        slowdown = state.sample.slowdown if state.sample else 1.0
        try:
            connection = await self.pool.acquire(placement.target)
            if not self._still_usable(state):
                self.pool.release(placement.target, connection)
                return Attempt(placement, None, Outcome.NOT_RUN, False, "gone")
            reply = await connection.exchange(
                self._request_head(request, placement),
                request.body,
                request.request_id,
                request.method == "HEAD",
            )
        except ExchangeError as error:
            return self._failed_attempt(placement, state, error)
        finally:
            state.in_flight_since.remove(sent_at)
        elapsed_ms = self.state.clock.now() - sent_at
        attempt = self._classify_response(
            request, placement, state, reply, connection
        )
        if attempt.reply is not None and reply.status < HTTP_SERVER_ERROR:
            estimate = self.state.work_estimate(request.route, request.service)
            estimate.learn(elapsed_ms, slowdown)
        return attempt

    def _still_usable(self, state: TargetState) -> bool:
        return state in self.state.usable_targets(state.target.service)

    def _failed_attempt(
        self, placement: Placement, state: TargetState, error: ExchangeError
    ) -> Attempt:
        now = self.state.clock.now()
        state.record_outcome(True, now)
        if not error.sent:
            state.record_unreachable(now)
        outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
        return Attempt(placement, None, outcome, error.sent, error.reason)

    def _classify_response(
        self,
        request: Request,
        placement: Placement,
        state: TargetState,
        reply: BufferedReply,
        connection: UpstreamConnection,
    ) -> Attempt:
        """Record the load in a response and check whether it is usable.

        Returns:
            An attempt with the response, or without it when the upstream
                rejected the request or the response is not usable.
        """
        now = self.state.clock.now()
        names = self.dialect.names
        if reply.rest is None:
            self.pool.release(placement.target, connection)
        state.record_reachable()
        rejected = names.not_run in reply.fields
        response_kind = (
            ResponseKind.REJECTED if rejected else ResponseKind.REQUEST
        )
        sample = self.dialect.load(reply.fields, now, True, response_kind)
        if sample is not None:
            state.update_sample(sample)
            self.observations.report_response(state)
        instance = reply.fields.get(names.instance)
        misdirected = reply.status == HTTP_MISDIRECTED and (
            instance is not None and instance != placement.target.identity
        )
        if misdirected:
            state.misdirected = True
        if misdirected or rejected:
            state.record_outcome(True, now)
            if reply.rest is not None:
                connection.close()
            return Attempt(placement, None, Outcome.NOT_RUN, True, "shed")
        defect = self._response_defect(request, reply)
        state.record_outcome(
            bool(defect) or reply.status >= HTTP_SERVER_ERROR, now
        )
        if defect:
            connection.close()
            return Attempt(placement, None, Outcome.UNKNOWN, True, defect)
        return Attempt(
            placement, reply, Outcome.RAN, True, "answered", connection
        )

    def _response_defect(self, request: Request, reply: BufferedReply) -> str:
        """Check whether a response can be forwarded.

        Returns:
            The reason why it cannot, or an empty string.
        """
        names = self.dialect.names
        fields = reply.fields
        if (
            fields.get(names.request_id, request.request_id)
            != request.request_id
        ):
            return "foreign"
        if not HTTP_OK <= reply.status < HTTP_MULTIPLE_CHOICES:
            return ""
        if names.signature not in fields:
            return "unsigned"
        if "content-encoding" in fields:
            return "encoded"
        return ""

    def _request_head(self, request: Request, placement: Placement) -> bytes:
        names = self.dialect.names
        remaining_ms = (
            request.deadline_at - self.state.clock.now() - UPSTREAM_MARGIN_MS
        )
        lines = [
            request.method.encode("latin-1")
            + b" "
            + request.target
            + b" HTTP/1.1"
        ]
        lines.extend(name + b": " + value for name, value in request.headers)
        lines.append(
            _header_line(names.deadline_ms, str(max(1, int(remaining_ms))))
        )
        lines.append(
            _header_line(names.expected_instance, placement.target.identity)
        )
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(
                _header_line("content-length", str(len(request.body)))
            )
        return b"\r\n".join(lines) + b"\r\n\r\n"

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
            frozenset(progress.tried),
        )

    def _log_placement(
        self, request: Request, placement: Placement, why: str
    ) -> None:
        state = self.state.targets.get(placement.target.identity)
        sample = state.sample if state else None
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


def _header_line(name: str, value: str) -> bytes:
    return f"{name}: {value}".encode("latin-1")
