"""Which addresses a client is told to use."""

from collections.abc import Iterable
from dataclasses import dataclass
import random

from wigeongw.core.site import Host

# Clients use an answer for this long, some of them three times as long, and a
# host that stops serves that long on.
ANSWER_LASTS_MS = 2_000.0
ANSWER_MOST_HOSTS = 64


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client is told.

    Attributes:
        addresses: ``ip:port`` of hosts, in random order.
        lasts_ms: how long the client may keep it.
    """

    addresses: tuple[str, ...]
    lasts_ms: float


def answer(
    hosts: Iterable[Host], most_ms: float, rng: random.Random
) -> Answer:
    """Name hosts for a client.

    Every live host is named, so that clients spread over all of them whatever
    their availability zone sends.

    Args:
        hosts: those that are registered.
        most_ms: the longest that clients keep an answer.
        rng: spreads clients over hosts.
    """
    addresses = [host.address for host in hosts]
    rng.shuffle(addresses)
    return Answer(
        tuple(addresses[:ANSWER_MOST_HOSTS]), min(most_ms, ANSWER_LASTS_MS)
    )
