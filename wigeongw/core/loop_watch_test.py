"""A loop that was kept busy is noticed."""

import asyncio
import time
import unittest

from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.loop_watch import LATE_MS
from wigeongw.core.loop_watch import WATCH_INTERVAL_MS
from wigeongw.core.loop_watch import watch_loop

BUSY_MS = WATCH_INTERVAL_MS + 3.0 * LATE_MS


class LoopWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_work_in_one_turn_is_told(self) -> None:
        """Nothing told that a host parsed bytes without end meanwhile."""
        delays: list[float] = []
        task = asyncio.create_task(watch_loop(Clock(), delays.append))
        await asyncio.sleep(0)
        time.sleep(BUSY_MS / MS_PER_S)  # noqa: ASYNC251
        while not delays:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        task.cancel()
        self.assertGreaterEqual(delays[0], LATE_MS)


if __name__ == "__main__":
    unittest.main()
