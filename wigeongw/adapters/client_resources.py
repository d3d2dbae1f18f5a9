"""What all client connections of a process share: limits, memory, a table."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
import enum
from typing import Protocol

from wigeongw.core.clock import seconds
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import DEFAULT_DESCRIPTORS
from wigeongw.core.site import DEFAULT_MEMORY_BYTES
from wigeongw.decisions import connection_limits
from wigeongw.decisions import memory_shares
from wigeongw.decisions.connection_limits import ConnectionTable
from wigeongw.decisions.memory_ledger import MemoryLedger


class CloseReason(enum.Enum):
    """The bound that closed a client's connection."""

    UNREAD = "unread_bytes"
    UNDELIVERED = "undelivered_bytes"
    CONNECTIONS = "connections"
    UPLOAD = "upload_without_end"
    ANSWER = "answer_not_read"
    SLOT = "slot_not_released"
    MESSAGE = "message_without_end"


class Connection(Protocol):
    """A connection that may have to give way."""

    def give_up(self, reason: CloseReason) -> None:
        """Close at once; what was not read has not run."""


def _default_memory() -> int:
    return DEFAULT_MEMORY_BYTES


def _ignore(reason: CloseReason) -> None:
    """Report nothing."""


@dataclass(frozen=True)
class ClientResources:
    """What the connections of one process share.

    Attributes:
        get_limits: returns the limits on client requests in force.
        ledger: the bytes that the process holds.
        descriptors: the descriptors that the process may have.
        on_close: called with the reason for which a connection was closed.
        table: the open connections.
        new: by connection that was just opened, what ends its time. It is a
            timer, as a turn of the event loop may last longer: what has
            arrived by then is read before.
    """

    get_limits: Callable[[], ClientLimits] = ClientLimits
    ledger: MemoryLedger[Connection] = field(
        default_factory=lambda: MemoryLedger(_default_memory)
    )
    descriptors: int = DEFAULT_DESCRIPTORS
    on_close: Callable[[CloseReason], None] = _ignore
    table: ConnectionTable[Connection] = field(default_factory=ConnectionTable)
    new: dict[Connection, asyncio.TimerHandle] = field(default_factory=dict)

    def opened(self, connection: Connection) -> None:
        """Add a connection; close one that waits if there are too many."""
        most = connection_limits.max_client_connections(self.descriptors)
        if not self.ledger.has_room_for_client():
            most = min(most, len(self.table))
        self.new[connection] = asyncio.get_running_loop().call_later(
            seconds(connection_limits.NEW_CONNECTION_MS),
            self.new.pop,
            connection,
        )
        excess = self.table.open(
            connection,
            most,
            self.ledger.undelivered.sizes,
            self.new.__contains__,
        )
        self.ledger.clients = len(self.table)
        if excess is not None:
            excess.give_up(CloseReason.CONNECTIONS)

    def given_up(self, connection: Connection, rest: int) -> None:
        """Count a connection as leaving until it is closed.

        Args:
            connection: it gets no further bytes of any kind.
            rest: bytes that it keeps until then.
        """
        self._drop(connection)
        self.ledger.leave(connection, rest)

    def closed(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._drop(connection)
        self.ledger.forget(connection)

    def _drop(self, connection: Connection) -> None:
        self.table.close(connection)
        timer = self.new.pop(connection, None)
        if timer is not None:
            timer.cancel()
        self.ledger.clients = len(self.table)

    def set_answer(self, connection: Connection, size: int) -> None:
        """Note what came from an upstream and is not passed on."""
        for excess in self.ledger.set_answer(connection, size):
            excess.give_up(CloseReason.ANSWER)

    @contextlib.contextmanager
    def answer(
        self, connection: Connection | None, size: int
    ) -> Iterator[None]:
        """Count a part of an answer while it waits for its client.

        Args:
            connection: the client's connection, if known.
            size: bytes of the part.
        """
        if connection is None:
            yield
            return
        self.set_answer(connection, size)
        try:
            yield
        finally:
            self.ledger.answers.set(connection, 0)

    def hold_upload(
        self, size: int, whole: int, owner: Connection | None
    ) -> bool:
        """Count bytes of a request body.

        For a small body that does not fit, the uploads end that have waited
        longest for their own end; they have not run.

        Args:
            size: bytes to add.
            whole: bytes of the body so far, with these.
            owner: the connection that sends it, if known.

        Returns:
            Whether they fit; nothing is counted if not.
        """
        ledger = self.ledger
        if owner in ledger.leaving.sizes:
            # Nobody would get its answer.
            return False
        if not ledger.hold_upload(size, whole):
            if owner is None or whole > memory_shares.SMALL_UPLOAD_BYTES:
                return False
            for excess in ledger.uploads_to_end(owner, size):
                excess.give_up(CloseReason.UPLOAD)
            if not ledger.hold_upload(size, whole):
                return False
        if owner is not None:
            ledger.set_arriving(owner, whole)
        return True

    def set_unread(self, connection: Connection, size: int) -> None:
        """Note what a connection received that no request has taken."""
        for excess in self.ledger.set_unread(connection, size):
            excess.give_up(CloseReason.UNREAD)

    def set_undelivered(self, connection: Connection, size: int) -> None:
        """Note what a client has not read of its answers."""
        for excess in self.ledger.set_undelivered(connection, size):
            excess.give_up(CloseReason.UNDELIVERED)
