"""An event loop whose time passes only while all tasks wait.

Tests of many hosts run on it in a fraction of the time that they play.
"""

import asyncio
import selectors
from typing import Any

from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S


class _JumpingSelector(selectors.SelectSelector):
    """A selector that does not wait, but moves the time of its loop on.

    Attributes:
        now_s: the loop's time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, for tasks that use no sockets."""

    def __init__(self) -> None:
        self.jumping_selector = _JumpingSelector()
        super().__init__(self.jumping_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping_selector.now_s


class VirtualClock(Clock):
    """The clock of a loop in virtual time."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self.loop = loop

    def now(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.loop.time() * MS_PER_S
