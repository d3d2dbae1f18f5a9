"""One process of a site, and its output."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import re
import signal

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

START_TIMEOUT_MS = 20_000.0
POLL_INTERVAL_MS = 20.0


class SiteError(Exception):
    """A process of the site did not reach the expected state in time."""


@dataclass
class Process:
    """One process of the site and its output.

    Attributes:
        name: Name of the process.
        process: The child process.
        lines: Lines of standard output and standard error.
        reader_tasks: Tasks that read the two streams.
        paused: Whether the process is suspended.
    """

    name: str
    process: asyncio.subprocess.Process
    lines: list[str] = field(default_factory=list)
    reader_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    paused: bool = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process."""
        self.paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.paused = False
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        self.send_signal(signal.SIGTERM)

    async def wait(self, timeout_ms: float = START_TIMEOUT_MS) -> int:
        """Wait for the process to end and return its exit code.

        Raises:
            TimeoutError: if the process does not end in time.
        """
        async with asyncio.timeout(seconds(timeout_ms)):
            return await self.process.wait()

    async def wait_line(self, pattern: re.Pattern[str]) -> re.Match[str]:
        """Wait for an output line that matches a pattern.

        Raises:
            SiteError: if no line matches before the timeout or the end of
                the process; the error holds the last 20 lines.
        """
        clock = Clock()
        ends_at = clock.now() + START_TIMEOUT_MS
        while clock.now() < ends_at:
            for line in self.lines:
                match = pattern.search(line)
                if match:
                    return match
            if self.process.returncode is not None:
                break
            await asyncio.sleep(seconds(POLL_INTERVAL_MS))
        raise SiteError(
            f"{self.name}: no output line matches {pattern.pattern!r}; "
            f"last lines: {self.lines[-20:]}"
        )


async def collect_lines(
    stream: asyncio.StreamReader, lines: list[str]
) -> None:
    """Append the lines of a stream to a list until it ends."""
    while True:
        line = await stream.readline()
        if not line:
            return
        lines.append(line.decode(errors="replace").rstrip())
