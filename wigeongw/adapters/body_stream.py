"""Passes a long body on to its reader, with a bound on what waits."""

import asyncio
from collections.abc import Callable

from wigeongw.ports.errors import BodyError


class BodyStream:
    """The part of a body that has not been passed on yet.

    What arrives in many small pieces is passed on in one.

    Attributes:
        max_waiting: reading pauses when more bytes than these wait.
        waiting: bytes that wait for the reader.
        has_ended: whether the last byte has arrived, or none will.
        error: why the body broke off; None if it did not.
        on_take: called after the reader has taken bytes.
        changed: set when there is something to get.
        is_paused: whether reading from the upstream is paused.
    """

    def __init__(
        self,
        max_waiting: int,
        pause: Callable[[], None],
        resume: Callable[[], None],
        on_take: Callable[[], None] = lambda: None,
    ) -> None:
        self.max_waiting = max_waiting
        self.pause = pause
        self.resume = resume
        self.on_take = on_take
        self.waiting = bytearray()
        self.has_ended = False
        self.error: BodyError | None = None
        self.is_paused = False
        self.changed = asyncio.Event()

    def feed(self, data: bytes) -> None:
        """Add bytes; pause reading when too many wait."""
        self.waiting += data
        self.changed.set()
        if len(self.waiting) > self.max_waiting and not self.is_paused:
            self.is_paused = True
            self.pause()

    def finish(self, error: BodyError | None = None) -> None:
        """End the body, with an error if it broke off."""
        if self.has_ended:
            return
        self.has_ended = True
        self.error = error
        self.changed.set()
        self._resume()

    async def get(self) -> bytes | None:
        """Wait for bytes and return all that have arrived.

        Returns:
            None at the end of the body.

        Raises:
            BodyError: when the body broke off.
        """
        while not self.waiting and not self.has_ended:
            self.changed.clear()
            await self.changed.wait()
        if self.waiting:
            data = bytes(self.waiting)
            self.waiting.clear()
            self._resume()
            self.on_take()
            return data
        if self.error is not None:
            raise self.error
        return None

    def _resume(self) -> None:
        if self.is_paused:
            self.is_paused = False
            self.resume()
