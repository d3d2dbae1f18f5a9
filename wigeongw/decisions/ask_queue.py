"""First-in, first-out queue of the asks that wait at a grantor."""

from dataclasses import dataclass

from wigeongw.decisions.messages import Ask


@dataclass(slots=True)
class QueuedAsk:
    """An ask that waits for a free slot.

    Attributes:
        holder: entry host that sent the ask.
        ends_at: latest end of the request, monotonic milliseconds.
        queued_at: arrival of the ask, or of the earliest ask that it
            replaces, monotonic milliseconds.
    """

    holder: str
    ask: Ask
    ends_at: float
    queued_at: float


class AskQueue:
    """Asks in order of arrival.

    Adding, replacing and removing a single ask take constant time.
    """

    def __init__(self) -> None:
        self.by_position: dict[int, QueuedAsk] = {}
        self.positions: dict[tuple[str, int], int] = {}
        self.last_position = 0

    def __len__(self) -> int:
        return len(self.by_position)

    def add(self, queued: QueuedAsk) -> None:
        """Append an ask, or put it at the position of the ask it replaces.

        An ask that is already queued is ignored.
        """
        ask = queued.ask
        if (queued.holder, ask.number) in self.positions:
            return
        position = self.positions.pop((queued.holder, ask.replaces), None)
        if position is None:
            self.last_position += 1
            position = self.last_position
        else:
            queued.queued_at = self.by_position[position].queued_at
        self.by_position[position] = queued
        self.positions[queued.holder, ask.number] = position

    def oldest_wait_ms(self, now: float) -> float:
        """Return how long the oldest ask has waited; 0 for an empty queue."""
        for first in self.by_position.values():
            return now - first.queued_at
        return 0.0

    def in_order(self) -> list[tuple[int, QueuedAsk]]:
        """Return pairs of position and ask, oldest first."""
        return list(self.by_position.items())

    def remove_at(self, position: int) -> None:
        """Remove the ask at a position.

        Raises:
            KeyError: if the position is empty.
        """
        queued = self.by_position.pop(position)
        del self.positions[queued.holder, queued.ask.number]

    def remove(self, holder: str, number: int) -> None:
        """Remove an ask by its holder and number, if it is queued."""
        position = self.positions.get((holder, number))
        if position is not None:
            self.remove_at(position)

    def remove_holder(self, holder: str) -> None:
        """Remove all asks of a holder."""
        for position, queued in self.in_order():
            if queued.holder == holder:
                self.remove_at(position)

    def remove_expired(self, now: float) -> None:
        """Remove asks whose requests have passed their deadline."""
        for position, queued in self.in_order():
            if now >= queued.ends_at:
                self.remove_at(position)
