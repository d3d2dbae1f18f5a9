"""Tests of what the client reads from responses."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace
import unittest

import logbook

from standins.scripted_upstream import cut_responses
from standins.scripted_upstream import NO_STATUSES
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import response_bytes
from standins.scripted_upstream import ScriptedUpstream
from standins.scripted_upstream import status_response
from standins.scripted_upstream import STATUSES
from wigeongw.adapters.http_upstream_client import HttpUpstreamClient
from wigeongw.adapters.http_upstream_client import new_session
from wigeongw.adapters.http_upstream_client import NOT_RUN
from wigeongw.adapters.http_upstream_client import RATE_LIMIT
from wigeongw.adapters.http_upstream_client import REQUEST_ID
from wigeongw.core.clock import Clock
from wigeongw.core.records import Outcome
from wigeongw.core.records import Upstream
from wigeongw.decisions.messages import LimitReport
from wigeongw.ports.errors import BodyError
from wigeongw.ports.errors import ShedError
from wigeongw.ports.errors import UpstreamError
from wigeongw.ports.upstream import Call

CALL = Call("id-1", "GET", "/", (), None, 2_000.0)


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.status = 200
        self.lines: list[str] = []
        self.repeats = 1
        self.raw: bytes | None = None
        self.closes_raw = True
        server = ScriptedUpstream(self.answer)
        await server.start(self.stack)
        self.upstream = Upstream("u", server.address, "s", "amman")
        session = await self.stack.enter_async_context(new_session(True))
        unpooled = await self.stack.enter_async_context(new_session(False))
        self.client = HttpUpstreamClient(session, unpooled, Clock())

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.raw is not None:
            writer.write(self.raw)
            if self.closes_raw:
                writer.close()
            return
        response = response_bytes(self.status, b"", *self.lines)
        writer.write(response * self.repeats)


class RefusalWrittenTwiceTest(ClientTestCase):
    """The second copy waits on the connection for the next request."""

    async def test_copy_says_that_another_request_did_not_run(self) -> None:
        for echoed in ((f"{REQUEST_ID}: {CALL.identity}",), ()):
            with self.subTest(echoed=echoed):
                self.status = 503
                self.repeats = 2
                self.lines = [f"{NOT_RUN}: full", *echoed]
                with self.assertRaises((ShedError, UpstreamError)):
                    await self.client.call(self.upstream, CALL)
                await asyncio.sleep(0.05)
                call = replace(CALL, identity="id-2")
                with self.assertRaises(UpstreamError) as raised:
                    await self.client.call(self.upstream, call)
                self.assertIs(raised.exception.outcome, Outcome.UNKNOWN)

    async def test_first_refusal_on_a_new_connection_is_believed(self) -> None:
        self.status = 503
        self.lines = [f"{NOT_RUN}: full"]
        call = replace(CALL, method="POST")
        with self.assertRaises(ShedError):
            await self.client.call(self.upstream, call)


class StatusLineTest(ClientTestCase):
    """The upstream keeps its connection open after each answer."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.closes_raw = False

    async def test_status_that_is_none_fails_at_once(self) -> None:
        """It was passed on, and the client got no answer at all."""
        for status in NO_STATUSES:
            with self.subTest(status=status):
                self.raw = status_response(status)
                with self.assertRaises(UpstreamError) as raised:
                    await self.client.call(self.upstream, CALL)
                error = raised.exception
                self.assertIs(error.outcome, Outcome.UNKNOWN)
                self.assertNotIn("Timeout", error.reason)

    async def test_other_statuses_are_answers(self) -> None:
        for status in STATUSES:
            with self.subTest(status=status):
                self.raw = status_response(status)
                reply = await self.client.call(self.upstream, CALL)
                self.assertEqual(reply.status, int(status))
                await reply.close()


class CutResponseTest(ClientTestCase):
    async def test_response_that_stops_at_any_byte_passes_as_whole(
        self,
    ) -> None:
        """The upstream closes; the client gets an error or a cut body."""
        echoed = f"{REQUEST_ID}: {CALL.identity}"
        for case, whole in cut_responses(echoed).items():
            for size in range(len(whole)):
                with self.subTest(case=case, sent=whole[:size]):
                    self.raw = whole[:size]
                    with self.assertRaises((UpstreamError, BodyError)):
                        reply = await self.client.call(self.upstream, CALL)
                        async for _ in reply.body():
                            pass

    async def test_head_without_length_that_stops_passes_as_whole(
        self,
    ) -> None:
        head = response_bytes(200, b"", "X-A: a", length=-1)
        for size in range(len(head)):
            with self.subTest(sent=head[:size]):
                self.raw = head[:size]
                with self.assertRaises(UpstreamError):
                    await self.client.call(self.upstream, CALL)


class RateLimitTest(ClientTestCase):
    async def named_limit(self, *values: str) -> LimitReport | None:
        self.lines = [f"{RATE_LIMIT}: {value}" for value in values]
        reply = await self.client.call(self.upstream, CALL)
        await reply.close()
        return reply.limit

    async def test_response_names_a_limit_or_none(self) -> None:
        self.assertEqual(await self.named_limit("1.5"), LimitReport(1.5))
        self.assertEqual(await self.named_limit(), LimitReport(None))

    async def test_invalid_limit_is_logged_once_and_says_nothing(self) -> None:
        with logbook.TestHandler() as handler:
            for values in (("",), ("many",), ("-1",), ("inf",), ("1", "1")):
                with self.subTest(values):
                    self.assertIsNone(await self.named_limit(*values))
        lines = [
            r.message for r in handler.records if "rate limit" in r.message
        ]
        self.assertEqual(len(lines), 1, lines)
        self.assertIn("id-1", lines[0])

    async def test_shed_request_names_a_limit_but_no_end(self) -> None:
        self.status = 503
        for limit_lines, expected in (
            ([f"{RATE_LIMIT}: 2"], LimitReport(2.0)),
            ([], None),
        ):
            self.lines = [
                f"{NOT_RUN}: full",
                f"{REQUEST_ID}: {CALL.identity}",
                *limit_lines,
            ]
            with self.assertRaises(ShedError) as raised:
                await self.client.call(self.upstream, CALL)
            self.assertEqual(raised.exception.limit, expected)


if __name__ == "__main__":
    unittest.main()
