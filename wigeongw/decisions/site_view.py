"""The view that a host has of its site, and how changes are applied to it.

The revision of the configuration never decreases. Entries that disappear
shortly after the store was unavailable may only have expired because their
leases could not be renewed. They are kept for a grace time and removed if
they have not reappeared by then.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import functools

from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

# Entries that expired while the store was unavailable are registered again
# within two seconds of its return.
REMOVAL_GRACE_MS = 2_200.0
Removal = TargetGone | HostGone


@dataclass(frozen=True, slots=True)
class SiteView:
    """Configuration, upstreams and hosts of a site, as known to one host.

    Attributes:
        configuration: None until a configuration was read.
        targets: upstreams by identity.
        hosts: entry hosts by name.
        evacuated: availability zones that are out of service.
        position: the store revision that the view reflects.
        store_responded_ms: when the store last responded, monotonic clock.
        pending_removals: removals in their grace time and the time at which
            each takes effect.
    """

    configuration: Configuration | None = None
    targets: dict[str, Target] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    position: int = 0
    store_responded_ms: float = 0.0
    pending_removals: dict[Removal, float] = field(default_factory=dict)


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
    for change in changes:
        if isinstance(change, TargetGone | HostGone):
            due_at = store_away_ms + REMOVAL_GRACE_MS
            if now < due_at:
                pending_removals = {**view.pending_removals, change: due_at}
                view = replace(view, pending_removals=pending_removals)
                continue
        view = _apply_change(change, view)
    return view


def apply_due_removals(view: SiteView, now: float) -> SiteView:
    """Apply the pending removals whose grace time is over."""
    due = [
        removal
        for removal, due_at in view.pending_removals.items()
        if due_at <= now
    ]
    for removal in due:
        view = _apply_change(removal, view)
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
    targets = {c.identity for c in snapshot if isinstance(c, Target)}
    hosts = {c.name for c in snapshot if isinstance(c, Host)}
    evacuated = frozenset(
        c.availability_zone for c in snapshot if isinstance(c, ZoneEvacuated)
    )
    removals: list[Change] = [
        TargetGone(name) for name in view.targets if name not in targets
    ]
    removals.extend(HostGone(name) for name in view.hosts if name not in hosts)
    view = replace(view, evacuated=evacuated)
    return apply_changes(view, (*snapshot, *removals), now, store_away_ms)


def _cancel_removal(view: SiteView, removal: Removal) -> SiteView:
    if removal not in view.pending_removals:
        return view
    pending_removals = {
        k: v for k, v in view.pending_removals.items() if k != removal
    }
    return replace(view, pending_removals=pending_removals)


@functools.singledispatch
def _apply_change(change: Change, view: SiteView) -> SiteView:
    raise TypeError(f"cannot apply {change!r} to a site view: not a change")


@_apply_change.register
def _(change: Configuration, view: SiteView) -> SiteView:
    current = view.configuration
    if current is not None and current.revision >= change.revision:
        return view
    return replace(view, configuration=change)


@_apply_change.register
def _(change: Target, view: SiteView) -> SiteView:
    view = _cancel_removal(view, TargetGone(change.identity))
    current = view.targets.get(change.identity)
    if current is not None and current.born_ms > change.born_ms > 0:
        return view
    return replace(view, targets={**view.targets, change.identity: change})


@_apply_change.register
def _(change: TargetGone, view: SiteView) -> SiteView:
    view = _cancel_removal(view, change)
    remaining = {k: v for k, v in view.targets.items() if k != change.identity}
    return replace(view, targets=remaining)


@_apply_change.register
def _(change: Host, view: SiteView) -> SiteView:
    view = _cancel_removal(view, HostGone(change.name))
    return replace(view, hosts={**view.hosts, change.name: change})


@_apply_change.register
def _(change: HostGone, view: SiteView) -> SiteView:
    view = _cancel_removal(view, change)
    remaining = {k: v for k, v in view.hosts.items() if k != change.name}
    return replace(view, hosts=remaining)


@_apply_change.register
def _(change: ZoneEvacuated, view: SiteView) -> SiteView:
    evacuated = view.evacuated | {change.availability_zone}
    return replace(view, evacuated=evacuated)


@_apply_change.register
def _(change: ZoneRestored, view: SiteView) -> SiteView:
    evacuated = view.evacuated - {change.availability_zone}
    return replace(view, evacuated=evacuated)
