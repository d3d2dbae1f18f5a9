"""Keeps what a process holds for others within its memory.

Answers crowds of clients that send more than is taken, or take less than was
asked for. An owner's bytes count until they are gone, not until the request
that they belong to has ended. All that is held, the program and the least that
each connection takes fit into the memory together.

At the bound a large upload is refused, which tells its client that nothing has
run, and so that a small one still fits, the upload gives way that has waited
longest for its end. What no request speaks for is given up by closing the
connection that holds most, or the one that has waited longest.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

from wigeongw.decisions import memory_shares

OwnerT = TypeVar("OwnerT")


class Holdings(Generic[OwnerT]):
    """Bytes of one kind by owner, in the order of their last change.

    Attributes:
        sizes: bytes of each owner that holds any.
        total: their sum.
    """

    def __init__(self) -> None:
        self.sizes: dict[OwnerT, int] = {}
        self.total = 0

    def values(self) -> Iterable[int]:
        """Return the bytes of each owner."""
        return self.sizes.values()

    def set(self, owner: OwnerT, size: int) -> None:
        """Note what an owner holds now."""
        self.total += size - self.sizes.pop(owner, 0)
        if size:
            self.sizes[owner] = size

    def longest(self, excess: int) -> list[OwnerT]:
        """Return the owners that have waited longest and hold an excess."""
        return self._first(self.sizes, excess)

    def largest(self, excess: int) -> list[OwnerT]:
        """Return the owners that hold most and together an excess."""
        if excess <= 0:
            return []
        by_size = sorted(self.sizes, key=self.sizes.__getitem__, reverse=True)
        return self._first(by_size, excess)

    def _first(self, owners: Iterable[OwnerT], excess: int) -> list[OwnerT]:
        found: list[OwnerT] = []
        for owner in owners:
            if excess <= 0:
                break
            excess -= self.sizes[owner]
            found.append(owner)
        return found


class MemoryLedger(Generic[OwnerT]):
    """The bytes that one process holds, by connection.

    Attributes:
        memory_bytes: returns the memory that the process may use.
        clients: number of connections of clients, without those that leave.
        upstreams: number of connections to upstreams.
        leaving: by connection, what one that was given up takes until the
            transport has let go of it.
        uploads: bytes of request bodies.
        beyond_share: what an upload that was alone holds beyond the share of
            large ones.
        arriving: by connection, bytes of uploads that have not ended, in the
            order in which they began.
        ending: by connection, bytes of uploads that gave way and are not gone
            yet; only small uploads take their place.
        abandoned: by connection, bytes of other uploads of those that leave.
        unread: by connection, bytes received that no request has taken.
        undelivered: by connection, bytes of answers that its client has not
            read.
        answers: by connection, bytes from upstreams that are not passed on.
        windows: by connection, what may wait in its wide receive window.
    """

    def __init__(self, memory_bytes: Callable[[], int]) -> None:
        self.memory_bytes = memory_bytes
        self.clients = 0
        self.upstreams = 0
        self.leaving: Holdings[OwnerT] = Holdings()
        self.uploads = 0
        self.beyond_share = 0
        self.arriving: dict[OwnerT, int] = {}
        self.ending: Holdings[OwnerT] = Holdings()
        self.abandoned: Holdings[OwnerT] = Holdings()
        self.unread: Holdings[OwnerT] = Holdings()
        self.undelivered: Holdings[OwnerT] = Holdings()
        self.answers: Holdings[OwnerT] = Holdings()
        self.windows: Holdings[OwnerT] = Holdings()

    @property
    def held(self) -> int:
        """Bytes of all kinds."""
        kinds = (self.unread, self.undelivered, self.answers, self.windows)
        return self.uploads + sum(kind.total for kind in kinds)

    @property
    def room(self) -> int:
        """Bytes that may still be held; below 0 if too many are."""
        return self._max_held() - self.held

    @property
    def max_waiting_body(self) -> int:
        """Bytes of a body that may wait on a connection for its request."""
        return memory_shares.max_waiting_body(self.room, self.clients)

    @property
    def unread_total(self) -> int:
        """Bytes received that no request has taken."""
        return self.unread.total

    @property
    def undelivered_total(self) -> int:
        """Bytes of answers that clients have not read."""
        return self.undelivered.total

    @property
    def excess(self) -> int:
        """Bytes too many once all that leave are gone."""
        going = self.ending.total + self.abandoned.total
        return self.held - going - self._max_after_leaving()

    def _max_held(self) -> int:
        return max(0, self._max_after_leaving() - self.leaving.total)

    def _max_after_leaving(self) -> int:
        return memory_shares.max_held(
            self.memory_bytes(), self.clients, self.upstreams
        )

    def has_room_for_client(self) -> bool:
        """Return whether another connection of a client fits."""
        return self.room >= memory_shares.CLIENT_CONNECTION_BYTES

    # Uploads

    def hold_upload(self, size: int, whole: int | None = None) -> bool:
        """Count bytes of a request body.

        Args:
            size: bytes to add.
            whole: bytes of the body so far, with these; as many if None.

        Returns:
            Whether they fit; nothing is counted if not.
        """
        whole = size if whole is None else whole
        most = self._max_held()
        is_small = whole <= memory_shares.SMALL_UPLOAD_BYTES
        ending = self.ending.total if is_small else 0
        if size > self.room + ending - self._spare(most):
            return False
        memory = self.memory_bytes()
        held = self.held - self.beyond_share - ending
        if memory_shares.may_admit(size, held, memory, whole):
            self.uploads += size
            return True
        other_uploads = self.uploads - (whole - size)
        others = self.held - self.uploads
        if memory_shares.may_admit_alone(whole, other_uploads, others, most):
            self.uploads += size
            most_of_share = memory_shares.max_large_uploads(memory)
            self.beyond_share = max(0, self.uploads - most_of_share)
            return True
        return False

    def _spare(self, most: int) -> float:
        """Return what uploads leave: what may arrive before they are told."""
        memory = self.memory_bytes()
        in_turn = memory_shares.max_in_turn(memory, self.clients)
        arriving = in_turn - self.unread.total
        return max(most * memory_shares.SPARE_SHARE, arriving)

    def release_upload(self, size: int, owner: OwnerT | None = None) -> None:
        """Count bytes of a request body as gone.

        Args:
            size: all bytes that were held for it.
            owner: the connection that it came from, if known.
        """
        self.uploads -= size
        if owner is not None:
            self.set_arriving(owner, 0)
            self.ending.set(owner, 0)
            self.abandoned.set(owner, 0)
        memory = self.memory_bytes()
        if self.uploads <= memory_shares.max_large_uploads(memory):
            self.beyond_share = 0

    def set_arriving(self, owner: OwnerT, size: int) -> None:
        """Note what is held of an upload that has not ended; 0 at its end."""
        if size:
            self.arriving[owner] = size
        else:
            self.arriving.pop(owner, None)

    def uploads_to_end(self, owner: OwnerT, size: int) -> list[OwnerT]:
        """Return the uploads that give way to a small one.

        Args:
            owner: the connection of the small one.
            size: its bytes.

        Returns:
            The connections to close; empty if that does not help, or while
            the bytes of many that gave way are not gone yet.
        """
        spare = self._max_held() * memory_shares.SPARE_SHARE
        if self.ending.total > spare:
            return []
        found: list[OwnerT] = []
        for waiting, held in self.arriving.items():
            if size <= 0:
                break
            if waiting != owner:
                size -= held
                found.append(waiting)
        if size > 0:
            return []
        for ended in found:
            self.ending.set(ended, self.arriving.pop(ended))
        return found

    # What no request speaks for

    def set_unread(self, owner: OwnerT, size: int) -> list[OwnerT]:
        """Note what a connection has received and no request has taken.

        Returns:
            The connections to close, those first that hold most.
        """
        self.unread.set(owner, size)
        most = memory_shares.max_unread(self.memory_bytes())
        return self.unread.largest(max(self.unread.total - most, self.excess))

    def set_undelivered(self, owner: OwnerT, size: int) -> list[OwnerT]:
        """Note what a connection's client has not read of its answers.

        Returns:
            The connections to close, those first that have waited longest.
        """
        self.undelivered.set(owner, size)
        most = memory_shares.max_undelivered(self.memory_bytes())
        excess = max(self.undelivered.total - most, self.excess)
        return self.undelivered.longest(excess)

    def set_answer(self, owner: OwnerT, size: int) -> list[OwnerT]:
        """Note what has come from an upstream and is not passed on.

        Returns:
            The connections to close, those first that have waited longest.
        """
        self.answers.set(owner, size)
        if not size:
            return []
        most = memory_shares.max_answers(self.memory_bytes())
        excess = max(self.answers.total - most, self.excess)
        return self.answers.longest(excess)

    def hold_window(self, owner: OwnerT, size: int) -> bool:
        """Count a wide receive window, if half of the room is left then."""
        if 2 * size > self.room:
            return False
        self.windows.set(owner, size)
        return True

    def release_window(self, owner: OwnerT) -> None:
        """Count a wide receive window as gone."""
        self.windows.set(owner, 0)

    def leave(self, owner: OwnerT, rest: int) -> None:
        """Count a connection that is given up until it is forgotten.

        No others need to close for it, but nothing may take its place before
        it is gone.

        Args:
            owner: the connection.
            rest: bytes that it keeps beside the least of a connection.
        """
        window = self.windows.sizes.get(owner, 0)
        self.abandoned.set(owner, self.arriving.get(owner, 0))
        self.forget(owner)
        least = memory_shares.CLIENT_CONNECTION_BYTES
        self.leaving.set(owner, least + rest + window)

    def forget(self, owner: OwnerT) -> None:
        """Drop a connection that has ended."""
        self.leaving.set(owner, 0)
        for kind in (self.unread, self.undelivered, self.answers):
            kind.set(owner, 0)
        self.windows.set(owner, 0)
        self.arriving.pop(owner, None)
