"""After a large download, the next request on the connection is not read."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
import pathlib
import sys

from review.stand_ins import small_site
from review.stand_ins.small_site import Host
from review.stand_ins.small_site import Site
from review.stand_ins.small_site import Upstream
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import response_bytes

ORDERS = "orders.example"
ARTWORK = "artwork.example"
TARGET = "/a/item"
ORDER = b"0" * 300
TIMEOUT_S = 2.5
CLIENT_DEADLINE_S = 4.0
WORK_S = 0.02
LARGE_FILE_BYTES = 1_200_000
# The largest download of the users' site file.
USUAL_FILE_BYTES = 540_000
CHUNK_BYTES = 1_024
STEADY_AFTER_S = 4.0
ROUNDS = 14
# A kind of request may not be served less often than this share of how often
# all requests are served (rule Starved).
STARVED_SHARE = 0.25


class SharedUpstream:
    """Answers of a sound upstream that takes orders and hands out files."""

    def __init__(self, upstream: Upstream, file_bytes: int) -> None:
        self.upstream = upstream
        size = f"{CHUNK_BYTES:x}\r\n".encode()
        chunk = size + b"f" * CHUNK_BYTES + b"\r\n"
        self.file = chunk * (file_bytes // CHUNK_BYTES) + b"0\r\n\r\n"

    async def respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        echo: str,
        load: str,
    ) -> None:
        """Answer an order with a short body and a download with a file."""
        await asyncio.sleep(self.upstream.work_s)
        lines = (echo, load, small_site.SIGNATURE)
        if request.method == "POST":
            writer.write(response_bytes(200, b"taken", *lines))
            return
        chunked = "Transfer-Encoding: chunked"
        head = response_bytes(200, b"", *lines, chunked, length=-1)
        writer.write(head + self.file)
        await writer.drain()


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    file_bytes = LARGE_FILE_BYTES if trouble else USUAL_FILE_BYTES
    for number, zone in enumerate(small_site.ZONES):
        upstream = site.add_upstream(f"i-{number}", "orders", zone, WORK_S)
        upstream.respond_hook = SharedUpstream(upstream, file_bytes).respond
    routes = {
        "r-1": small_site.route(ORDERS, "unsafe", "orders", TIMEOUT_S),
        "r-2": small_site.route(ARTWORK, "download", "orders", TIMEOUT_S),
    }
    document = small_site.configuration(3, routes, ["orders"])
    await site.start(stack, list(small_site.ZONES), document)
    await asyncio.sleep(STEADY_AFTER_S)
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    clients = [_fetch_and_order(site, h, asked, served) for h in site.hosts]
    await asyncio.gather(*clients)
    shares = {kind: served[kind] / asked[kind] for kind in asked}
    all_share = served.total() / asked.total()
    run_ids = [arrival.request_id for arrival in site.arrivals]
    for kind in asked:
        site.record.add(
            f"{kind}: {asked[kind]} asked, {served[kind]} served with success"
        )
    site.record.add(
        f"upstreams ran {len(run_ids)} of {asked.total()} requests; orders "
        f"served {shares['order-place']:.2f}, all requests {all_share:.2f}"
    )
    return min(shares.values()) >= STARVED_SHARE * all_share


async def _fetch_and_order(
    site: Site, host: Host, asked: Counter[str], served: Counter[str]
) -> None:
    """Fetch a file and place an order, one after the other."""
    for _ in range(ROUNDS):
        for kind, method, authority, body in (
            ("artwork-fetch", "GET", ARTWORK, b""),
            ("order-place", "POST", ORDERS, ORDER),
        ):
            reply = await site.send(
                host, method, authority, TARGET, CLIENT_DEADLINE_S, body
            )
            asked[kind] += 1
            served[kind] += reply.status == 200 and reply.end == "complete"


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
