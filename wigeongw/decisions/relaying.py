"""Which hosts watch the store for all others."""

from collections.abc import Iterable

from wigeongw.core.identity import rendezvous

RELAYS = 2


def relays(hosts: Iterable[str]) -> list[str]:
    """Name the hosts that watch the store, best first.

    Args:
        hosts: names of all that are registered.
    """
    return rendezvous("relay", hosts, RELAYS)
