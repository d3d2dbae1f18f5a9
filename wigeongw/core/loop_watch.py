"""Notices when the event loop keeps its tasks waiting.

Bytes that are parsed in one go, or work that grows with what others send, keep
a process from everybody else. No request's own lines tell that.
"""

import asyncio
from collections.abc import Callable

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

WATCH_INTERVAL_MS = 200.0
# A turn that is so late is reported.
LATE_MS = 100.0


async def watch_loop(clock: Clock, on_turn: Callable[[float], None]) -> None:
    """Report how late the event loop is, until cancelled.

    Args:
        clock: monotonic clock.
        on_turn: called after each interval with the delay in milliseconds.
    """
    while True:
        due_at = clock.now() + WATCH_INTERVAL_MS
        await asyncio.sleep(seconds(WATCH_INTERVAL_MS))
        on_turn(max(0.0, clock.now() - due_at))
