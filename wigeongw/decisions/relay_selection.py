"""Choice of the hosts that each host asks for the changes of the store.

Handles large sites, where a watch of the store by each host would cost too
many calls. One host, the root, watches the store. Up to some thirty hosts ask
it directly. On larger sites they ask further relays, and only these ask the
root, so that no host serves more than about thirty others. A host whose
source fails asks the store itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from wigeongw.core.identifiers import rank_by_rendezvous

# Number of hosts per relay. A relay sends each change to all of its hosts
# over its own network link.
HOSTS_PER_RELAY = 30
# Number of hosts besides the relays that a relay asks when the store refuses
# it. While a relay is down, the other hosts watch the store themselves.
SUBSTITUTES = 2
# A source that got no response from the store for this long is not used. The
# limit exceeds the sum of the root's own watch pause and watch timeout.
MAX_ROOT_AGE_MS = 1_050.0
# The same for a relay that asks the root. It adds one poll of the root, and
# the time in which the relay finds the root down and asks the store instead.
MAX_RELAY_AGE_MS = 1_900.0


@dataclass(frozen=True, slots=True)
class RelayPlan:
    """The relays of a site; every host with the same view has the same plan.

    Attributes:
        relays: names by descending rank; the first one is the root. Few of
            them change when a host is added or removed.
        substitutes: further hosts by descending rank.
    """

    relays: tuple[str, ...]
    substitutes: tuple[str, ...]

    @property
    def root(self) -> str | None:
        """The host that watches the store; None when no host is known."""
        return self.relays[0] if self.relays else None

    def sources(self, host: str) -> list[str]:
        """Return the hosts that a host asks for changes, preferred first.

        Where there are several relays, the root serves only these.

        Returns:
            An empty list for the root, which watches the store.
        """
        if host == self.root:
            return []
        if host in self.relays:
            return [self.relays[0]]
        relays = self.relays[1:] or self.relays
        return rank_by_rendezvous(host, relays, len(relays))

    def last_sources(self, host: str) -> list[str]:
        """Return the hosts to ask when neither source nor store answers."""
        return [
            name for name in self.relays + self.substitutes if name != host
        ]

    def readers(self, host: str) -> list[str]:
        """Return the hosts that read the whole store for a host.

        They are its source and, where that is down, the substitutes.

        Returns:
            An empty list for a host that reads the store itself.
        """
        sources = self.sources(host)[:1]
        if host in self.relays or host in self.substitutes:
            return sources
        return [*sources, *self.substitutes]

    def max_age_ms(self, source: str) -> float:
        """Return how long ago the store may have answered a source."""
        if source in self.relays and source != self.root:
            return MAX_RELAY_AGE_MS
        return MAX_ROOT_AGE_MS


def make_plan(hosts: Iterable[str]) -> RelayPlan:
    """Choose the relays by rendezvous hashing.

    Args:
        hosts: names of all registered hosts.
    """
    names = list(hosts)
    relay_count = 1 + len(names) // HOSTS_PER_RELAY
    ranked = rank_by_rendezvous("relay", names, relay_count + SUBSTITUTES)
    return RelayPlan(tuple(ranked[:relay_count]), tuple(ranked[relay_count:]))
