"""Invariants, checked against what clients and upstreams observed."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator

from clockworks.dialect import ClockworksDialect
from soak.run_history import ClientRequest
from soak.run_history import RunHistory
from standins.counting import max_in_window

Invariant = Callable[[RunHistory], Iterator[str]]
INVARIANTS: dict[str, Invariant] = {}
SIGNATURE = ClockworksDialect.names.signature
# With these statuses a host states that no upstream ran the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_ATTEMPTS = 2
# The longest route timeout of the configuration plus the slack that the
# users' rules allow.
MAX_RESPONSE_TIME_S = 1.5
# A host counts as undisturbed this long after the last unplanned fault.
UNDISTURBED_AFTER_S = 3.0
# What an upstream may get beyond its rate limit, and when hosts have heard it.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_S = 4.0
LIMIT_HEARD_AFTER_S = 1.0


def register_invariant(name: str) -> Callable[[Invariant], Invariant]:
    """Return a decorator that registers an invariant under a name."""

    def register(function: Invariant) -> Invariant:
        INVARIANTS[name] = function
        return function

    return register


def find_violations(history: RunHistory) -> list[str]:
    """Return every violation with the request that shows it.

    Failures that were recorded during the run come first.
    """
    violations = list(history.failures)
    for name, function in INVARIANTS.items():
        violations.extend(f"{name}: {text}" for text in function(history))
    return violations


@register_invariant("at most once")
def at_most_once(history: RunHistory) -> Iterator[str]:
    """A request that is not idempotent runs at most once."""
    posted = {r.request_id for r in history.requests if r.method == "POST"}
    counts = Counter(
        e.request_id for e in history.executions if e.request_id in posted
    )
    for request_id, count in counts.items():
        if count > 1:
            yield f"{request_id} ran {count} times"


@register_invariant("not run is true")
def not_run_status_is_true(history: RunHistory) -> Iterator[str]:
    """A POST that was answered as not run has not run and never runs."""
    executed = {e.request_id for e in history.executions}
    for request in history.requests:
        reported = (
            request.status in NOT_RUN_STATUSES and request.method == "POST"
        )
        if reported and request.request_id in executed:
            yield f"{request.request_id} was answered {request.status} and ran"


@register_invariant("whole and own answers")
def responses_are_complete(history: RunHistory) -> Iterator[str]:
    """A success is a complete upstream response to the same request."""
    produced: dict[str, set[bytes]] = {}
    for execution in history.executions:
        produced.setdefault(execution.request_id, set()).add(execution.body)
    for request in history.requests:
        if request.status != 200:
            continue
        if request.body not in produced.get(request.request_id, set()):
            yield (
                f"{request.request_id} got a body that no upstream produced "
                "for it"
            )
        if SIGNATURE not in request.headers:
            yield f"{request.request_id} got a success without a signature"


@register_invariant("only what was asked")
def targets_are_unchanged(history: RunHistory) -> Iterator[str]:
    """Upstreams run the requests of clients with the target that was sent."""
    sent = {r.request_id: r.target for r in history.requests}
    for execution in history.executions:
        if (
            execution.request_id in sent
            and sent[execution.request_id] != execution.target
        ):
            yield f"{execution.request_id} ran as {execution.target}"


@register_invariant("attempts")
def attempts_within_limit(history: RunHistory) -> Iterator[str]:
    """No request runs on more upstreams than its route allows attempts."""
    counts = Counter(e.request_id for e in history.executions)
    for request_id, count in counts.items():
        if count > MAX_ATTEMPTS:
            yield f"{request_id} ran {count} times"


@register_invariant("in time")
def responses_in_time(history: RunHistory) -> Iterator[str]:
    """An undisturbed host responds within the timeout of the route."""
    for request in history.requests:
        duration_s = request.ended_at_s - request.sent_at_s
        if duration_s > MAX_RESPONSE_TIME_S and _is_undisturbed(
            history, request
        ):
            yield (
                f"{request.request_id} took {duration_s:.2f} s at "
                f"{request.host}"
            )


@register_invariant("nothing lost around planned work")
def no_response_lost(history: RunHistory) -> Iterator[str]:
    """A forwarded request gets a response from an undisturbed host.

    A request without a response that no upstream ran does not count: it may
    have been sent while the host closed its connection.
    """
    executed = {e.request_id for e in history.executions}
    for request in history.requests:
        is_lost = not request.status and request.request_id in executed
        if is_lost and _is_undisturbed(history, request):
            yield (
                f"{request.request_id} was forwarded and its response lost "
                f"at {request.host}"
            )


@register_invariant("rate limits")
def rate_limits_are_kept(history: RunHistory) -> Iterator[str]:
    """Hosts together keep the limit of an upstream once they have heard it."""
    for limit in history.limits:
        heard_at = limit.began_at_s + LIMIT_HEARD_AFTER_S
        arrivals = [
            execution.started_at_s
            for execution in history.executions
            if execution.upstream == limit.upstream
            and heard_at <= execution.started_at_s < limit.ended_at_s
        ]
        most = max_in_window(arrivals, LIMIT_WINDOW_S)
        allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        if most > allowed:
            yield (
                f"{limit.upstream} got {most} requests in {LIMIT_WINDOW_S} s, "
                f"{allowed} are allowed"
            )


def _is_undisturbed(history: RunHistory, request: ClientRequest) -> bool:
    """Return whether no unplanned fault affected the host of a request."""
    for disturbance in history.disturbances:
        if disturbance.is_planned:
            continue
        is_elsewhere = disturbance.host not in ("", request.host)
        if is_elsewhere:
            continue
        if disturbance.began_at_s <= request.ended_at_s and (
            disturbance.ended_at_s + UNDISTURBED_AFTER_S >= request.sent_at_s
        ):
            return False
    return True
