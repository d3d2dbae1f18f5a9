"""Order in which the entry hosts are offered to a client."""

from collections.abc import Iterable
import random

from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostState


def answer(
    hosts: Iterable[EntryHost],
    zones_out: frozenset[str],
    client_zone: str,
    rng: random.Random,
) -> list[EntryHost]:
    """Order the entry hosts for a client.

    Args:
        hosts: the reachable hosts.
        zones_out: availability zones that are out of service.
        client_zone: availability zone of the client; empty when unknown.
        rng: spreads clients over hosts of the same rank.

    Returns:
        Live hosts, those in the availability zone of the client first. Hosts
        in zones out of service are excluded unless there are no others.
    """
    live = [h for h in hosts if h.state is HostState.LIVE]
    in_service = [h for h in live if h.availability_zone not in zones_out]
    candidates = in_service or live
    rng.shuffle(candidates)
    return sorted(candidates, key=lambda h: h.availability_zone != client_zone)
