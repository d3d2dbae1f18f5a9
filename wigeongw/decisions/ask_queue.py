"""The line of asks that a grantor serves, first come first served."""

from dataclasses import dataclass

from wigeongw.decisions.messages import Ask


@dataclass(slots=True)
class QueuedAsk:
    """An ask that waits for a slot."""

    holder: str
    ask: Ask
    ends_at: float
    since: float


class AskQueue:
    """Asks in order of arrival; every change costs the same at any length."""

    def __init__(self) -> None:
        self.places: dict[int, QueuedAsk] = {}
        self.index: dict[tuple[str, int], int] = {}
        self.last = 0

    def __len__(self) -> int:
        return len(self.places)

    def add(self, queued: QueuedAsk) -> None:
        """Queue an ask last, or in the place of the one it replaces."""
        ask = queued.ask
        if (queued.holder, ask.number) in self.index:
            return
        place = self.index.pop((queued.holder, ask.replaces), None)
        if place is None:
            self.last += 1
            place = self.last
        else:
            queued.since = self.places[place].since
        self.places[place] = queued
        self.index[queued.holder, ask.number] = place

    def queued_ms(self, now: float) -> float:
        """Return how long the first ask has queued; 0 when none does."""
        for first in self.places.values():
            return now - first.since
        return 0.0

    def in_order(self) -> list[tuple[int, QueuedAsk]]:
        """Return the places with their asks, oldest first."""
        return list(self.places.items())

    def take(self, place: int) -> None:
        """Take an ask out by its place."""
        queued = self.places.pop(place)
        del self.index[queued.holder, queued.ask.number]

    def remove(self, holder: str, number: int) -> None:
        """Take an ask out, if it is still there."""
        place = self.index.get((holder, number))
        if place is not None:
            self.take(place)

    def remove_holder(self, holder: str) -> None:
        """Take all asks of a holder out."""
        for place, queued in self.in_order():
            if queued.holder == holder:
                self.take(place)

    def remove_ended(self, now: float) -> None:
        """Take out asks whose requests are over."""
        for place, queued in self.in_order():
            if now >= queued.ends_at:
                self.take(place)
