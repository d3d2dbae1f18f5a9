"""What a grantor learns of one upstream from results and load reports.

The load: upstreams that restart, are slow after it, reject requests or name a
rate limit, while permits for them are in use.
"""

from wigeongw.core.records import Upstream
from wigeongw.decisions import warm_up
from wigeongw.decisions.grantor_state import TrackedUpstream
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.rate_limit import GrantTerms
from wigeongw.decisions.rate_limit import LimitGrantor
from wigeongw.decisions.warm_up import Ramp
from wigeongw.settings.schema import ColdStartSettings


def track(
    upstream: Upstream,
    slots: int,
    view: UpstreamView | None,
    rules: ColdStartSettings,
) -> TrackedUpstream:
    """Return the state of an upstream that no permit is out for.

    Args:
        upstream: the upstream.
        slots: concurrent requests of one warm upstream.
        view: what another host announced of it last; None if unknown.
        rules: settings of the warm-up.
    """
    if view is None:
        return TrackedUpstream(upstream, warm_up.cold(slots, rules))
    ramp = warm_up.warm(slots) if view.warm else warm_up.cold(slots, rules)
    return TrackedUpstream(
        upstream, ramp, start=view.start, seen_at=view.seen_at
    )


def view_of(pool: str, tracked: TrackedUpstream) -> UpstreamView:
    """Return the state of an upstream as other hosts are told of it."""
    rate_limit = tracked.rate_limit
    return UpstreamView(
        pool,
        tracked.upstream.name,
        tracked.ramp.warm,
        tracked.ramp.limit,
        tracked.start,
        tracked.seen_at,
        rate_limit.terms.per_s if rate_limit is not None else None,
    )


def ramp_after(
    tracked: TrackedUpstream,
    returned: Return,
    rules: ColdStartSettings,
    baseline_ms: float,
    now: float,
) -> Ramp:
    """Return the warm-up state after the result of a request.

    Args:
        tracked: the upstream.
        returned: the result.
        rules: settings of the warm-up.
        baseline_ms: usual duration in the pool; 0 when unknown.
        now: monotonic milliseconds.
    """
    before = tracked.ramp
    match returned.verdict:
        case Verdict.GOOD:
            return warm_up.after_success(
                before, rules, returned.served_ms, baseline_ms
            )
        case Verdict.SHED:
            return warm_up.after_shed(before, rules, now, tracked.in_use)
        case Verdict.UNREACHABLE:
            return warm_up.after_unreachable(before, rules, now)
        case Verdict.RESTARTED:
            return warm_up.cold(before.slots, rules)
    return before


def note_start(
    tracked: TrackedUpstream, start: str, rules: ColdStartSettings
) -> bool:
    """Turn an upstream cold if its start identity changed.

    Args:
        tracked: the upstream.
        start: the start identity that it reported; empty if unknown.
        rules: settings of the warm-up.

    Returns:
        Whether permits for it must be revoked, as it was warm.
    """
    if not start or start == tracked.start:
        return False
    previous = tracked.start
    tracked.start = start
    if not previous:
        return False
    tracked.rate_limit = None
    was_warm = tracked.ramp.warm
    tracked.ramp = warm_up.cold(tracked.ramp.slots, rules)
    return was_warm


def note_rate_limit(
    tracked: TrackedUpstream, terms: GrantTerms | None, now: float
) -> bool:
    """Apply what a response said about the upstream's rate limit.

    Args:
        tracked: the upstream.
        terms: this grantor's part of the limit; None if it named none.
        now: monotonic milliseconds.

    Returns:
        Whether permits that could be used more than once must be revoked.
    """
    if terms is None:
        tracked.ended_rate_limit = tracked.rate_limit
        tracked.rate_limit = None
        return False
    if tracked.rate_limit is not None:
        tracked.rate_limit.set_terms(terms, now)
        return False
    tracked.rate_limit = tracked.ended_rate_limit
    if tracked.rate_limit is None:
        tracked.rate_limit = LimitGrantor(terms, True, now)
    tracked.rate_limit.set_terms(terms, now)
    return True
