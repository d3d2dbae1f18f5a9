"""A stand-in for upstreams: slots, cold start, drain, shed and bad answers.

One process may hold several upstreams, each at a port of its own. A request
may name its own service time with ``?work_ms=``; ``/file/N`` is a download of
N bytes. ``/control/...`` switches faults and shows what really ran.
"""

import argparse
import asyncio
import functools
import json
import signal

import uvloop

from standins.upstream_http import Connection
from standins.upstream_model import Rules
from standins.upstream_model import UpstreamStandIn
from wigeongw.adapters.http_server import address_of
from wigeongw.adapters.http_server import bind
from wigeongw.core.clock import seconds


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM, then leave gracefully."""
    rules = Rules(
        arguments.slots,
        arguments.queue_most,
        arguments.cold_work,
        arguments.cold_bears,
        arguments.work_ms,
        arguments.sigma,
        arguments.stall_every_ms,
    )
    loop = asyncio.get_running_loop()
    upstreams: list[UpstreamStandIn] = []
    listed: dict[str, str] = {}
    for name in arguments.names:
        upstream = UpstreamStandIn(name, rules, arguments.seed)
        sock = bind(arguments.address)
        listed[name] = address_of(sock)
        upstream.server = await loop.create_server(
            functools.partial(Connection, upstream), sock=sock
        )
        upstreams.append(upstream)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    print(json.dumps(listed), flush=True)
    await stop.wait()
    for upstream in upstreams:
        upstream.leaving = True
    while any(u.in_flight() for u in upstreams):  # noqa: ASYNC110
        await asyncio.sleep(seconds(10.0))
    await asyncio.sleep(seconds(arguments.linger_ms))


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="+")
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--queue-most", type=int, default=64)
    parser.add_argument("--cold-work", type=int, default=0)
    parser.add_argument("--cold-bears", type=int, default=1)
    parser.add_argument("--work-ms", type=float, default=10.0)
    parser.add_argument("--sigma", type=float, default=0.0)
    parser.add_argument("--stall-every-ms", type=float, default=0.0)
    parser.add_argument("--linger-ms", type=float, default=1000.0)
    parser.add_argument("--seed", type=int, default=1)
    uvloop.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
