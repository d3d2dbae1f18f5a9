"""Each answer in which an upstream reports something of itself.

The report counts from the head of an answer on, whatever becomes of the
answer, its request and its client.
"""

import asyncio
from dataclasses import dataclass

import aiohttp

from standins.scripted_upstream import response_bytes
from wigeongw.decisions.memory_shares import MAX_BUFFERED_BYTES
from wigeongw.gateway.host_case import FakeUpstream
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import NAMES
from wigeongw.gateway.host_case import SIGNATURE_HEADER
from wigeongw.gateway.target_state import TargetState

LEAVING_LINE = f"{NAMES.leaving}: 1"
LIMIT_LINE = f"{NAMES.rate_limit}: 2.5"
LINES = (SIGNATURE_HEADER, LEAVING_LINE, LIMIT_LINE)
WHOLE = response_bytes(200, b"done", *LINES)
HEAD_ONLY = response_bytes(200, b"", *LINES, length=4)
CUT_BODY = response_bytes(200, b"do", *LINES, length=4)
LONG = response_bytes(200, b"x" * (MAX_BUFFERED_BYTES + 9), *LINES)
COUNTS_WITHIN_S = 3.0
MAX_REQUESTS = 100
REQUESTS_AFTER = 12


@dataclass(frozen=True)
class Answer:
    """An answer with a report, and its request.

    Attributes:
        script: what the upstream sends.
        path: of the request.
    """

    name: str
    script: tuple[bytes, ...]
    method: str = "POST"
    path: str = "/write/x"


ANSWERS = (
    Answer("a whole answer", (WHOLE,)),
    Answer("a head long before its end", (HEAD_ONLY, b"HANG")),
    Answer("a part of a body", (CUT_BODY, b"HANG")),
    Answer("a body that breaks off", (CUT_BODY, b"CLOSE")),
    Answer("a head that breaks off its body", (HEAD_ONLY, b"CLOSE")),
    Answer("a long answer", (LONG,), "GET", "/fetch/x"),
    Answer(
        "a long answer that stops", (LONG[:-9], b"HANG"), "GET", "/fetch/x"
    ),
    Answer(
        "an answer without a signature", (response_bytes(200, b"", *LINES),)
    ),
    Answer("an error", (response_bytes(500, b"", *LINES),)),
    Answer("an error to a read", (response_bytes(500, b"", *LINES),), "GET"),
    Answer(
        "a refusal",
        (response_bytes(503, b"", f"{NAMES.not_run}: 1", *LINES),),
    ),
    Answer("too many requests", (response_bytes(429, b"", *LINES),)),
    Answer("an answer to HEAD", (HEAD_ONLY,), "HEAD", "/read/x"),
    Answer("the loser of a hedge", (HEAD_ONLY, b"HANG"), "GET", "/read/x"),
)


class SelfReportArrivalTest(HostCase):
    """One request is at the upstream that reports; others come after it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.publish_all(objective_ms=100.0)

    def first(self) -> TargetState:
        return self.host.state.targets["one"]

    async def ask(self, answer: Answer, number: int) -> None:
        """Send a request; what becomes of it is of no interest."""
        try:
            await self.send(answer.path, answer.method, f"id-{number}")
        except (aiohttp.ClientError, TimeoutError):
            return

    async def meet(self, answer: Answer) -> None:
        """Let the first upstream report, and wait until that counts."""
        ran = len(self.upstreams[0].ran)
        async with asyncio.timeout(COUNTS_WITHIN_S):
            tasks = []
            for number in range(MAX_REQUESTS):
                tasks.append(asyncio.create_task(self.ask(answer, number)))
                await asyncio.sleep(0.02)
                if len(self.upstreams[0].ran) > ran:
                    break
            self.stack.callback(lambda: [task.cancel() for task in tasks])
            while not self.first().is_leaving:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def start_anew(self, number: int) -> None:
        """Publish a later start of the first upstream that works again."""
        del self.upstreams[0]
        upstream = FakeUpstream("one")
        await upstream.server.start(self.stack)
        self.upstreams.insert(0, upstream)
        await self.catalog.publish(upstream.target())
        await self.until(
            lambda: self.first().target.address == upstream.server.address
        )

    async def test_report_counts_from_the_head_of_an_answer(self) -> None:
        """It counted only once the whole answer had come, or not at all."""
        for number, answer in enumerate(ANSWERS):
            with self.subTest(answer.name):
                await self.start_anew(number)
                self.upstreams[0].script = list(answer.script)
                try:
                    await self.meet(answer)
                except TimeoutError:
                    self.fail("the upstream does not count as leaving")
                self.assertEqual(self.first().limit_per_s, 2.5)
                before = len(self.upstreams[0].ran)
                for later in range(REQUESTS_AFTER):
                    await self.send("/write/y", "POST", f"later-{later}")
                self.assertEqual(len(self.upstreams[0].ran), before)

    async def test_report_of_an_answer_whose_client_has_left(self) -> None:
        """The exchange was cancelled with all that it had brought."""
        self.upstreams[0].script = [HEAD_ONLY, b"HANG"]
        task = asyncio.create_task(self.ask(ANSWERS[0], 1))
        while not self.upstreams[0].ran:
            if task.done():
                task = asyncio.create_task(self.ask(ANSWERS[0], 1))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        task.cancel()
        await self.until(lambda: self.first().is_leaving, COUNTS_WITHIN_S)
