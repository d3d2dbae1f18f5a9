"""Recent changes of the store, kept by a relay for other hosts."""

import asyncio
from collections import deque
from dataclasses import dataclass

from wigeongw.adapters import change_codec
from wigeongw.core.clock import seconds
from wigeongw.core.site import Configuration
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import StorePosition

# Changes that are kept for hosts whose position is behind.
MAX_KEPT_CHANGES = 2_000
# Bytes of these changes. Several times the largest configuration that the
# store takes, so that a single one never empties the log.
MAX_KEPT_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class KeptChange:
    """A change as other hosts receive it.

    Attributes:
        position: the store's position that includes the change.
        raw: the encoded change.
        revision: revision of a configuration; None for other changes.
    """

    position: StorePosition
    raw: bytes
    revision: int | None


class ChangeLog:
    """The recent changes that this host read, kept for other hosts.

    The log of a host that is not a relay holds only what it read from the
    store itself, so it falls behind the host's view. All changes in it are of
    one era of the store. Only the highest revision of the configuration is
    kept, as no host takes a lower one. When the log is full its oldest changes
    are dropped; a host that lacks those reads the store.

    Attributes:
        changes: the changes in order.
        kept_bytes: size of the encoded changes.
        first_position: position after which no change is missing; None at
            first.
        last_position: the latest position read; None at first.
        changed: set, and then replaced, when there are new changes.
    """

    def __init__(self) -> None:
        self.changes: deque[KeptChange] = deque()
        self.kept_bytes = 0
        self.first_position: StorePosition | None = None
        self.last_position: StorePosition | None = None
        self.changed = asyncio.Event()

    def restart(self, position: StorePosition) -> None:
        """Reset the log to the position of a full read."""
        self._clear(position)
        self.last_position = position
        self._notify()

    def add(self, batch: ChangeBatch, since: StorePosition) -> None:
        """Append the changes that a watch returned.

        Args:
            batch: the changes.
            since: the position that the watch started from. The log starts
                anew there if it lacks the changes up to this position.
        """
        if self.last_position is None or since > self.last_position:
            self._clear(since)
        for change in batch.changes:
            self._append(change, batch.position)
        self._drop_oldest()
        self.last_position = max(self.last_position or since, batch.position)
        if batch.changes:
            self._notify()

    def changes_since(self, position: StorePosition) -> list[bytes] | None:
        """Return the encoded changes after a position.

        Returns:
            None when the log does not hold all of them, also when the
            position is of another era.
        """
        first = self.first_position
        if first is None or position < first or position.era != first.era:
            return None
        return [
            change.raw for change in self.changes if change.position > position
        ]

    async def wait(self, position: StorePosition, wait_ms: float) -> None:
        """Wait for a change after a position, at most for a given time."""
        try:
            async with asyncio.timeout(seconds(max(0.0, wait_ms))):
                while self.changes_since(position) == []:
                    await self.changed.wait()
        except TimeoutError:
            return

    def _append(self, change: Change, position: StorePosition) -> None:
        revision = None
        if isinstance(change, Configuration):
            revision = change.revision
            if self._supersede_configurations(revision):
                return
        raw = change_codec.dumps(change_codec.encode(change))
        self.changes.append(KeptChange(position, raw, revision))
        self.kept_bytes += len(raw)

    def _supersede_configurations(self, revision: int) -> bool:
        """Drop a kept configuration that has a lower revision.

        Returns:
            Whether the kept one is as high.
        """
        for index, kept in enumerate(self.changes):
            if kept.revision is None:
                continue
            if kept.revision >= revision:
                return True
            del self.changes[index]
            self.kept_bytes -= len(kept.raw)
            return False
        return False

    def _drop_oldest(self) -> None:
        """Drop the changes of the oldest positions until the rest fits."""
        while (
            len(self.changes) > MAX_KEPT_CHANGES
            or self.kept_bytes > MAX_KEPT_BYTES
        ):
            oldest = self.changes[0].position
            self.first_position = oldest
            while self.changes and self.changes[0].position <= oldest:
                self.kept_bytes -= len(self.changes.popleft().raw)

    def _clear(self, position: StorePosition) -> None:
        self.changes.clear()
        self.kept_bytes = 0
        self.first_position = position

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
