"""Choice of the hosts that receive a datagram with observations.

Handles availability zones with many hosts. If each host told all others what
it learns, the datagrams would grow with the square of their number, and hosts
would spend more time on decoding them than on requests. Load samples are
short-lived and several hosts probe the same upstream, so it suffices that
each one reaches a part of the hosts. That an upstream went silent is rare and
concerns everyone.
"""

from collections.abc import Sequence
import random
from typing import TypeVar

T = TypeVar("T")

# Hosts of the same zone that receive a datagram with load samples.
MAX_RECIPIENTS = 16


def choose_recipients(
    hosts: Sequence[T], urgent: bool, rng: random.Random
) -> Sequence[T]:
    """Choose the hosts that receive a datagram.

    Args:
        hosts: the other hosts in the availability zone.
        urgent: whether the datagram reports an upstream that went silent.
        rng: chooses other hosts for each datagram.
    """
    if urgent or len(hosts) <= MAX_RECIPIENTS:
        return hosts
    return rng.sample(hosts, MAX_RECIPIENTS)
