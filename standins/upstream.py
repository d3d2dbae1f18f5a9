"""A stand-in for upstreams with cold start, load shedding and faults.

One process can run several upstreams, each on its own port. A request may
set its service time with ``?work_ms=``; ``/file/N`` is a download of N bytes.
Paths below ``/control/`` inject faults and report which requests ran.
"""

import argparse
import asyncio
import functools
import json
import signal

import uvloop

from standins.upstream_http import Connection
from standins.upstream_model import UpstreamOptions
from standins.upstream_model import UpstreamStandIn
from wigeongw.adapters.http_server import bind
from wigeongw.adapters.http_server import bound_address
from wigeongw.core.clock import seconds


async def serve(arguments: argparse.Namespace) -> None:
    """Print the addresses as JSON and serve until SIGTERM.

    After SIGTERM new requests are rejected; the process ends when no request
    is in flight any more and the linger time is over.
    """
    options = UpstreamOptions(
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
    addresses: dict[str, str] = {}
    for name in arguments.names:
        upstream = UpstreamStandIn(name, options, arguments.seed)
        sock = bind(arguments.address)
        addresses[name] = bound_address(sock)
        upstream.server = await loop.create_server(
            functools.partial(Connection, upstream), sock=sock
        )
        upstreams.append(upstream)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    print(json.dumps(addresses), flush=True)
    await stop.wait()
    for upstream in upstreams:
        upstream.is_leaving = True
    while any(u.in_flight() for u in upstreams):  # noqa: ASYNC110
        await asyncio.sleep(seconds(10.0))
    await asyncio.sleep(seconds(arguments.linger_ms))


def main() -> None:
    """Parse the command line and serve."""
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
