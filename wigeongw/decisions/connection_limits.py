"""Divides a host's descriptors and decides which connection gives way.

Answers crowds that open connections and say nothing. A connection without a
request in progress promises nothing, so the one that has waited longest is
closed for a new one; those that have never sent a request go first. While all
have one, those give way that wait for their client: whose request has not
arrived completely and has not run, then those that do not read their answer.
A connection that has just been opened gets time to send its request; while all
are so new, it is the newest that is closed.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from itertools import islice
from typing import Generic
from typing import TypeVar

# Descriptors set aside for files, listeners and connections between hosts.
RESERVED_DESCRIPTORS = 200
CLIENT_SHARE = 0.5
UPSTREAM_SHARE = 0.4
MIN_CONNECTIONS = 16

# How long a new connection is not closed for another one.
NEW_CONNECTION_MS = 100.0
# How many connections of a state are looked at for one that gives way.
MAX_CANDIDATES = 8

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
        receiving: those whose request has not arrived completely, those
            first that have waited longest.
        busy: those with a request in progress that has.
    """

    def __init__(self) -> None:
        self.fresh: dict[OwnerT, None] = {}
        self.idle: dict[OwnerT, None] = {}
        self.receiving: dict[OwnerT, None] = {}
        self.busy: set[OwnerT] = set()

    def __len__(self) -> int:
        return (
            len(self.fresh)
            + len(self.idle)
            + len(self.receiving)
            + len(self.busy)
        )

    def open(
        self,
        owner: OwnerT,
        most: int,
        not_reading: Iterable[OwnerT] = (),
        is_new: Callable[[OwnerT], bool] = lambda owner: False,
    ) -> OwnerT | None:
        """Add a connection.

        Args:
            owner: the connection.
            most: how many there may be.
            not_reading: those that do not read their answer, those first that
                have waited longest.
            is_new: whether a connection has just been opened.

        Returns:
            The connection to close, if there are too many now.
        """
        self.fresh[owner] = None
        if len(self) <= most:
            return None
        for waiting in self._waiting(not_reading):
            if waiting != owner and not is_new(waiting):
                return waiting
        return owner

    def _waiting(self, not_reading: Iterable[OwnerT]) -> Iterator[OwnerT]:
        """Yield who gives way first; of each state the oldest ones."""
        slow = (owner for owner in not_reading if owner in self.busy)
        for state in (self.fresh, self.idle, self.receiving, slow):
            yield from islice(state, MAX_CANDIDATES)

    def set_receiving(self, owner: OwnerT) -> None:
        """Note that the head of a request has come, and more is to come."""
        if self._remove(owner):
            self.receiving[owner] = None

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
        size = len(self)
        self.busy.discard(owner)
        for waiting in (self.fresh, self.idle, self.receiving):
            waiting.pop(owner, None)
        return len(self) < size
