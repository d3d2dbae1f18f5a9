"""Pool names, random identifiers and rendezvous hashing.

A pool is the set of upstreams of one service in one availability zone. The
permits of a pool are issued by a single grantor.
"""

from collections.abc import Iterable
import random

import xxhash

ID_BITS = 64


def pool_name(service: str, availability_zone: str) -> str:
    """Build the name of the pool of a service in an availability zone."""
    return f"{service}@{availability_zone}"


def pool_service(pool: str) -> str:
    """Return the service part of a pool name."""
    return pool.partition("@")[0]


def pool_zone(pool: str) -> str:
    """Return the availability zone part of a pool name."""
    return pool.partition("@")[2]


def new_random_id(rng: random.Random) -> str:
    """Generate a random identifier for a request or a claim.

    Returns:
        16 hexadecimal digits.
    """
    return f"{rng.getrandbits(ID_BITS):016x}"


def rank_by_rendezvous(
    key: str, hosts: Iterable[str], count: int = 1
) -> list[str]:
    """Rank hosts for a key by rendezvous (highest random weight) hashing.

    When a host is added or removed, only the keys that it ranks first for
    change their first host.

    Args:
        key: the key to place, for example a pool name.
        hosts: names of the candidates, in any order.
        count: the maximum number of names to return.

    Returns:
        Host names by descending weight; every process computes the same
        order.
    """

    def weight(host: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}|{host}".encode()), host

    return sorted(hosts, key=weight, reverse=True)[:count]
