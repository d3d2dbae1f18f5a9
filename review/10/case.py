"""Case 10: an upstream leaves while a machine is cut off from the store.

The upstream reports that it drains, says so in all its answers, serves for
drainS and a little longer, and ends. The rule is broken if a request that a
client sent later than drainS after the machine had passed on an answer with
Server-Leaving reaches that upstream.
"""

import asyncio
import pathlib
import signal
import sys
import time

import deployment

from soak.proxy import LinkState
from soak.proxy import Proxy

FOLDER = pathlib.Path(__file__).resolve().parent
UPSTREAM_SCRIPT = FOLDER.parent / "6" / "upstream.py"
CLIENTS = 38
WORK_MS = 400
DEADLINE_MS = 5_000
SETTLING_S = 4.0
CUT_S = 5.5
LEAVES_AFTER_CUT_S = 0.5
AFTER_CUT_S = 2.0
DRAIN_S = float(deployment.BOUNDS["drainS"])
LEAVING = "i-order0"
ROUTES = {
    "order-place": {
        "prefix": "/orders/",
        "kind": "unsafe",
        "service": "orders",
        "timeoutS": 2.5,
        "targetLatencyS": 0.8,
        "priority": 1,
    },
}


class Case:
    """What happened in one run.

    Attributes:
        sent_at: when a client sent a request, by its ID.
        passed_on_at: when the first answer with Server-Leaving reached a
            client.
        reached: requests that ran at the upstream that leaves, by ID.
        statuses: answers by the ID of their request; 0 for none.
    """

    def __init__(self, site: deployment.Deployment) -> None:
        self.site = site
        self.record = site.record
        self.sent_at: dict[str, float] = {}
        self.passed_on_at: float | None = None
        self.reached: list[str] = []
        self.statuses: dict[str, int] = {}
        self.ends_at = 0.0

    async def play(self) -> bool:
        """Play the case and return whether the rule held."""
        await self.site.start_store(ROUTES)
        start = self.site.start_upstreams
        leaving = await start(
            UPSTREAM_SCRIPT, "leaving", "orders", [LEAVING], self.on_run
        )
        others = [f"i-order{i}" for i in range(1, 8)]
        await start(UPSTREAM_SCRIPT, "sound", "orders", others, self.on_run)
        link = Proxy(self.site.store.address)
        await link.start(self.site.stack)
        host = await self.site.start_host("front-caerdydd-1", link.address)
        self.ends_at = time.monotonic() + SETTLING_S + CUT_S + AFTER_CUT_S
        clients = [self.send(host, index) for index in range(CLIENTS)]
        await asyncio.gather(self.disrupt(link, leaving), *clients)
        return self.judge()

    async def disrupt(
        self, link: Proxy, leaving: asyncio.subprocess.Process
    ) -> None:
        """Cut the machine off from the store, and let an upstream leave."""
        await asyncio.sleep(SETTLING_S)
        cut_at = time.monotonic()
        if deployment.has_trouble():
            link.set_state(LinkState.SILENT)
            self.record.add("the machine is cut off from the store")
        await asyncio.sleep(LEAVES_AFTER_CUT_S)
        key = f"servers/{LEAVING}"
        entry = deployment.upstream_entry(
            "orders", self.site.addresses[LEAVING], "draining"
        )
        await self.site.store.put(key, entry)
        leaving.send_signal(signal.SIGUSR1)
        self.record.add(f"{LEAVING} leaves; the store has its report")
        await leaving.wait()
        await self.site.store.delete([key])
        self.record.add(f"{LEAVING} has ended")
        await asyncio.sleep(cut_at + CUT_S - time.monotonic())
        link.set_state(LinkState.OPEN)
        self.record.add("the cut is over")

    def on_run(self, event: dict[str, str]) -> None:
        """Note a request that an upstream has begun to run."""
        self.record.add(f"{event['ran']} runs at {event['name']}")
        if event["name"] == LEAVING:
            self.reached.append(event["ran"])

    def judge(self) -> bool:
        """Return whether the rule held, and say by how much."""
        if self.passed_on_at is None:
            raise deployment.NotRunError("no answer with Server-Leaving")
        bound_at = self.passed_on_at + DRAIN_S
        late = [r for r in self.reached if self.sent_at[r] > bound_at]
        lost = [r for r in late if self.statuses.get(r, 0) != 200]
        self.record.say(
            f"sent later than drainS after the machine had passed on that "
            f"{LEAVING} leaves, and run there: {len(late)}; {len(lost)} of "
            "these were lost with its end"
        )
        return not late

    async def send(self, host: deployment.HostProcess, index: int) -> None:
        """Send requests one after the other on a kept connection."""
        connection = None
        count = 0
        while time.monotonic() < self.ends_at:
            await asyncio.sleep(0.02)
            try:
                if connection is None:
                    connection = await deployment.Connection.open(
                        host.front_port
                    )
            except OSError:
                continue
            count += 1
            request_id = f"order-{index}-{count}"
            request = deployment.request_bytes(
                "POST", f"/orders/{WORK_MS}", request_id, DEADLINE_MS, b"sign"
            )
            self.sent_at[request_id] = time.monotonic()
            self.record.add(f"{request_id} sent")
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000.0):
                    response = await connection.exchange(request)
            except (OSError, EOFError, TimeoutError):
                self.record.add(f"{request_id} gets no answer")
                connection.close()
                connection = None
                continue
            self.statuses[request_id] = response.status
            says_leaving = "server-leaving" in response.headers
            self.record.add(
                f"{request_id} answered {response.status}"
                + (" with Server-Leaving" if says_leaving else "")
            )
            if says_leaving and self.passed_on_at is None:
                self.passed_on_at = time.monotonic()


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, lambda site: Case(site).play()))
