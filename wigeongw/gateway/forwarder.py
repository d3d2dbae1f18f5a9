"""Sends a request to upstreams until one answer is final.

A request that may not run twice goes to a second upstream only after the
first said that it did not run it, or when no byte left. Others may go to a
second one when the first failed or is late, within the budget that all hosts
share.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field

from wigeongw.adapters.upstream_connection import ExchangeError
from wigeongw.adapters.upstream_connection import Reply
from wigeongw.adapters.upstream_connection import UpstreamConnection
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import seconds
from wigeongw.core.records import Outcome
from wigeongw.core.site import Route
from wigeongw.decisions import patience
from wigeongw.decisions import shares
from wigeongw.decisions.placing import Placement
from wigeongw.gateway.errors import FailedError
from wigeongw.gateway.errors import RefusedError
from wigeongw.gateway.placer import Placer
from wigeongw.gateway.placer import Wanted
from wigeongw.gateway.sightings import SightingExchange
from wigeongw.gateway.state import HostState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import AnswerTo
from wigeongw.ports.dialect import Dialect

MISDIRECTED = 421
SERVER_ERROR = 500
OK = 200
MULTIPLE_CHOICES = 300
# An upstream stops a little before the client is answered here.
UPSTREAM_MARGIN_MS = 2.0
# Timers may fire this much early.
TIMER_SLACK_MS = 2.0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, read whole.

    Attributes:
        identity: as the client sent it.
        target: path and query, byte for byte.
        headers: end-to-end headers, names in lower case.
        arrived: when its head was read.
        ends_at: when the client must have an answer.
        overdue: it cannot be on time any more.
    """

    identity: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    route: Route
    service: str
    arrived: float
    ends_at: float
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """How one send ended.

    Attributes:
        reply: None when there is no answer to pass on.
        outcome: what became of the request there.
        arrived: whether a byte may have reached the upstream.
    """

    placed: Placement
    reply: Reply | None
    outcome: Outcome
    arrived: bool
    reason: str
    connection: UpstreamConnection | None = None


@dataclass(slots=True)
class Trail:
    """What has been done for a request so far."""

    sends: int = 0
    tried: set[str] = field(default_factory=set)
    unknown: bool = False
    running: dict[asyncio.Task[Attempt], Placement] = field(
        default_factory=dict
    )
    hedged: bool = False


