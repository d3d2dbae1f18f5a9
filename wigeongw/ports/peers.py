"""Messages between entry hosts."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeongw.core.records import EntryHost
from wigeongw.core.records import Revision
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.grantor import UpstreamView
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an entry host tells all others.

    Attributes:
        revision: of the settings in force there.
        store_silent_ms: since it last reached the store.
        upstreams: those that it is the grantor of.
        leaving_upstreams: those that it saw leaving.
        fences: all that it knows of.
    """

    host: str
    revision: int
    leaving: bool
    store_silent_ms: float
    upstreams: tuple[UpstreamView, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    fences: tuple[Fence, ...] = ()


class PeerEvents(Protocol):
    """Who hears what other entry hosts say."""

    def on_holder(self, host: str, messages: Sequence[HolderMessage]) -> None:
        """Hear a holder."""

    def on_grantor(
        self, host: str, messages: Sequence[GrantorMessage]
    ) -> None:
        """Hear a grantor."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Hear a heartbeat."""

    def on_link(self, host: str, up: bool) -> None:
        """Hear that the own stream to a host stands or broke."""

    def on_holder_lost(self, host: str) -> None:
        """Hear that a holder's stream broke."""

    def revision_above(self, number: int) -> Revision | None:
        """Return the revision in force if it is higher."""

    def on_revision(self, revision: Revision) -> int:
        """Hear a revision; return the number in force afterwards."""


class Peers(Protocol):
    """Links to all other entry hosts; nothing here waits or raises."""

    def set_hosts(self, hosts: Sequence[EntryHost]) -> None:
        """Open links to new hosts and close those to hosts that are gone."""

    def to_grantor(self, host: str, message: HolderMessage) -> None:
        """Queue a message for a grantor."""

    def to_holder(self, host: str, message: GrantorMessage) -> None:
        """Queue a message for a holder."""

    def beat(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat for every host."""

    def fetch_settings(self, host: str, above: int) -> None:
        """Ask a host for the settings in force there."""
