"""Keeps what a process holds for others within its memory.

Answers crowds of clients that send more than is taken, or take less than was
asked for. An owner's bytes count until they are gone, not until the request
that they belong to has ended. Uploads are refused, which tells their clients
that nothing has run; what no request speaks for is given up by closing the
connection that holds most, or the one that has waited longest.
"""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from wigeongw.decisions import memory_shares

OwnerT = TypeVar("OwnerT")


class MemoryLedger(Generic[OwnerT]):
    """The bytes that one process holds, by connection.

    Attributes:
        memory_bytes: returns the memory that the process may use.
        uploads: bytes of request bodies.
        unread: by connection, bytes received that no request has taken.
        undelivered: by connection, bytes of answers that its client has not
            read, in the order in which they began to wait.
    """

    def __init__(self, memory_bytes: Callable[[], int]) -> None:
        self.memory_bytes = memory_bytes
        self.uploads = 0
        self.unread: dict[OwnerT, int] = {}
        self.undelivered: dict[OwnerT, int] = {}
        self.unread_total = 0
        self.undelivered_total = 0

    def hold_upload(self, size: int) -> bool:
        """Count bytes of a request body.

        Returns:
            Whether they fit; nothing is counted if not.
        """
        held = self.uploads + self.unread_total + self.undelivered_total
        if not memory_shares.may_admit(size, held, self.memory_bytes()):
            return False
        self.uploads += size
        return True

    def release_upload(self, size: int) -> None:
        """Count bytes of a request body as gone."""
        self.uploads -= size

    def set_unread(self, owner: OwnerT, size: int) -> list[OwnerT]:
        """Note what a connection has received and no request has taken.

        Returns:
            The connections to close, those first that hold most.
        """
        self.unread_total += size - self.unread.pop(owner, 0)
        if size:
            self.unread[owner] = size
        excess = self.unread_total - memory_shares.max_unread(
            self.memory_bytes()
        )
        closed: list[OwnerT] = []
        while excess > 0 and len(closed) < len(self.unread):
            largest = max(
                (o for o in self.unread if o not in closed),
                key=self.unread.__getitem__,
            )
            excess -= self.unread[largest]
            closed.append(largest)
        return closed

    def set_undelivered(self, owner: OwnerT, size: int) -> list[OwnerT]:
        """Note what a connection's client has not read of its answers.

        Returns:
            The connections to close, those first that have waited longest.
        """
        self.undelivered_total += size - self.undelivered.pop(owner, 0)
        if size:
            self.undelivered[owner] = size
        excess = self.undelivered_total - memory_shares.max_undelivered(
            self.memory_bytes()
        )
        closed: list[OwnerT] = []
        for waiting, held in self.undelivered.items():
            if excess <= 0:
                break
            excess -= held
            closed.append(waiting)
        return closed

    def forget(self, owner: OwnerT) -> None:
        """Drop a connection that has ended."""
        self.unread_total -= self.unread.pop(owner, 0)
        self.undelivered_total -= self.undelivered.pop(owner, 0)
