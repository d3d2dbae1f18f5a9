"""Base class for tests that let crowds play on a host's process."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import http.client
from typing import Any
import unittest

from standins import crowds
from standins.crowd_client import Client
from standins.crowd_client import Endpoint
from standins.process_watch import MB
from standins.process_watch import ProcessWatch

SMALL_BODY = b"z" * 300
# How long a crowd plays before ordinary requests are sent.
SETTLE_S = 3.0
# Ends a test whose ordinary requests never get through; no test judges times.
ANSWER_TIMEOUT_S = 40.0
REQUEST_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
OK = 200


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Lets a crowd play beside ordinary requests.

    A subclass starts the host and sets the attributes.

    Attributes:
        endpoint: the host, as the crowd sees it.
        process: the host's process.
        watch: what it took.
        memory_mb: memory that it may use.
        max_descriptors: descriptors that it may have.
    """

    endpoint: Endpoint
    process: asyncio.subprocess.Process
    watch: ProcessWatch
    memory_mb: int
    max_descriptors: int

    async def play_crowd(self, name: str, clients: int = 0) -> None:
        """Let a crowd play, ask while it stays, and check the host.

        Args:
            name: name of the crowd.
            clients: how many clients play; 0 for as many as it has.
        """
        # The checks of the debug mode slow the crowd down.
        asyncio.get_running_loop().set_debug(False)
        plays = crowds.plays_of(name)
        if clients:
            plays = [plays[n % len(plays)] for n in range(clients)]
        with self.watch.running():
            tasks = [
                asyncio.create_task(
                    crowds.run_client(play, Client(self.endpoint))
                )
                for play in plays
            ]
            try:
                await asyncio.sleep(SETTLE_S)
                await self.until_answered("GET")
                method = self.endpoint.write_method
                await self.until_answered(method, SMALL_BODY)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                print(f"{self.id()}: {self.watch.figures()}", flush=True)
        self.check_process()
        await self.until_answered("GET")

    def check_process(self) -> None:
        """Check that the process lives within its bounds."""
        self.watch.sample()
        self.assertIsNone(self.process.returncode)
        limit = self.memory_mb * MB
        self.assertLess(self.watch.peak_resident(), limit)
        self.assertLess(self.watch.peak_bytes, limit)
        self.assertLess(self.watch.peak_descriptors, self.max_descriptors)

    async def until_answered(self, method: str, body: bytes = b"") -> None:
        """Ask on new connections until an answer comes."""
        status = 0
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while status != OK:
                    status = await self.status_of(method, body)
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            self.fail(f"{method} is not answered, last status {status}")

    async def status_of(self, method: str, body: bytes = b"") -> int:
        """Return the status of an answer; 0 for a connection error.

        The request has a thread of its own, as the crowd keeps the event loop
        of the test busy.
        """
        return await asyncio.to_thread(self._ask, method, body)

    def _ask(self, method: str, body: bytes) -> int:
        endpoint = self.endpoint
        prefix = endpoint.write_prefix if body else endpoint.read_prefix
        connection = http.client.HTTPConnection(
            endpoint.address, timeout=REQUEST_TIMEOUT_S
        )
        with contextlib.closing(connection):
            try:
                connection.request(
                    method,
                    f"{prefix}{crowds.ORDINARY_NAME}",
                    body or None,
                    {"Host": endpoint.host},
                )
                response = connection.getresponse()
                response.read()
                return response.status
            except (OSError, http.client.HTTPException):
                return 0


def test_of(name: str) -> Callable[[Any], Coroutine[Any, Any, None]]:
    """Return a test method that lets a crowd play."""

    async def test(case: CrowdCase) -> None:
        await case.play_crowd(name)

    return test
