"""What must hold, checked against what callers and upstreams saw."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator

from clockworks.dialect import ClockworksDialect
from soak.records import Asked
from soak.records import Seen

Promise = Callable[[Seen], Iterator[str]]
PROMISES: dict[str, Promise] = {}
SIGNATURE = ClockworksDialect.names.signature
NOT_RUN = (408, 421, 429, 503)
ATTEMPTS_MOST = 2
# The longest route timeout of the configuration, with the slack that the
# users' rules leave.
ANSWER_MOST_S = 1.5
# A host counts as undisturbed when nothing struck it for this long.
CONTACT_S = 3.0


def promise(name: str) -> Callable[[Promise], Promise]:
    """Register a check under the name of what it checks."""

    def register(function: Promise) -> Promise:
        PROMISES[name] = function
        return function

    return register


def check(seen: Seen) -> list[str]:
    """Return every broken promise with the request that shows it."""
    found = list(seen.mistakes)
    for name, function in PROMISES.items():
        found.extend(f"{name}: {what}" for what in function(seen))
    return found


@promise("at most once")
def at_most_once(seen: Seen) -> Iterator[str]:
    """A request that is not idempotent runs once at most."""
    posted = {a.identity for a in seen.asked if a.method == "POST"}
    runs = Counter(r.identity for r in seen.runs if r.identity in posted)
    for identity, count in runs.items():
        if count > 1:
            yield f"{identity} ran {count} times"


@promise("not run is true")
def not_run_is_true(seen: Seen) -> Iterator[str]:
    """What was told not to have run never runs."""
    ran = {run.identity for run in seen.runs}
    for asked in seen.asked:
        told = asked.status in NOT_RUN and asked.method == "POST"
        if told and asked.identity in ran:
            yield f"{asked.identity} was answered {asked.status} and ran"


@promise("whole and own answers")
def whole_answers(seen: Seen) -> Iterator[str]:
    """A success is an upstream's whole answer to that very request."""
    made: dict[str, set[bytes]] = {}
    for run in seen.runs:
        made.setdefault(run.identity, set()).add(run.body)
    for asked in seen.asked:
        if asked.status != 200:
            continue
        if asked.body not in made.get(asked.identity, set()):
            yield f"{asked.identity} got a body that no upstream made for it"
        if SIGNATURE not in asked.fields:
            yield f"{asked.identity} got a success without a signature"


@promise("only what was asked")
def only_what_was_asked(seen: Seen) -> Iterator[str]:
    """Upstreams run requests of callers, as they were sent."""
    sent = {a.identity: a.target for a in seen.asked}
    for run in seen.runs:
        if run.identity in sent and sent[run.identity] != run.target:
            yield f"{run.identity} ran as {run.target}"


@promise("attempts")
def attempts(seen: Seen) -> Iterator[str]:
    """No request runs on more upstreams than its route allows."""
    runs = Counter(run.identity for run in seen.runs)
    for identity, count in runs.items():
        if count > ATTEMPTS_MOST:
            yield f"{identity} ran {count} times"


@promise("in time")
def in_time(seen: Seen) -> Iterator[str]:
    """An undisturbed host answers within the route's timeout."""
    for asked in seen.asked:
        took = asked.ended - asked.sent
        if took > ANSWER_MOST_S and _is_calm(seen, asked):
            yield f"{asked.identity} took {took:.2f} s at {asked.host}"


@promise("nothing lost around planned work")
def nothing_lost(seen: Seen) -> Iterator[str]:
    """A request that was passed on gets its answer from an undisturbed host.

    A request that crosses the closing of its connection and never ran does
    not count.
    """
    ran = {run.identity for run in seen.runs}
    for asked in seen.asked:
        lost = not asked.status and asked.identity in ran
        if lost and _is_calm(seen, asked):
            yield f"{asked.identity} was passed on and lost at {asked.host}"


def _is_calm(seen: Seen, asked: Asked) -> bool:
    """Say whether nothing unplanned struck a request's host or its ways."""
    for trouble in seen.troubles:
        if trouble.planned:
            continue
        elsewhere = trouble.host not in ("", asked.host)
        if elsewhere:
            continue
        if trouble.began <= asked.ended and (
            trouble.ended + CONTACT_S >= asked.sent
        ):
            return False
    return True
