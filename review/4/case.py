"""A body without end keeps clients waiting past their route's timeout."""

import asyncio
from contextlib import AsyncExitStack
import pathlib
import sys

from review import small_site
from review.small_site import Reply
from review.small_site import Site
from review.small_site import Upstream
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import response_bytes

AUTHORITY = "artwork.example"
TIMEOUT_S = 2.0
# The clients wait longer than the route's timeout.
CLIENT_DEADLINE_S = 4.0
# An answer may come so much later than the timeout (rule CONFIG).
SLACK_S = 0.5
# The rule counts eight or more requests that last longer than the timeout.
MIN_LONG_REQUESTS = 8
TROUBLE_AT_S = 5.0
REQUESTS = 1_000
SEND_INTERVAL_S = 0.04
# Doses as garble has them in the site file (how = "extra late"): a share of
# 0.6 of the upstreams, 0.03 of their answers, for 5.0 s.
UPSTREAMS = 5
FAULTY_UPSTREAMS = 3
ANSWERS_PER_ENDLESS_ONE = 34
TROUBLE_S = 5.0
TROUBLE_PAUSE_S = 1.0
WORK_S = 0.15
# Pieces of the endless body, and the pause between two of them.
PIECE = b"0" * (512 << 10)
PIECE_PAUSE_S = 0.05


class EndlessBody:
    """Makes an upstream send some bodies without end."""

    def __init__(self, site: Site, upstream: Upstream) -> None:
        self.site = site
        self.upstream = upstream
        self.answer_count = 0
        self.started_at = site.record.now()

    async def respond(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        echo: str,
        load: str,
    ) -> None:
        """Answer a request, some with bytes until the caller closes."""
        await asyncio.sleep(self.upstream.work_s)
        time_s = self.site.record.now() - self.started_at
        in_trouble = time_s % (TROUBLE_S + TROUBLE_PAUSE_S) < TROUBLE_S
        self.answer_count += in_trouble
        if not in_trouble or self.answer_count % ANSWERS_PER_ENDLESS_ONE:
            lines = (echo, load, small_site.SIGNATURE)
            writer.write(response_bytes(200, b"file", *lines))
            return
        self.site.record.add(f"{self.upstream.identity} answers without end")
        head = ("HTTP/1.1 200 OK", echo, load, small_site.SIGNATURE)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        while True:
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)


async def play(site: Site, stack: AsyncExitStack, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    upstreams = [
        site.add_upstream(
            f"i-{number}", "artwork", small_site.ZONES[number % 2], WORK_S
        )
        for number in range(UPSTREAMS)
    ]
    routes = {
        "r-1": small_site.route(AUTHORITY, "download", "artwork", TIMEOUT_S)
    }
    document = small_site.configuration(3, routes, ["artwork"])
    await site.start(stack, list(small_site.ZONES), document)
    await asyncio.sleep(TROUBLE_AT_S)
    if trouble:
        for upstream in upstreams[:FAULTY_UPSTREAMS]:
            upstream.respond_hook = EndlessBody(site, upstream).respond
    sends = []
    for number in range(REQUESTS):
        host = site.hosts[number % len(site.hosts)]
        send = site.send(host, "GET", AUTHORITY, "/a/file", CLIENT_DEADLINE_S)
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(SEND_INTERVAL_S)
    replies = await asyncio.gather(*sends)
    long = [reply for reply in replies if _duration_s(reply) > TIMEOUT_S]
    held = [r for r in long if _duration_s(r) > TIMEOUT_S + SLACK_S]
    for reply in held:
        site.record.add(
            f"{reply.request_id} had no final answer "
            f"{_duration_s(reply):.3f} s after it was sent: {reply.end}"
        )
    site.record.add(
        f"{len(replies)} requests, {len(long)} lasted longer than the "
        f"route's timeout, {len(held)} of them {SLACK_S} s longer or more"
    )
    is_broken = len(held) >= MIN_LONG_REQUESTS and 4 * len(held) > len(long)
    return not is_broken


def _duration_s(reply: Reply) -> float:
    return reply.ended_at - reply.sent_at


if __name__ == "__main__":
    sys.exit(small_site.run_case(pathlib.Path(__file__).parent, play))
