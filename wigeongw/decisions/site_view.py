"""The view that a host has of its site, and how changes are applied to it.

The revision of the configuration never decreases. Entries that disappear
shortly after the store was unavailable may only have expired because their
leases could not be renewed. They are kept for a grace time and removed if
they have not reappeared by then.

The store may come back from a copy that lacks what it confirmed last. What it
holds then is merged into the view by ``decisions/store_return.py``.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import functools

from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import RolloutOrder
from wigeongw.core.site import RolloutStatus
from wigeongw.core.site import Target
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import NOTHING_READ
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

# Entries that expired while the store was unavailable are registered again
# within two seconds of its return.
REMOVAL_GRACE_MS = 2_200.0
# How long removed entries are remembered. A copy of the store may bring them
# back; it is younger than this.
DEPARTED_TTL_MS = 60_000.0
MAX_DEPARTED = 2_000
Removal = TargetGone | HostGone
Entry = Target | Host


@dataclass(frozen=True, slots=True)
class RolloutSubject:
    """What an order, or its status, is about."""

    kind: type
    service: str


# What a change is about: two changes with the same subject exclude each other.
Subject = TargetGone | HostGone | ZoneRestored | RolloutSubject | None


@dataclass(frozen=True, slots=True)
class ScheduledChange:
    """A change that takes effect later.

    Attributes:
        due_at: when it takes effect, monotonic milliseconds.
    """

    change: Change
    due_at: float


@dataclass(frozen=True, slots=True)
class Departure:
    """An entry that was removed.

    Attributes:
        entry: the entry as it was last known.
        at_ms: when it was removed, monotonic clock.
    """

    entry: Entry
    at_ms: float


@dataclass(frozen=True, slots=True)
class SiteView:
    """Configuration, upstreams and hosts of a site, as known to one host.

    Attributes:
        configuration: None until a configuration was read.
        targets: upstreams by identity.
        hosts: entry hosts by name.
        evacuated: availability zones that are out of service.
        orders: the last order to change a service's version, by service.
        statuses: the statuses of these orders, by service.
        position: the position in the store that the view reflects.
        store_responded_ms: when the store last responded, monotonic clock.
        pending: changes that were read and take effect later, by subject.
        departed: entries that were removed lately, by their removal.
        returned_at: when the store's last return from a copy became known,
            monotonic clock; minus infinity for none.
    """

    configuration: Configuration | None = None
    targets: dict[str, Target] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    orders: dict[str, RolloutOrder] = field(default_factory=dict)
    statuses: dict[str, RolloutStatus] = field(default_factory=dict)
    position: StorePosition = NOTHING_READ
    store_responded_ms: float = 0.0
    pending: dict[Subject, ScheduledChange] = field(default_factory=dict)
    departed: dict[Removal, Departure] = field(default_factory=dict)
    returned_at: float = float("-inf")


def apply_changes(
    view: SiteView, changes: Iterable[Change], now: float, store_away_ms: float
) -> SiteView:
    """Apply changes to a view.

    Args:
        view: the view before the changes.
        changes: the changes in order.
        now: monotonic clock in milliseconds.
        store_away_ms: the last time at which the store was known to be
            unavailable, monotonic milliseconds.

    Returns:
        The view after the changes. Removals within the grace time are
        pending.
    """
    grace_ends_at = max(store_away_ms, view.returned_at) + REMOVAL_GRACE_MS
    for change in changes:
        if isinstance(change, Removal) and now < grace_ends_at:
            view = schedule(view, change, grace_ends_at)
            continue
        view = apply_change(view, change, now)
    return view


def apply_change(view: SiteView, change: Change, now: float) -> SiteView:
    """Apply one change at once; it cancels a pending one on its subject."""
    view = cancel_pending(view, change)
    if isinstance(change, Removal):
        view = _record_departure(view, change, now)
    return _apply(change, view)


def apply_due_changes(view: SiteView, now: float) -> SiteView:
    """Apply the pending changes that are due."""
    due = [
        scheduled.change
        for scheduled in view.pending.values()
        if scheduled.due_at <= now
    ]
    for change in due:
        view = apply_change(view, change, now)
    return view


def apply_snapshot(
    view: SiteView, changes: Iterable[Change], now: float, store_away_ms: float
) -> SiteView:
    """Apply a complete snapshot: entries that it lacks are removed.

    Args:
        view: the view before the snapshot.
        changes: all entries of the snapshot.
        now: monotonic clock in milliseconds.
        store_away_ms: the last time at which the store was known to be
            unavailable, monotonic milliseconds.
    """
    snapshot = tuple(changes)
    evacuated = frozenset(
        c.availability_zone for c in snapshot if isinstance(c, ZoneEvacuated)
    )
    missing = missing_entries(view, snapshot)
    view = replace(view, evacuated=evacuated)
    return apply_changes(view, (*snapshot, *missing), now, store_away_ms)


def missing_entries(
    view: SiteView, snapshot: Iterable[Change]
) -> list[Removal]:
    """Return the removals of the entries that a snapshot lacks."""
    present = {subject_of(change) for change in snapshot}
    removals: list[Removal] = [TargetGone(name) for name in view.targets]
    removals.extend(HostGone(name) for name in view.hosts)
    return [removal for removal in removals if removal not in present]


def entries(view: SiteView) -> dict[Subject, Change]:
    """Return all that a view holds as changes, by subject."""
    changes: list[Change] = [*view.targets.values(), *view.hosts.values()]
    changes.extend(ZoneEvacuated(zone) for zone in sorted(view.evacuated))
    changes.extend(view.orders.values())
    changes.extend(view.statuses.values())
    if view.configuration is not None:
        changes.append(view.configuration)
    return {subject_of(change): change for change in changes}


def subject_of(change: Change) -> Subject:
    """Return what a change is about, as the removal of that entry.

    None stands for the configuration.
    """
    match change:
        case Target():
            return TargetGone(change.identity)
        case Host():
            return HostGone(change.name)
        case ZoneEvacuated():
            return ZoneRestored(change.availability_zone)
        case TargetGone() | HostGone() | ZoneRestored():
            return change
        case RolloutOrder() | RolloutStatus():
            return RolloutSubject(type(change), change.service)
    return None


def schedule(view: SiteView, change: Change, due_at: float) -> SiteView:
    """Let a change take effect later, in place of one on its subject."""
    scheduled = ScheduledChange(change, due_at)
    pending = {**view.pending, subject_of(change): scheduled}
    return replace(view, pending=pending)


def cancel_pending(view: SiteView, change: Change) -> SiteView:
    """Drop the pending change on the subject of a change."""
    subject = subject_of(change)
    if subject not in view.pending:
        return view
    pending = {k: v for k, v in view.pending.items() if k != subject}
    return replace(view, pending=pending)


def has_departed(view: SiteView, entry: Entry) -> bool:
    """Return whether an entry was removed and is not of a later start."""
    removal = subject_of(entry)
    assert isinstance(removal, Removal)
    departure = view.departed.get(removal)
    return departure is not None and is_same_start(departure.entry, entry)


def is_same_start(known: Entry, found: Entry) -> bool:
    """Return whether two entries were written by one start of a process."""
    if isinstance(known, Target) and isinstance(found, Target):
        return (known.address, known.born_ms) == (found.address, found.born_ms)
    if isinstance(known, Host) and isinstance(found, Host):
        return known.lease == found.lease
    return False


def _record_departure(
    view: SiteView, removal: Removal, now: float
) -> SiteView:
    """Remember an entry that is about to be removed."""
    entry: Entry | None
    if isinstance(removal, TargetGone):
        entry = view.targets.get(removal.identity)
    else:
        entry = view.hosts.get(removal.name)
    if entry is None:
        return view
    departed = {
        other: departure
        for other, departure in view.departed.items()
        if now - departure.at_ms < DEPARTED_TTL_MS
    }
    if len(departed) >= MAX_DEPARTED:
        departed.pop(next(iter(departed)))
    departed[removal] = Departure(entry, now)
    return replace(view, departed=departed)


def _forget_departure(view: SiteView, removal: Removal) -> SiteView:
    if removal not in view.departed:
        return view
    departed = {k: v for k, v in view.departed.items() if k != removal}
    return replace(view, departed=departed)


@functools.singledispatch
def _apply(change: Change, view: SiteView) -> SiteView:
    raise TypeError(f"cannot apply {change!r} to a site view: not a change")


@_apply.register
def _(change: Configuration, view: SiteView) -> SiteView:
    current = view.configuration
    if current is not None and current.revision >= change.revision:
        return view
    return replace(view, configuration=change)


@_apply.register
def _(change: Target, view: SiteView) -> SiteView:
    current = view.targets.get(change.identity)
    if current is not None and current.born_ms > change.born_ms > 0:
        return view
    view = _forget_departure(view, TargetGone(change.identity))
    return replace(view, targets={**view.targets, change.identity: change})


@_apply.register
def _(change: TargetGone, view: SiteView) -> SiteView:
    remaining = {k: v for k, v in view.targets.items() if k != change.identity}
    return replace(view, targets=remaining)


@_apply.register
def _(change: Host, view: SiteView) -> SiteView:
    view = _forget_departure(view, HostGone(change.name))
    return replace(view, hosts={**view.hosts, change.name: change})


@_apply.register
def _(change: HostGone, view: SiteView) -> SiteView:
    remaining = {k: v for k, v in view.hosts.items() if k != change.name}
    return replace(view, hosts=remaining)


@_apply.register
def _(change: ZoneEvacuated, view: SiteView) -> SiteView:
    evacuated = view.evacuated | {change.availability_zone}
    return replace(view, evacuated=evacuated)


@_apply.register
def _(change: ZoneRestored, view: SiteView) -> SiteView:
    evacuated = view.evacuated - {change.availability_zone}
    return replace(view, evacuated=evacuated)


@_apply.register
def _(change: RolloutOrder, view: SiteView) -> SiteView:
    return replace(view, orders={**view.orders, change.service: change})


@_apply.register
def _(change: RolloutStatus, view: SiteView) -> SiteView:
    current = view.statuses.get(change.service)
    if (
        current is not None
        and current.version == change.version
        and current.phase >= change.phase
    ):
        return view
    return replace(view, statuses={**view.statuses, change.service: change})
