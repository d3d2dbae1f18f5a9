"""What all client connections of a process share: limits, memory, a table."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
from typing import Protocol

from wigeongw.core.site import ClientLimits
from wigeongw.core.site import DEFAULT_DESCRIPTORS
from wigeongw.core.site import DEFAULT_MEMORY_BYTES
from wigeongw.decisions import connection_limits
from wigeongw.decisions.connection_limits import ConnectionTable
from wigeongw.decisions.memory_ledger import MemoryLedger


class CloseReason(enum.Enum):
    """The bound that closed a client's connection."""

    UNREAD = "unread_bytes"
    UNDELIVERED = "undelivered_bytes"
    CONNECTIONS = "connections"
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
    """

    get_limits: Callable[[], ClientLimits] = ClientLimits
    ledger: MemoryLedger[Connection] = field(
        default_factory=lambda: MemoryLedger(_default_memory)
    )
    descriptors: int = DEFAULT_DESCRIPTORS
    on_close: Callable[[CloseReason], None] = _ignore
    table: ConnectionTable[Connection] = field(default_factory=ConnectionTable)

    def opened(self, connection: Connection) -> None:
        """Add a connection; close one that waits if there are too many."""
        most = connection_limits.max_client_connections(self.descriptors)
        excess = self.table.open(connection, most)
        if excess is not None:
            excess.give_up(CloseReason.CONNECTIONS)

    def closed(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self.table.close(connection)
        self.ledger.forget(connection)

    def set_unread(self, connection: Connection, size: int) -> None:
        """Note what a connection received that no request has taken."""
        for excess in self.ledger.set_unread(connection, size):
            excess.give_up(CloseReason.UNREAD)

    def set_undelivered(self, connection: Connection, size: int) -> None:
        """Note what a client has not read of its answers."""
        for excess in self.ledger.set_undelivered(connection, size):
            excess.give_up(CloseReason.UNDELIVERED)
