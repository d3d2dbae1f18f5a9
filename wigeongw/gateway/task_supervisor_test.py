"""Tests that a failing task of a host leaves the others running."""

import asyncio
import functools
import unittest

from wigeongw.core.task_supervisor import TaskFunction
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.host import GatewayHost
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import HostCase

NEXT_REVISION = 2
FAILURES_METRIC = "task_failures_without_progress_total"


class TaskSupervisorTest(HostCase):
    """Each host has the same fault in another one of its tasks."""

    host_count = 7

    async def asyncSetUp(self) -> None:
        """Start the hosts; the faults begin when the event is set."""
        self.fault_begins = asyncio.Event()
        self.faulty_tasks: list[str] = []
        await super().asyncSetUp()

    async def test_task_that_fails_for_good_holds_back_no_other(self) -> None:
        """A task that failed was started again five times a second."""
        self.assertEqual(len(set(self.faulty_tasks)), self.host_count)
        await self.publish_all()
        self.fault_begins.set()
        await self.until(
            lambda: all(
                self._repeated_failures(number) >= 3
                for number in range(self.host_count)
            )
        )
        await self.catalog.publish(configuration(NEXT_REVISION))
        for number, host in enumerate(self.hosts):
            task = self.faulty_tasks[number]
            with self.subTest(task=task):
                status, _, _ = await self.send(
                    "/read/x", request_id=f"id-{number}", entry=host
                )
                self.assertEqual(status, 200)
                if task != Follower.run.__qualname__:
                    await self._wait_for_next_revision(host)

    async def test_repeated_failures_are_logged_with_growing_delays(
        self,
    ) -> None:
        await self.publish_all()
        lines: list[str] = []
        host = self.hosts[1]
        add = host.log.add

        def record(record_type: str, **fields: object) -> None:
            if fields.get("event") == "task_failed":
                lines.append(f"{fields['repeated']} {fields['delay_ms']}")
            add(record_type, **fields)

        host.log.add = record  # type: ignore[method-assign]
        self.fault_begins.set()
        await self.until(lambda: len(lines) >= 3)
        self.assertEqual(lines[:3], ["1 200.0", "2 400.0", "3 800.0"])

    async def _wait_for_next_revision(self, host: GatewayHost) -> None:
        def has_revision() -> bool:
            known = host.state.view.configuration
            return known is not None and known.revision == NEXT_REVISION

        await self.until(has_revision)

    def _repeated_failures(self, number: int) -> int:
        counters = self.hosts[number].state.metrics.counters
        return counters[(FAILURES_METRIC, self.faulty_tasks[number])]

    def _start_host(self, number: int) -> GatewayHost:
        """Start a host whose task of this number fails later."""
        host = super()._start_host(number)
        functions = host._task_functions()
        functions[number] = self._faulty(functions[number])
        self.faulty_tasks.append(functions[number].__qualname__)
        host._task_functions = lambda: functions  # type: ignore[method-assign]
        return host

    def _faulty(self, function: TaskFunction) -> TaskFunction:
        """Return a task that works until the faults begin."""

        @functools.wraps(function)
        async def run() -> None:
            task = asyncio.create_task(function())
            try:
                await self.fault_begins.wait()
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            raise RuntimeError("fault")

        return run


if __name__ == "__main__":
    unittest.main()
