"""A few uploads within the limits take a host over its memory limit."""

import asyncio
from contextlib import AsyncExitStack
import pathlib
import sys

from review.stand_ins import small_site
from review.stand_ins.small_site import Host
from review.stand_ins.small_site import Site

AUTHORITY = "orders.example"
KIB_PER_MIB = 1024
# The largest body that the configuration's limits allow: 64 MiB.
BODY_BYTES = 67_108_864
SMALL_BODY_BYTES = 300
UPLOADS_AT_ONCE = 2
ROUNDS = 3
# The rule counts three ends on each of two machines.
MIN_ENDS = 3
MIN_MACHINES = 2
CLIENT_DEADLINE_S = 5.0
TIMEOUT_S = 2.5
MEMORY_CHECK_INTERVAL_S = 0.002
# For a process that is killed to end, before it is started again.
END_MARGIN_S = 0.5


class MemoryLimit:
    """The platform's memory limit: kills a process that exceeds it."""

    def __init__(self, site: Site, host: Host) -> None:
        self.site = site
        self.host = host
        self.kill_count = 0
        self.most_kib = 0

    async def run(self) -> None:
        """Watch the host's process until cancelled."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
            process = self.host.process
            if process is None or process.returncode is not None:
                continue
            used_kib = _resident_kib(process.pid)
            self.most_kib = max(self.most_kib, used_kib)
            if used_kib <= small_site.MEMORY_MB * KIB_PER_MIB:
                continue
            self.kill_count += 1
            self.site.record.add(
                f"{self.host.name} holds {used_kib // KIB_PER_MIB} MB of "
                f"{small_site.MEMORY_MB} and is killed"
            )
            await self.host.end()


def _resident_kib(pid: int) -> int:
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    for number, zone in enumerate(small_site.ZONES * 2):
        site.add_upstream(f"i-{number}", "orders", zone)
    routes = {
        "r-1": small_site.route(AUTHORITY, "unsafe", "orders", TIMEOUT_S)
    }
    document = small_site.configuration(3, routes, ["orders"])
    await site.start(stack, list(small_site.ZONES), document)
    limits = [MemoryLimit(site, host) for host in site.hosts]
    tasks = [asyncio.create_task(limit.run()) for limit in limits]
    body = b"0" * (BODY_BYTES if trouble else SMALL_BODY_BYTES)
    for _ in range(ROUNDS):
        for host in site.hosts:
            await asyncio.gather(
                *(
                    site.send(
                        host,
                        "POST",
                        AUTHORITY,
                        "/a/order",
                        CLIENT_DEADLINE_S,
                        body,
                    )
                    for _ in range(UPLOADS_AT_ONCE)
                )
            )
            await asyncio.sleep(END_MARGIN_S)
            if host.process is not None and host.process.returncode:
                await host.start()
            await site.wait_ready()
    for task in tasks:
        task.cancel()
    for limit in limits:
        site.record.add(
            f"{limit.host.name}: {limit.kill_count} ends, at most "
            f"{limit.most_kib // KIB_PER_MIB} MB"
        )
    ended = [limit for limit in limits if limit.kill_count >= MIN_ENDS]
    return len(ended) < MIN_MACHINES


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
