"""Interfaces for messages between entry hosts.

A grantor issues the permits of a pool; holders ask the grantor for permits.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeongw.core.records import EntryHost
from wigeongw.core.records import Revision
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The periodic message of an entry host to all others.

    Attributes:
        host: name of the sending host.
        revision: revision of the settings in force on the sender.
        leaving: whether the sender is shutting down.
        store_silent_ms: milliseconds since the sender last reached the store.
        upstreams: upstreams for which the sender is the grantor.
        leaving_upstreams: upstreams that the sender has seen leaving.
        fences: all fences that the sender knows.
    """

    host: str
    revision: int
    leaving: bool
    store_silent_ms: float
    upstreams: tuple[UpstreamView, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    fences: tuple[Fence, ...] = ()


class PeerEvents(Protocol):
    """Callbacks for messages and connection events of other entry hosts."""

    def on_holder_messages(
        self, host: str, messages: Sequence[HolderMessage]
    ) -> None:
        """Called with messages of a holder."""

    def on_grantor_messages(
        self, host: str, messages: Sequence[GrantorMessage]
    ) -> None:
        """Called with messages of a grantor."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Called with a heartbeat of another host."""

    def on_link_changed(self, host: str, up: bool) -> None:
        """Called when the outgoing stream to a host opens or closes."""

    def on_holder_disconnected(self, host: str) -> None:
        """Called when the incoming stream of a holder closes."""

    def revision_above(self, number: int) -> Revision | None:
        """Return the settings revision in force if it is above a number."""

    def on_revision(self, revision: Revision) -> int:
        """Called with a settings revision that another host offers.

        Returns:
            The number of the revision in force afterwards.
        """


class Peers(Protocol):
    """Links to all other entry hosts.

    No method blocks or raises; messages to unreachable hosts are dropped.
    """

    def set_hosts(self, hosts: Sequence[EntryHost]) -> None:
        """Open links to added hosts and close links to removed hosts."""

    def send_to_grantor(self, host: str, message: HolderMessage) -> None:
        """Queue a message for a grantor."""

    def send_to_holder(self, host: str, message: GrantorMessage) -> None:
        """Queue a message for a holder."""

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat for every linked host."""

    def fetch_settings(self, host: str, above: int) -> None:
        """Request settings above a revision number from a host.

        A newer revision is passed to ``PeerEvents.on_revision``.
        """
