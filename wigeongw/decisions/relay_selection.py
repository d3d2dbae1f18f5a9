"""Choice of the relays: hosts that watch the store on behalf of the others."""

from collections.abc import Iterable

from wigeongw.core.identifiers import rank_by_rendezvous

# Number of hosts per relay. A relay sends each change to all of its hosts
# over its own network link. More relays would cost additional store calls and
# save little time, because a host whose relay fails watches the store itself.
HOSTS_PER_RELAY = 30
# Number of hosts besides the relays that a relay asks when the store refuses
# it. While a relay is down, the other hosts watch the store themselves.
SUBSTITUTES = 2


def relays(hosts: Iterable[str]) -> list[str]:
    """Choose the relays by rendezvous hashing.

    Args:
        hosts: names of all registered hosts.

    Returns:
        Names of the relays by descending rank; few of them change when a
        host is added or removed.
    """
    names = list(hosts)
    count = 1 + len(names) // HOSTS_PER_RELAY
    return rank_by_rendezvous("relay", names, count)


def substitutes(hosts: Iterable[str], asking: str) -> list[str]:
    """Choose the hosts to ask when neither a relay nor the store answers.

    Args:
        hosts: names of all registered hosts.
        asking: name of the host that asks.

    Returns:
        Names of the other relays and of a few further hosts, by descending
        rank.
    """
    names = list(hosts)
    count = len(relays(names)) + SUBSTITUTES
    ranked = rank_by_rendezvous("relay", names, count)
    return [name for name in ranked if name != asking]
