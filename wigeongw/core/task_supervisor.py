"""Restarts the background tasks of a host when they fail.

Requests are served and the other tasks go on while a task fails.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from wigeongw.core import restart_backoff
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.metrics import Metrics
from wigeongw.core.restart_backoff import RepeatedFailure

TaskFunction = Callable[[], Coroutine[Any, Any, None]]
# Called with the name of a task and its failure.
FailureLogger = Callable[[str, RepeatedFailure], None]


class TaskSupervisor:
    """Runs background tasks, each until it returns or is cancelled.

    Attributes:
        log_failure: writes the line about a failure.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, log_failure: FailureLogger
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.log_failure = log_failure

    async def run(self, function: TaskFunction) -> None:
        """Run a task; restart it after a growing delay when it fails."""
        failure: RepeatedFailure | None = None
        while True:
            started_at = self.clock.now()
            try:
                await function()
                return
            except Exception as error:
                ran_ms = self.clock.now() - started_at
                failure = restart_backoff.next_failure(
                    failure, repr(error), ran_ms
                )
                self._record(function.__qualname__, failure)
            await asyncio.sleep(seconds(failure.delay_ms))

    def _record(self, task: str, failure: RepeatedFailure) -> None:
        self.metrics.count("task_failures_total", task)
        if failure.count > 1:
            self.metrics.count("task_failures_without_progress_total", task)
        self.log_failure(task, failure)
