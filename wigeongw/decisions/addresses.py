"""Which of our addresses a client should use."""

from collections.abc import Iterable
import random

from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostState


def answer(
    hosts: Iterable[EntryHost],
    zones_out: frozenset[str],
    near: str,
    rng: random.Random,
) -> list[EntryHost]:
    """Order the entry hosts for a client.

    Args:
        hosts: those that are reachable.
        zones_out: availability zones taken out of service.
        near: the client's availability zone, empty when not known.
        rng: spreads clients over equals.

    Returns:
        Live hosts, those of the client's availability zone first. Hosts of
        zones that are out are left out unless nothing else is there.
    """
    live = [h for h in hosts if h.state is HostState.LIVE]
    in_service = [h for h in live if h.availability_zone not in zones_out]
    chosen = in_service or live
    rng.shuffle(chosen)
    return sorted(chosen, key=lambda h: h.availability_zone != near)
