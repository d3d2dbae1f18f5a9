"""Which hosts watch the store for all others."""

from collections.abc import Iterable

from wigeongw.core.identity import rendezvous

# More would cost calls to the store and save little time: without a relay
# hosts ask the store itself.
RELAYS = 1


def relays(hosts: Iterable[str]) -> list[str]:
    """Name the hosts that watch the store, best first.

    Args:
        hosts: names of all that are registered.
    """
    return rendezvous("relay", hosts, RELAYS)
