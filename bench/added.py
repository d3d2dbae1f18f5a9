"""Table 4: time added to a call at low load, and where it goes.

The same calls go to an upstream directly and through an entry host, in turns
within one run.
"""

import argparse
import asyncio
import json
import sys

import uvloop

from bench import load
from bench.client import Client
from standins.site import settings_text
from standins.site import SiteProcesses
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

CALLS = 2_000
PAUSE_MS = 2.0
WORK_MS = 1.0


async def time_calls(address: str, count: int) -> list[float]:
    """Make calls one after the other; return their times in ms."""
    client = Client()
    clock = Clock()
    took: list[float] = []
    target = f"/dial-watch/x?work_ms={WORK_MS}"
    for _ in range(count):
        began = clock.now()
        answer = await client.get(address, target)
        if answer.status == 200:
            took.append(clock.now() - began)
        await asyncio.sleep(seconds(PAUSE_MS))
    client.close()
    return took


async def run() -> dict[str, object]:
    """Measure both ways in turns."""
    async with SiteProcesses() as site:
        await site.start_platform()
        await site.start_upstreams(
            "dial-watch", "amman", ["u1", "u2"], work_ms=WORK_MS
        )
        await site.publish(settings_text())
        await site.start_hosts([("e1", "amman"), ("e2", "amman")])
        await site.wait_fences(20_000.0)
        through = site.address("e1")
        direct = site.upstream_address("u1")
        await time_calls(through, 300)
        ways: dict[str, list[float]] = {"direct": [], "through": []}
        for _ in range(4):
            ways["direct"] += await time_calls(direct, CALLS // 4)
            ways["through"] += await time_calls(through, CALLS // 4)
        metrics = await site.metrics("e1")
    found: dict[str, object] = {}
    for name, took in ways.items():
        found[name] = {
            f"p{p:g}": round(load.percentile(took, p), 3) for p in (50.0, 99.0)
        }
    for p in (50.0, 99.0):
        more = load.percentile(ways["through"], p)
        found[f"added p{p:g}"] = round(
            more - load.percentile(ways["direct"], p), 3
        )
    kept = ("queue", "request", "upstream")
    found["parts"] = {k: v for k, v in metrics.items() if k.startswith(kept)}
    return found


def main() -> None:
    """Measure and print."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    found = uvloop.run(run())
    print(f"command: {' '.join(sys.argv)}")
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
