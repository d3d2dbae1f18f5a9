"""Decides which hosts an address lookup names while entries may be old.

Answers hosts that are lost for good while the store is away. Leases may pause
meanwhile, so that their entries stay until some seconds after its return, and
clients would be sent to them. For that time each host checks a few others
itself and names only those that answer. How many it checks does not depend on
the size of the site, and each host picks others.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.core.site import Host
from wigeongw.decisions.store_absence import StoreAbsence

MAX_CHECKED_HOSTS = 16
# How long after the store's return the entry of a lost host may stay: the time
# to live of its lease, and the time in which its removal becomes known.
STALE_ENTRY_MS = 6_000.0


def may_be_stale(absence: StoreAbsence, now: float) -> bool:
    """Return whether the entries of lost hosts may not have expired yet."""
    return now - absence.last_away_at(now) < STALE_ENTRY_MS


def choose(own_name: str, names: Iterable[str]) -> list[str]:
    """Choose the hosts that a host checks."""
    others = [name for name in names if name != own_name]
    return rank_by_rendezvous(own_name, others, MAX_CHECKED_HOSTS)


def nameable(
    hosts: Mapping[str, Host], answered: Mapping[str, bool]
) -> list[Host]:
    """Return the hosts that a lookup names.

    Args:
        hosts: the registered hosts by name.
        answered: whether a host answered its last check; empty while no
            checks are needed or none has ended.
    """
    if not answered:
        return list(hosts.values())
    return [host for name, host in hosts.items() if answered.get(name, False)]
