"""Table 4: latency that the gateway adds at low load, and its parts.

The same calls are sent to an upstream directly and through an entry host, in
turns within one run.
"""

import argparse
import asyncio
import json
import sys

import uvloop

from bench import load
from bench.client import Client
from standins.site_processes import settings_text
from standins.site_processes import SiteProcesses
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

CALL_COUNT = 2_000
PAUSE_MS = 2.0
WORK_MS = 1.0


async def time_calls(address: str, call_count: int) -> list[float]:
    """Send calls one after the other.

    Args:
        address: Address of the upstream or the entry host.
        call_count: Number of calls.

    Returns:
        Durations of the successful calls in milliseconds.
    """
    client = Client()
    clock = Clock()
    durations_ms: list[float] = []
    target = f"/dial-watch/x?work_ms={WORK_MS}"
    for _ in range(call_count):
        started_at = clock.now()
        response = await client.get(address, target)
        if response.status == 200:
            durations_ms.append(clock.now() - started_at)
        await asyncio.sleep(seconds(PAUSE_MS))
    client.close()
    return durations_ms


async def measure() -> dict[str, object]:
    """Measure direct calls and calls through an entry host, in turns."""
    async with SiteProcesses() as site:
        await site.start_platform()
        await site.start_upstreams(
            "dial-watch", "amman", ["u1", "u2"], work_ms=WORK_MS
        )
        await site.publish(settings_text())
        await site.start_hosts([("e1", "amman"), ("e2", "amman")])
        await site.wait_grantors(20_000.0)
        gateway_address = site.address("e1")
        direct_address = site.upstream_address("u1")
        await time_calls(gateway_address, 300)
        durations: dict[str, list[float]] = {"direct": [], "through": []}
        for _ in range(4):
            durations["direct"] += await time_calls(
                direct_address, CALL_COUNT // 4
            )
            durations["through"] += await time_calls(
                gateway_address, CALL_COUNT // 4
            )
        metrics = await site.metrics("e1")
    result: dict[str, object] = {}
    for name, durations_ms in durations.items():
        result[name] = {
            f"p{p:g}": round(load.percentile(durations_ms, p), 3)
            for p in (50.0, 99.0)
        }
    for p in (50.0, 99.0):
        gateway_ms = load.percentile(durations["through"], p)
        result[f"added p{p:g}"] = round(
            gateway_ms - load.percentile(durations["direct"], p), 3
        )
    prefixes = ("queue", "request", "upstream")
    result["parts"] = {
        k: v for k, v in metrics.items() if k.startswith(prefixes)
    }
    return result


def main() -> None:
    """Parse the command line, measure and print the result."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    result = uvloop.run(measure())
    print(f"command: {' '.join(sys.argv)}")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
