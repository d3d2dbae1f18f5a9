"""Which hosts watch the store for all others."""

from collections.abc import Iterable

from wigeongw.core.identity import rendezvous

# How many hosts one relay serves: each change goes to all of them over its
# link. More relays would cost calls to the store and save little time, since
# a host whose relay fails asks the store itself.
HOSTS_PER_RELAY = 30


def relays(hosts: Iterable[str]) -> list[str]:
    """Name the hosts that watch the store, best first.

    Args:
        hosts: names of all that are registered.
    """
    names = list(hosts)
    count = 1 + len(names) // HOSTS_PER_RELAY
    return rendezvous("relay", names, count)
