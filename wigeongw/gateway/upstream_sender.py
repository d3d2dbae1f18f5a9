"""Sends a request to one upstream and judges what came back.

Whether the upstream ran the request, as far as is known, decides what may be
retried and what the client is told.
"""

import asyncio
from dataclasses import dataclass
from functools import partial

from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.adapters.upstream_reply import ExchangeError
from wigeongw.core.records import Outcome
from wigeongw.core.site import Target
from wigeongw.decisions import rollout
from wigeongw.decisions.placement import Placement
from wigeongw.gateway.availability_reader import AvailabilityReader
from wigeongw.gateway.crash_watch import CrashWatch
from wigeongw.gateway.observation_exchange import ObservationExchange
from wigeongw.gateway.rate_limit_reader import RateLimitReader
from wigeongw.gateway.rate_limiter import RateLimiter
from wigeongw.gateway.request import Request
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import Dialect
from wigeongw.ports.dialect import ResponseKind

HTTP_MISDIRECTED = 421
# A client takes each of these to say that its request did not run.
NOT_RUN_STATUSES = frozenset((408, HTTP_MISDIRECTED, 429, 503))
HTTP_SERVER_ERROR = 500
HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
# The upstream's deadline is this much earlier than the client's.
UPSTREAM_MARGIN_MS = 2.0
# Reason of an attempt that the rate limit of the upstream did not allow.
RATE_LIMITED = "rate_limited"
# Cause of an attempt that ended without its upstream: the request's time was
# over, another attempt brought the answer, or the client left.
NOT_AWAITED = "not_awaited"


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


