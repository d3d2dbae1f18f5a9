"""Recent changes of the store, kept by a relay for other hosts."""

import asyncio
from collections import deque
from typing import Any

from wigeongw.adapters import change_codec
from wigeongw.core.clock import seconds
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import StorePosition

# Changes that are kept for hosts whose position is behind.
MAX_KEPT_CHANGES = 2_000


class ChangeLog:
    """The recent changes that this host read, kept for other hosts.

    The log of a host that is not a relay holds only what it read from the
    store itself, so it falls behind the host's view. All changes in it are of
    one era of the store.

    Attributes:
        changes: store position and encoded change, in order.
        first_position: position after which no change is missing; None at
            first.
        last_position: the latest position read; None at first.
        changed: set, and then replaced, when there are new changes.
    """

    def __init__(self) -> None:
        self.changes: deque[tuple[StorePosition, dict[str, Any]]] = deque(
            maxlen=MAX_KEPT_CHANGES
        )
        self.first_position: StorePosition | None = None
        self.last_position: StorePosition | None = None
        self.changed = asyncio.Event()

    def restart(self, position: StorePosition) -> None:
        """Reset the log to the position of a full read."""
        self.changes.clear()
        self.first_position = self.last_position = position
        self._notify()

    def add(self, batch: ChangeBatch, since: StorePosition) -> None:
        """Append the changes that a watch returned.

        Args:
            batch: the changes.
            since: the position that the watch started from. The log starts
                anew there if it lacks the changes up to this position.
        """
        kept = len(self.changes) + len(batch.changes)
        is_gap = self.last_position is None or since > self.last_position
        if is_gap or kept > MAX_KEPT_CHANGES:
            self.changes.clear()
            self.first_position = since
        if len(batch.changes) > MAX_KEPT_CHANGES:
            self.restart(batch.position)
            return
        for change in batch.changes:
            encoded = change_codec.encode(change)
            self.changes.append((batch.position, encoded))
        self.last_position = max(self.last_position or since, batch.position)
        if batch.changes:
            self._notify()

    def changes_since(
        self, position: StorePosition
    ) -> list[dict[str, Any]] | None:
        """Return the changes after a position.

        Returns:
            None when the log does not hold all of them, also when the
            position is of another era.
        """
        first = self.first_position
        if first is None or position < first or position.era != first.era:
            return None
        return [
            change
            for changed_at, change in self.changes
            if changed_at > position
        ]

    async def wait(self, position: StorePosition, wait_ms: float) -> None:
        """Wait for a change after a position, at most for a given time."""
        try:
            async with asyncio.timeout(seconds(max(0.0, wait_ms))):
                while self.changes_since(position) == []:
                    await self.changed.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
