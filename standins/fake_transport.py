"""A transport without a network, and a loop to play on it."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class FakeTransport(asyncio.Transport):
    """Records what is written, and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.is_ended = False
        self.is_paused = False
        self.unsent_bytes = 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Know nothing of a socket."""
        return default

    def is_closing(self) -> bool:
        """Return whether the connection was ended."""
        return self.is_ended

    def close(self) -> None:
        """End the connection."""
        self.is_ended = True

    def abort(self) -> None:
        """End the connection at once."""
        self.is_ended = True

    def write(self, data: Any) -> None:
        """Record what is written."""
        self.written += data

    def get_write_buffer_size(self) -> int:
        """Return what waits to be sent."""
        return self.unsent_bytes

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Nothing is buffered."""

    def pause_reading(self) -> None:
        """Note that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Note that reading goes on."""
        self.is_paused = False


def run(play: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine function on a new event loop; return its result."""
    with asyncio.Runner(debug=False) as runner:
        return runner.run(play())
