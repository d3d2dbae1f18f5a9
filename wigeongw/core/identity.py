"""Names of requests, pools and placements.

A pool is the set of upstreams of one service in one availability zone: the
unit that one grantor shares out.
"""

from collections.abc import Iterable
import random

import xxhash

ID_BITS = 64


def pool_name(service: str, availability_zone: str) -> str:
    """Name the pool of a service's upstreams in an availability zone."""
    return f"{service}@{availability_zone}"


def pool_service(pool: str) -> str:
    """Return the service part of a pool's name."""
    return pool.partition("@")[0]


def pool_zone(pool: str) -> str:
    """Return the availability zone part of a pool's name."""
    return pool.partition("@")[2]


def new_identity(rng: random.Random) -> str:
    """Draw an identity for a request or a claim.

    Returns:
        Sixteen hexadecimal digits.
    """
    return f"{rng.getrandbits(ID_BITS):016x}"


def rendezvous(key: str, hosts: Iterable[str], count: int = 1) -> list[str]:
    """Rank hosts for a key so that few keys move when hosts change.

    Args:
        key: what is placed, such as a pool's name.
        hosts: names of the candidates, in any order.
        count: how many to return at most.

    Returns:
        The best hosts, best first; the same for every caller.
    """

    def weight(host: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}|{host}".encode()), host

    return sorted(hosts, key=weight, reverse=True)[:count]
