"""Divides a host's descriptors and decides which connection gives way.

Answers crowds that open connections and say nothing. A connection without a
request in progress promises nothing, so the one that has waited longest is
closed for a new one; those that have never sent a request go first.
"""

from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

# Descriptors set aside for files, listeners and connections between hosts.
RESERVED_DESCRIPTORS = 200
CLIENT_SHARE = 0.5
UPSTREAM_SHARE = 0.4
MIN_CONNECTIONS = 16

OwnerT = TypeVar("OwnerT")


def max_client_connections(descriptors: int) -> int:
    """Return how many connections of clients a host keeps."""
    return _share(descriptors, CLIENT_SHARE)


def max_upstream_connections(descriptors: int) -> int:
    """Return how many connections to upstreams a host keeps."""
    return _share(descriptors, UPSTREAM_SHARE)


def _share(descriptors: int, share: float) -> int:
    free = descriptors - RESERVED_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(free * share))


class ConnectionTable(Generic[OwnerT]):
    """The connections of clients, by what they wait for.

    Attributes:
        fresh: those that have not sent a request, oldest first.
        idle: those between two requests, idle longest first.
        busy: those with a request in progress.
    """

    def __init__(self) -> None:
        self.fresh: dict[OwnerT, None] = {}
        self.idle: dict[OwnerT, None] = {}
        self.busy: set[OwnerT] = set()

    def __len__(self) -> int:
        return len(self.fresh) + len(self.idle) + len(self.busy)

    def open(self, owner: OwnerT, most: int) -> OwnerT | None:
        """Add a connection.

        Returns:
            The connection to close, if there are too many now.
        """
        self.fresh[owner] = None
        if len(self) <= most:
            return None
        return next(self._waiting(owner), owner)

    def _waiting(self, newest: OwnerT) -> Iterator[OwnerT]:
        yield from (owner for owner in self.fresh if owner != newest)
        yield from self.idle

    def set_busy(self, owner: OwnerT) -> None:
        """Note that a request of a connection is in progress."""
        if self._remove(owner):
            self.busy.add(owner)

    def set_idle(self, owner: OwnerT) -> None:
        """Note that a connection's last request has ended."""
        if self._remove(owner):
            self.idle[owner] = None

    def close(self, owner: OwnerT) -> None:
        """Remove a connection; one that is not there is ignored."""
        self._remove(owner)

    def _remove(self, owner: OwnerT) -> bool:
        is_known = owner in self.busy or owner in self.fresh
        is_known = is_known or owner in self.idle
        self.busy.discard(owner)
        self.fresh.pop(owner, None)
        self.idle.pop(owner, None)
        return is_known
