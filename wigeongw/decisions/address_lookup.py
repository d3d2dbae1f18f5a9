"""Address lookup for clients: the hosts that they should connect to."""

from collections.abc import Iterable
from dataclasses import dataclass
import random

from wigeongw.core.site import Host

# Time to live of a lookup response. Some clients keep a response for three
# times as long. A host that shuts down continues to serve for that time.
LOOKUP_TTL_MS = 2_000.0
# Maximum number of addresses in a lookup response.
MAX_ANSWER_HOSTS = 64


@dataclass(frozen=True, slots=True)
class LookupResponse:
    """Response to an address lookup.

    Attributes:
        addresses: ``ip:port`` of hosts, in random order.
        ttl_ms: time to live of the response at the client.
    """

    addresses: tuple[str, ...]
    ttl_ms: float


def respond(
    hosts: Iterable[Host],
    own_address: str | None,
    max_ttl_ms: float,
    rng: random.Random,
) -> LookupResponse:
    """Create the response to an address lookup.

    The response lists live hosts of all availability zones, so that clients
    are spread evenly over all hosts, however many clients each zone has. A
    host that serves names itself even while it has no entry, since the store
    may refuse to renew its lease.

    Args:
        hosts: the registered hosts.
        own_address: address of this host if it serves clients, else None.
        max_ttl_ms: upper limit for the time to live of the response.
        rng: spreads clients over hosts.
    """
    addresses = [host.address for host in hosts]
    if own_address is not None and own_address not in addresses:
        addresses.append(own_address)
    rng.shuffle(addresses)
    return LookupResponse(
        tuple(addresses[:MAX_ANSWER_HOSTS]), min(max_ttl_ms, LOOKUP_TTL_MS)
    )
