"""What a host believes after the store came back from an older copy.

Answers a store that loses what it confirmed in the seconds before it went
away. Operators and upstreams write theirs again shortly after the return.
Until then, what was confirmed stays in force:

- the highest revision of the configuration;
- upstreams, hosts and evacuations that the copy lacks;
- that an upstream is draining or has left, and that a host has left, although
  the copy has them as they were before.

What contradicts the view takes effect after a time, if it was not written
again by then. A host's lease counts in the new era only if the copy has the
host's entry under it, since the store may give its number to another host.
"""

from dataclasses import dataclass
from dataclasses import replace
import enum
import functools

from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import REMOVAL_GRACE_MS
from wigeongw.decisions.site_view import SiteView
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import NOTHING_READ
from wigeongw.ports.catalog import PendingChange
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import UNKNOWN_ERA
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

# How long after a return requests may not be sent again to what the view has
# as left, draining or evacuated. An entry that nobody renews has expired by
# then.
CONFIRMED_HOLD_MS = 8_000.0


class RelayAnswer(enum.Enum):
    """What a host does with another host's answer."""

    USE = "use"
    TOO_OLD = "too_old"
    EARLIER_ERA = "earlier_era"


class LeaseState(enum.Enum):
    """Whether a host's lease is known to be its own."""

    VALID = "valid"
    UNPROVEN = "unproven"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Differences:
    """How the store's copy differs from the view that it is merged into.

    Attributes:
        missing: entries and evacuations that the copy lacks.
        revived: entries and evacuations that had ended.
        is_older_configuration: whether its configuration is older.
    """

    missing: int
    revived: int
    is_older_configuration: bool


def newest_era(known: int, answered: int) -> int:
    """Return the era of an answer of the store.

    An answer that names no era is taken to be of the era that is known.

    Args:
        known: the highest era that this host knows.
        answered: the era in the answer, or UNKNOWN_ERA.

    Raises:
        ValueError: when the answer is of an earlier era.
    """
    if answered == UNKNOWN_ERA:
        return known
    if answered < known:
        raise ValueError(f"answer of era {answered}, known is {known}")
    return answered


def judge_relay_answer(
    own: StorePosition, batch: ChangeBatch, max_age_ms: float
) -> RelayAnswer:
    """Decide whether to use another host's answer.

    Args:
        own: the position that was asked for.
        batch: the answer.
        max_age_ms: limit for the time since the store answered that host.
    """
    if batch.position.era < own.era:
        return RelayAnswer.EARLIER_ERA
    if batch.position.era > own.era and not batch.is_full:
        return RelayAnswer.EARLIER_ERA
    if batch.changes or batch.age_ms <= max_age_ms:
        return RelayAnswer.USE
    return RelayAnswer.TOO_OLD


def judge_lease(
    lease: Lease, view: SiteView, host: str, era: int
) -> LeaseState:
    """Decide whether a lease is still known to be a host's own.

    Args:
        lease: the lease.
        view: the host's view.
        host: name of the host.
        era: the highest era of the store that the host knows.
    """
    if lease.era == era:
        return LeaseState.VALID
    if view.position.era != era:
        return LeaseState.UNPROVEN
    entry = _entry_in_store(view, host)
    is_own = entry is not None and entry.lease == lease.number
    return LeaseState.VALID if is_own else LeaseState.LOST


def _entry_in_store(view: SiteView, host: str) -> Host | None:
    """Return the entry of a host as the store has it."""
    scheduled = view.pending.get(HostGone(host))
    if scheduled is None:
        return view.hosts.get(host)
    return scheduled.change if isinstance(scheduled.change, Host) else None


def merge_full_batch(
    view: SiteView, batch: ChangeBatch, now: float, store_away_ms: float
) -> SiteView:
    """Apply the whole catalog, as the store or another host returned it.

    Args:
        view: the view before.
        batch: the whole catalog.
        now: monotonic clock in milliseconds.
        store_away_ms: the last time at which the store was known to be
            unavailable, monotonic milliseconds.
    """
    view = replace(view, returned_at=_returned_at(view, batch, now))
    if now >= view.returned_at + CONFIRMED_HOLD_MS:
        return site_view.apply_snapshot(
            view, batch.changes, now, store_away_ms
        )
    if batch.relayed:
        view = _adopt_evacuations(view, batch.changes)
    view = _merge_copy(view, batch.changes)
    for pending in batch.pending:
        if site_view.subject_of(pending.change) not in view.pending:
            due_at = now + pending.due_in_ms
            view = site_view.schedule(view, pending.change, due_at)
    return site_view.apply_due_changes(view, now)