class Forwarder:
    """Carries requests to upstreams."""

    def __init__(
        self,
        state: HostState,
        placer: Placer,
        pool: UpstreamPool,
        dialect: Dialect,
        sightings: SightingExchange,
    ) -> None:
        self.state = state
        self.sightings = sightings
        self.placer = placer
        self.pool = pool
        self.dialect = dialect

    async def forward(self, request: Request) -> Attempt:
        """Return the attempt whose answer goes to the client.

        Raises:
            RequestError: when this host answers by itself.
        """
        self.state.retry_share(request.service).earn(self.state.clock.now())
        trail = Trail()
        try:
            placed = await self.placer.place(self._wanted(request, trail))
            self._start(request, trail, placed, "first")
            return await self._await_final(request, trail)
        finally:
            for task in trail.running:
                task.cancel()

    # Deciding

    async def _await_final(self, request: Request, trail: Trail) -> Attempt:
        while True:
            done = await self._next(request, trail)
            if done is None:
                left = request.ends_at - self.state.clock.now()
                if left < TIMER_SLACK_MS:
                    raise FailedError(504, "timeout")
                await self._second(request, trail)
                continue
            if self._is_final(request, done):
                return done
            if done.outcome is not Outcome.NOT_RUN:
                trail.unknown = True
            if trail.running:
                continue
            if not await self._again(request, trail, done):
                return self._give_up(request, trail, done)

    async def _next(self, request: Request, trail: Trail) -> Attempt | None:
        """Wait for an attempt to end, or for the next moment to act."""
        now = self.state.clock.now()
        wait_ms = request.ends_at - now
        if self._may_hedge(request, trail):
            placed = next(iter(trail.running.values()))
            after = patience.second_try_after(
                placed.expected_ms, request.route.objective_ms
            )
            wait_ms = min(wait_ms, request.arrived + after - now)
        done, _ = await asyncio.wait(
            trail.running,
            timeout=seconds(max(0.0, wait_ms)),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            del trail.running[task]
            return task.result()
        return None

    def _may_hedge(self, request: Request, trail: Trail) -> bool:
        return (
            request.route.idempotent
            and not trail.hedged
            and len(trail.running) == 1
            and trail.sends < request.route.attempts
        )

    async def _second(self, request: Request, trail: Trail) -> None:
        """Send a late request to a second upstream if that should help."""
        trail.hedged = True
        share = self.state.retry_share(request.service)
        now = self.state.clock.now()
        if share.left(now) < 1.0 + shares.KEPT_FOR_FAILED:
            self._note(request, "second", "over_budget")
            return
        placed = await self.placer.look(self._wanted(request, trail))
        if placed is None:
            return
        left = request.ends_at - self.state.clock.now()
        if not patience.can_finish(placed.expected_ms, left):
            return
        if not trail.running or any(t.done() for t in trail.running):
            return
        if share.spend(self.state.clock.now(), shares.KEPT_FOR_FAILED):
            self.state.metrics.count("second_tries_total", "late")
            self._start(request, trail, placed, "late")

    async def _again(
        self, request: Request, trail: Trail, failed: Attempt
    ) -> bool:
        """Send a failed request again if it may be and should be."""
        may_run_twice = request.route.idempotent
        if failed.outcome is not Outcome.NOT_RUN and not may_run_twice:
            return False
        if failed.arrived:
            if trail.sends >= request.route.attempts:
                return False
            share = self.state.retry_share(request.service)
            if not share.spend(self.state.clock.now()):
                self._note(request, "again", "over_budget")
                return False
        try:
            placed = await self.placer.place(self._wanted(request, trail))
        except RefusedError:
            return False
        self.state.metrics.count("second_tries_total", failed.reason)
        self._start(request, trail, placed, "again")
        return True

    def _is_final(self, request: Request, attempt: Attempt) -> bool:
        if attempt.reply is None:
            return False
        failed = attempt.reply.status >= SERVER_ERROR
        return not (failed and request.route.idempotent)

    def _give_up(
        self, request: Request, trail: Trail, failed: Attempt
    ) -> Attempt:
        """Pass on an upstream's own failure, or say what is certain."""
        if failed.reply is not None:
            return failed
        if trail.unknown or failed.outcome is not Outcome.NOT_RUN:
            raise FailedError(502, failed.reason)
        work = self.state.work_of(request.route, request.service)
        after = self.placer.retry_after(request.service, work.mean_ms)
        if self.placer.has_room(request.service):
            after = patience.RETRY_SOON_MS
        raise RefusedError(failed.reason, after)

    # Sending

    def _start(
        self, request: Request, trail: Trail, placed: Placement, why: str
    ) -> None:
        trail.sends += 1
        trail.tried.add(placed.target.identity)
        self._log_place(request, placed, why)
        state = self.state.targets.get(placed.target.identity)
        task = asyncio.create_task(self._attempt(request, placed, state))
        trail.running[task] = placed

    async def _attempt(
        self,
        request: Request,
        placed: Placement,
        state: TargetState | None,
    ) -> Attempt:
        if state is None:
            return Attempt(placed, None, Outcome.NOT_RUN, False, "gone")
        now = self.state.clock.now()
        if placed.doubtful and not state.cold.take(now):
            return Attempt(placed, None, Outcome.NOT_RUN, False, "cold")
        began = now
        state.began.append(began)
        self.sightings.note_sent(state)
        slowdown = state.sample.slowdown if state.sample else 1.0
        try:
            connection = await self.pool.take(placed.target)
            if not self._still_usable(state):
                self.pool.give_back(placed.target, connection)
                return Attempt(placed, None, Outcome.NOT_RUN, False, "gone")
            reply = await connection.exchange(
                self._head(request, placed),
                request.body,
                request.identity,
                request.method == "HEAD",
            )
        except ExchangeError as error:
            return self._broken(placed, state, error)
        finally:
            state.began.remove(began)
        took = self.state.clock.now() - began
        attempt = self._read(request, placed, state, reply, connection)
        if attempt.reply is not None and reply.status < SERVER_ERROR:
            work = self.state.work_of(request.route, request.service)
            work.learn(took, slowdown)
        return attempt

    def _still_usable(self, state: TargetState) -> bool:
        return state in self.state.usable(state.target.service)

    def _broken(
        self, placed: Placement, state: TargetState, error: ExchangeError
    ) -> Attempt:
        now = self.state.clock.now()
        state.note_end(True, now)
        if not error.sent:
            state.note_unreachable(now)
        outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
        return Attempt(placed, None, outcome, error.sent, error.reason)

    def _read(
        self,
        request: Request,
        placed: Placement,
        state: TargetState,
        reply: Reply,
        connection: UpstreamConnection,
    ) -> Attempt:
        """Judge an answer: whose it is, what it says, whether it is whole."""
        now = self.state.clock.now()
        names = self.dialect.names
        if reply.rest is None:
            self.pool.give_back(placed.target, connection)
        state.note_reached()
        rejected = names.not_run in reply.fields
        answer_to = AnswerTo.REJECTED if rejected else AnswerTo.REQUEST
        sample = self.dialect.load(reply.fields, now, True, answer_to)
        if sample is not None:
            state.take(sample)
            self.sightings.note_answer(state)
        instance = reply.fields.get(names.instance)
        misdirected = reply.status == MISDIRECTED and (
            instance is not None and instance != placed.target.identity
        )
        if misdirected:
            state.misdirected = True
        if misdirected or rejected:
            state.note_end(True, now)
            if reply.rest is not None:
                connection.close()
            return Attempt(placed, None, Outcome.NOT_RUN, True, "shed")
        failed = self._defect(request, reply)
        state.note_end(bool(failed) or reply.status >= SERVER_ERROR, now)
        if failed:
            connection.close()
            return Attempt(placed, None, Outcome.UNKNOWN, True, failed)
        return Attempt(
            placed, reply, Outcome.RAN, True, "answered", connection
        )

    def _defect(self, request: Request, reply: Reply) -> str:
        """Say why an answer cannot be passed on; empty when it can."""
        names = self.dialect.names
        fields = reply.fields
        if fields.get(names.request_id, request.identity) != request.identity:
            return "foreign"
        if not OK <= reply.status < MULTIPLE_CHOICES:
            return ""
        if names.signature not in fields:
            return "unsigned"
        if "content-encoding" in fields:
            return "encoded"
        return ""

    def _head(self, request: Request, placed: Placement) -> bytes:
        names = self.dialect.names
        left = request.ends_at - self.state.clock.now() - UPSTREAM_MARGIN_MS
        lines = [
            request.method.encode("latin-1")
            + b" "
            + request.target
            + b" HTTP/1.1"
        ]
        lines.extend(name + b": " + value for name, value in request.headers)
        lines.append(_line(names.deadline_ms, str(max(1, int(left)))))
        lines.append(_line(names.expected_instance, placed.target.identity))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(_line("content-length", str(len(request.body))))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Words

    def _wanted(self, request: Request, trail: Trail) -> Wanted:
        return Wanted(
            request.identity,
            request.route,
            request.service,
            request.arrived,
            request.ends_at,
            request.overdue,
            frozenset(trail.tried),
        )

    def _log_place(
        self, request: Request, placed: Placement, why: str
    ) -> None:
        state = self.state.targets.get(placed.target.identity)
        sample = state.sample if state else None
        now = self.state.clock.now()
        self.state.log.add(
            "place",
            id=request.identity,
            service=request.service,
            to=placed.target.identity,
            zone=placed.target.availability_zone,
            why=why,
            expected_ms=placed.expected_ms,
            doubtful=int(placed.doubtful),
            sample_age_ms=now - sample.at_ms if sample else None,
            running=sample.running if sample else None,
            waiting=sample.waiting if sample else None,
            slowdown=sample.slowdown if sample else None,
            risk=state.risk.now(now) if state else None,
        )

    def _note(self, request: Request, part: str, reason: str) -> None:
        self.state.metrics.count("not_sent_again_total", reason)
        self.state.log.add(part, id=request.identity, reason=reason)


def _line(name: str, value: str) -> bytes:
    return f"{name}: {value}".encode("latin-1")
