"""The platform's memory limit, and clients whose requests it may cut."""

import asyncio
from contextlib import AsyncExitStack
import pathlib

from review import small_site
from review.small_site import Host
from review.small_site import read_response
from review.small_site import Record
from review.small_site import Reply
from review.small_site import Site

KIB_PER_MIB = 1024
CHECK_INTERVAL_S = 0.002
CLIENT_DEADLINE_S = 5.0
CLIENT_PAUSE_S = 0.01
# More requests than these, cut on kept connections, break the rule LOST.
MAX_CUT_REQUESTS = 3


class MemoryLimit:
    """Kills a process that exceeds the memory of its machine.

    Attributes:
        killed_at: when the process was killed; None before.
        most_kib: the most resident memory that was seen.
    """

    def __init__(self, record: Record, host: Host) -> None:
        self.record = record
        self.host = host
        self.killed_at: float | None = None
        self.most_kib = 0

    async def run(self) -> None:
        """Watch the process until it is killed or this is cancelled."""
        while self.killed_at is None:
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert self.host.process is not None
            used_kib = _resident_kib(self.host.process.pid)
            self.most_kib = max(self.most_kib, used_kib)
            if used_kib > small_site.MEMORY_MB * KIB_PER_MIB:
                self.killed_at = self.record.now()
                self.record.add(
                    f"{self.host.name} holds {used_kib // KIB_PER_MIB} MB of "
                    f"{small_site.MEMORY_MB} and is killed"
                )
                await self.host.end()


class KeptClient:
    """Sends one request after the other on a kept connection to a host.

    Attributes:
        cut: the requests whose connection closed without an answer.
    """

    def __init__(self, site: Site, host: Host, name: str) -> None:
        self.site = site
        self.host = host
        self.name = name
        self.cut: list[str] = []

    async def run(self, authority: str, target: str, body: bytes) -> None:
        """Send requests until the connection closes, or until cancelled."""
        ip, _, port = self.host.listen["front"].partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        count = 0
        try:
            while True:
                count += 1
                reply = Reply(f"{self.name}-{count}", self.site.record.now())
                lines = (
                    f"POST {target} HTTP/1.1",
                    f"Host: {authority}",
                    f"X-Request-Id: {reply.request_id}",
                    f"X-Deadline-Ms: {CLIENT_DEADLINE_S * 1000:.0f}",
                    f"Content-Length: {len(body)}",
                )
                head = "\r\n".join(lines).encode() + b"\r\n\r\n"
                try:
                    writer.write(head + body)
                    await read_response(reader, reply)
                except (asyncio.IncompleteReadError, ConnectionError):
                    if count > 1:
                        self.cut.append(reply.request_id)
                    self.site.record.add(
                        f"client of {self.host.name} has {reply.request_id}: "
                        "closed without an answer"
                    )
                    return
                self.site.record.add(
                    f"client of {self.host.name} has {reply.request_id}: "
                    f"status {reply.status}"
                )
                await asyncio.sleep(CLIENT_PAUSE_S)
        finally:
            writer.close()


class WatchedSite:
    """Memory limits and kept clients of all hosts of a site."""

    def __init__(self, site: Site, clients_per_host: int) -> None:
        self.site = site
        self.limits = [MemoryLimit(site.record, host) for host in site.hosts]
        self.clients = [
            KeptClient(site, host, f"k{index}{number}")
            for index, host in enumerate(site.hosts)
            for number in range(clients_per_host)
        ]

    def start(
        self, stack: AsyncExitStack, authority: str, target: str, body: bytes
    ) -> None:
        """Start watching and sending until the stack closes."""
        runs = [limit.run() for limit in self.limits]
        runs += [c.run(authority, target, body) for c in self.clients]
        for run in runs:
            task = asyncio.create_task(run)
            stack.callback(task.cancel)

    def any_killed(self) -> bool:
        """Return whether a host has exceeded its memory."""
        return any(limit.killed_at is not None for limit in self.limits)

    def count_cut_requests(self) -> int:
        """Count the requests at work that were cut, and record all results.

        Only requests of kept connections count that an upstream runs.
        """
        run_ids = {arrival.request_id for arrival in self.site.arrivals}
        cut = {name for client in self.clients for name in client.cut}
        for limit in self.limits:
            self.site.record.add(
                f"{limit.host.name}: at most {limit.most_kib // KIB_PER_MIB} "
                f"MB, {'killed' if limit.killed_at else 'not killed'}"
            )
        passed_on = sorted(cut & run_ids)
        self.site.record.add(
            f"{len(passed_on)} requests of kept connections were passed on "
            f"and cut without an answer: {' '.join(passed_on)}"
        )
        return len(passed_on)


def _resident_kib(pid: int) -> int:
    """Return the resident memory of a process; 0 when it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0