def full_batch(view: SiteView, age_ms: float, now: float) -> ChangeBatch:
    """Return all that a view holds, for another host.

    Args:
        view: the view.
        age_ms: time since the store answered the host of the view.
        now: monotonic clock in milliseconds.
    """
    pending = tuple(
        PendingChange(scheduled.change, scheduled.due_at - now)
        for scheduled in view.pending.values()
    )
    return ChangeBatch(
        tuple(site_view.entries(view).values()),
        view.position,
        age_ms=age_ms,
        is_full=True,
        pending=pending,
        era_age_ms=now - view.returned_at,
    )


def compare(view: SiteView, batch: ChangeBatch) -> Differences:
    """Return how a full batch differs from the view, for the log."""
    present = {site_view.subject_of(change) for change in batch.changes}
    missing = len(site_view.entries(view).keys() - present)
    revived = sum(_is_revived(change, view) for change in batch.changes)
    configuration = view.configuration
    is_older = configuration is not None and not any(
        getattr(change, "revision", -1) >= configuration.revision
        for change in batch.changes
    )
    return Differences(missing, revived, is_older)


def _is_revived(change: Change, view: SiteView) -> bool:
    if isinstance(change, Target | Host):
        return site_view.has_departed(view, change)
    if isinstance(change, ZoneEvacuated):
        return change.availability_zone not in view.evacuated
    return False


def _returned_at(view: SiteView, batch: ChangeBatch, now: float) -> float:
    """Return when the store's last return became known to the hosts."""
    told_at = now - batch.era_age_ms
    is_return = (
        view.position != NOTHING_READ
        and batch.position.era > view.position.era
    )
    if is_return and told_at <= view.returned_at:
        # It was read from the store, or that host has started since.
        return now
    return max(view.returned_at, told_at)


def _adopt_evacuations(
    view: SiteView, changes: tuple[Change, ...]
) -> SiteView:
    """Apply the evacuations that are in force at another host."""
    for change in changes:
        if isinstance(change, ZoneEvacuated):
            view = site_view.apply_change(view, change, view.returned_at)
    return view


def _merge_copy(view: SiteView, changes: tuple[Change, ...]) -> SiteView:
    """Merge a copy into a view; what contradicts the view is scheduled.

    What was pending before is derived anew from the copy.
    """
    grace_ends_at = view.returned_at + REMOVAL_GRACE_MS
    hold_ends_at = view.returned_at + CONFIRMED_HOLD_MS
    missing = site_view.missing_entries(view, changes)
    present = {site_view.subject_of(change) for change in changes}
    view = replace(view, pending={})
    for zone in view.evacuated:
        if ZoneRestored(zone) not in present:
            view = site_view.schedule(view, ZoneRestored(zone), hold_ends_at)
    known = site_view.entries(view)
    for change in changes:
        if not _is_known(change, known.get(site_view.subject_of(change))):
            view = _merge(change, view)
    for removal in missing:
        view = site_view.schedule(view, removal, grace_ends_at)
    return view


def _is_known(change: Change, known: Change | None) -> bool:
    """Return whether an entry of a copy is the same in the view."""
    if isinstance(change, Host) and isinstance(known, Host):
        return change == known and change.lease == known.lease
    return change == known


@functools.singledispatch
def _merge(change: Change, view: SiteView) -> SiteView:
    """Merge one entry of a copy into a view."""
    return site_view.apply_change(view, change, view.returned_at)


@_merge.register
def _(change: Target, view: SiteView) -> SiteView:
    current = view.targets.get(change.identity)
    is_revived = current is None and site_view.has_departed(view, change)
    is_undrained = (
        current is not None
        and current.draining
        and not change.draining
        and site_view.is_same_start(current, change)
    )
    if is_revived or is_undrained:
        due_at = view.returned_at + CONFIRMED_HOLD_MS
        return site_view.schedule(view, change, due_at)
    return site_view.apply_change(view, change, view.returned_at)


@_merge.register
def _(change: Host, view: SiteView) -> SiteView:
    if change.name not in view.hosts and site_view.has_departed(view, change):
        due_at = view.returned_at + CONFIRMED_HOLD_MS
        return site_view.schedule(view, change, due_at)
    return site_view.apply_change(view, change, view.returned_at)


@_merge.register
def _(change: ZoneEvacuated, view: SiteView) -> SiteView:
    if change.availability_zone in view.evacuated:
        return view
    # Either it had ended, or it began after the return. A new evacuation may
    # wait this long.
    due_at = view.returned_at + REMOVAL_GRACE_MS
    return site_view.schedule(view, change, due_at)