class UpstreamSender:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        state: GatewayState,
        pool: UpstreamPool,
        dialect: Dialect,
        observations: ObservationExchange,
        limit_reader: RateLimitReader,
        rate_limiter: RateLimiter,
        availability_reader: AvailabilityReader,
        crash_watch: CrashWatch,
    ) -> None:
        self.state = state
        self.availability_reader = availability_reader
        self.crash_watch = crash_watch
        self.limit_reader = limit_reader
        self.rate_limiter = rate_limiter
        self.pool = pool
        self.dialect = dialect
        self.observations = observations

    async def send(
        self,
        request: Request,
        placement: Placement,
    ) -> Attempt:
        """Send a request to the upstream of a placement, at most once."""
        state = self.state.targets.get(placement.target.identity)
        if state is None:
            return _unsent(placement, "gone")
        now = self.state.clock.now()
        if placement.doubtful and not state.cold_bucket.take(now):
            return _unsent(placement, "cold")
        admission = await self.rate_limiter.admit(state, request.request_id)
        if admission is None:
            return _unsent(placement, RATE_LIMITED)
        sent_at = self.state.clock.now()
        state.in_flight_since.append(sent_at)
        flight = state.begin_flight()
        self.observations.report_send(state)
        slowdown = state.sample.slowdown if state.sample else 1.0
        connection: UpstreamConnection | None = None
        try:
            connection = await self.pool.acquire(placement.target)
            if not self.state.is_usable(state):
                self.pool.release(placement.target, connection)
                return _unsent(placement, "gone")
            if not admission.is_valid(
                state.limit_per_s is not None, self.state.clock.now()
            ):
                self.pool.release(placement.target, connection)
                return _unsent(placement, RATE_LIMITED)
            reply = await connection.exchange(
                self._request_head(request, placement),
                request.body,
                request.request_id,
                request.method == "HEAD",
                partial(self._read_head, state, request, sent_at),
            )
        except ExchangeError as error:
            if error.sent and error.is_broken:
                self.crash_watch.check_upstream(
                    state, request, flight.is_alone
                )
            if error.sent:
                self._count_version(request, placement, state, True, 0.0)
            self._log_failed(request, state, error.reason, connection, sent_at)
            return self._failed_attempt(placement, state, error)
        except asyncio.CancelledError:
            if connection is not None:
                self._log_failed(
                    request, state, NOT_AWAITED, connection, sent_at
                )
            raise
        finally:
            state.in_flight_since.remove(sent_at)
            state.flights.discard(flight)
        elapsed_ms = self.state.clock.now() - sent_at
        attempt = self._classify_response(
            request, placement, state, reply, connection, sent_at
        )
        if attempt.outcome is not Outcome.NOT_RUN:
            failed = attempt.reply is None or reply.status >= HTTP_SERVER_ERROR
            self._count_version(request, placement, state, failed, elapsed_ms)
        if attempt.reply is not None and reply.status < HTTP_SERVER_ERROR:
            estimate = self.state.work_estimate(request.route, request.service)
            estimate.learn(elapsed_ms, slowdown)
        return attempt

    def _count_version(
        self,
        request: Request,
        placement: Placement,
        state: TargetState,
        failed: bool,
        elapsed_ms: float,
    ) -> None:
        """Count an answer, in case its service changes its version."""
        is_cold = state.cold_until > self.state.clock.now()
        limit_ms = rollout.SLOW_FACTOR * placement.expected_ms
        self.state.rollouts.record(
            placement.target,
            request.route.name,
            failed,
            not is_cold and elapsed_ms > limit_ms,
        )

    def _failed_attempt(
        self, placement: Placement, state: TargetState, error: ExchangeError
    ) -> Attempt:
        now = self.state.clock.now()
        state.record_outcome(True, now)
        if not error.sent:
            state.record_unreachable(now)
        outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
        return Attempt(placement, None, outcome, error.sent, error.reason)

    def _read_head(
        self,
        state: TargetState,
        request: Request,
        sent_at: float,
        reply: BufferedReply,
    ) -> None:
        """Take in what an upstream says of itself in the head of a response.

        That counts even if the rest never comes or nobody waits for it.
        """
        if self._is_misdirected(state.target, reply):
            state.misdirected = True
            return
        self.limit_reader.read(
            state,
            reply,
            self._response_kind(reply),
            sent_at,
            request.request_id,
        )
        self.availability_reader.read(state, reply, request.request_id)

    def _is_misdirected(self, target: Target, reply: BufferedReply) -> bool:
        """Return whether another upstream has the address now."""
        instance = reply.fields.get(self.dialect.names.instance)
        return reply.status == HTTP_MISDIRECTED and (
            instance is not None and instance != target.identity
        )

    def _response_kind(self, reply: BufferedReply) -> ResponseKind:
        if self.dialect.names.not_run in reply.fields:
            return ResponseKind.REJECTED
        return ResponseKind.REQUEST

    def _classify_response(
        self,
        request: Request,
        placement: Placement,
        state: TargetState,
        reply: BufferedReply,
        connection: UpstreamConnection,
        sent_at: float,
    ) -> Attempt:
        """Record the load in a response and check whether it is usable.

        Returns:
            An attempt with the response, or without it when the upstream
                rejected the request or the response is not usable.
        """
        now = self.state.clock.now()
        if reply.rest is None:
            self.pool.release(placement.target, connection)
        state.record_reachable()
        kind = self._response_kind(reply)
        sample = self.dialect.load(reply.fields, now, True, kind)
        if sample is not None:
            state.update_sample(sample)
            self.observations.report_response(state)
        rejected = kind is ResponseKind.REJECTED
        if rejected or reply.status in NOT_RUN_STATUSES:
            state.record_outcome(True, now)
            if reply.rest is not None:
                connection.close()
            outcome = self._rejection_outcome(reply)
            return Attempt(placement, None, outcome, True, "shed")
        defect = self._response_defect(request, reply)
        state.record_outcome(
            bool(defect) or reply.status >= HTTP_SERVER_ERROR, now
        )
        if defect:
            self._log_failed(request, state, defect, connection, sent_at)
            connection.close()
            return Attempt(placement, None, Outcome.UNKNOWN, True, defect)
        self.crash_watch.record_answer(request)
        return Attempt(
            placement, reply, Outcome.RAN, True, "answered", connection
        )

    def _log_failed(
        self,
        request: Request,
        state: TargetState,
        cause: str,
        connection: UpstreamConnection | None,
        sent_at: float,
    ) -> None:
        """Log what came of an attempt that brought no answer.

        The request may still be answered by another attempt.
        """
        account = connection.account if connection is not None else None
        self.state.log.add(
            "upstream",
            id=request.request_id,
            to=state.target.identity,
            event="failed",
            cause=cause,
            received=account.received if account is not None else None,
            body=account.body if account is not None else None,
            took_ms=self.state.clock.now() - sent_at,
        )

    def _rejection_outcome(self, reply: BufferedReply) -> Outcome:
        """Return what is known of a request whose response rejects it.

        The request may have run if the response does not say otherwise, or
        may be a late copy of the response to another request.
        """
        says_not_run = (
            self.dialect.names.not_run in reply.fields
            or reply.status == HTTP_MISDIRECTED
        )
        if says_not_run and reply.answers_request:
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN

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


def _unsent(placement: Placement, reason: str) -> Attempt:
    """Return the attempt for a request of which no byte was sent."""
    return Attempt(placement, None, Outcome.NOT_RUN, False, reason)


def _header_line(name: str, value: str) -> bytes:
    return f"{name}: {value}".encode("latin-1")
