"""Bytes of clients without end meet the account of their message.

No network: fake transports drive the parser. The load is a client that may mix
all that a parser accepts beside bodies, or many of them.
"""

import asyncio
import logging
import time
from typing import Any
from typing import cast
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from uvicorn import Config
from uvicorn.server import ServerState

from standins.fake_transport import FakeTransport
from standins.fake_transport import run
from wigeongw.adapters.client_protocol import connection_of
from wigeongw.adapters.client_protocol import LimitedProtocol
from wigeongw.adapters.client_protocol import protocol_class
from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import CloseReason
from wigeongw.core.site import ClientLimits
from wigeongw.decisions import connection_limits
from wigeongw.decisions import memory_shares
from wigeongw.decisions.message_account import MAX_OVERHEAD_PER_BODY_BYTE
from wigeongw.decisions.message_account import MessageAccount

HEAD_BYTES = 2_000
BODY_BYTES = 20_000
REPEATS = 400
MAX_PIECES = 30_000
# Longer than a new connection is not closed for another one.
NEW_CONNECTION_S = 0.15
HOST = b"Host: a\r\n"
CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
)
# What a client may repeat after the head of a chunked request; the rest of a
# message follows none of them.
REQUEST_UNITS = (b"1\r\nx\r\n", b"1;extension=long\r\nx\r\n", b"2\r\nxy\r\n")


async def hang(scope: Any, receive: Any, send: Any) -> None:
    """Read what comes and never answer."""
    while (await receive())["type"] != "http.disconnect":
        pass


def keep_turn_busy() -> None:
    """Let the turn of the event loop last long."""
    time.sleep(NEW_CONNECTION_S)


class ClientBoundsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.getLogger("uvicorn").setLevel(logging.CRITICAL + 1)
        self.closed: list[CloseReason] = []
        limits = ClientLimits(HEAD_BYTES, BODY_BYTES)
        self.resources = ClientResources(
            lambda: limits, on_close=self.closed.append
        )

    def connect(self, app: Any = hang) -> LimitedProtocol:
        """Return a connection with a fake transport."""
        config = Config(
            app,
            http=protocol_class(self.resources),
            ws="none",
            log_config=None,
            access_log=False,
        )
        config.load()
        protocol = protocol_class(self.resources)(
            config, ServerState(), {}, asyncio.get_running_loop()
        )
        protocol.connection_made(FakeTransport())
        return protocol

    async def send(self, protocol: LimitedProtocol, data: bytes) -> None:
        """Deliver bytes as a transport does that may be paused."""
        transport = cast(FakeTransport, protocol.transport)
        while transport.is_paused:  # noqa: ASYNC110
            await asyncio.sleep(0)
        protocol.data_received(data)
        await asyncio.sleep(0)

    async def send_until_closed(
        self, protocol: LimitedProtocol, unit: bytes
    ) -> int:
        """Send a unit without end; return the bytes that were taken."""
        taken = 0
        for _ in range(MAX_PIECES // len(unit)):
            if protocol.transport.is_closing():
                break
            await self.send(protocol, unit * 10)
            taken += 10 * len(unit)
        protocol.connection_lost(None)
        return taken

    def check_closed(self, start: bytes, unit: bytes, most: int) -> None:
        async def play() -> None:
            protocol = self.connect()
            await self.send(protocol, start)
            self.assertLess(await self.send_until_closed(protocol, unit), most)

        run(play)

    def test_trailers_of_all_kinds_end_the_connection(self) -> None:
        start = CHUNKED_HEAD + b"1\r\nx\r\n0\r\n"
        bound = 3 * HEAD_BYTES
        for unit in (b"a: b\r\n", b"long-name: " + b"v" * 50 + b"\r\n"):
            with self.subTest(unit=unit):
                self.check_closed(start, unit, bound)
        self.check_closed(start + b"a: ", b"x", bound)
        self.check_closed(CHUNKED_HEAD + b"1;", b"x", bound)

    def test_blank_lines_before_a_request_end_the_connection(self) -> None:
        self.check_closed(b"", b"\r\n", 2 * HEAD_BYTES)

    def test_trailers_are_no_headers(self) -> None:
        seen: list[Any] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            while (await receive()).get("more_body"):
                pass
            seen.append(scope["headers"])

        async def play() -> None:
            protocol = self.connect(app)
            await self.send(protocol, CHUNKED_HEAD + b"0\r\nX-Late: 1\r\n\r\n")
            for _ in range(3):
                await asyncio.sleep(0)
            protocol.connection_lost(None)

        run(play)
        self.assertNotIn(b"x-late", dict(seen[0]))

    @settings(max_examples=25, deadline=None)
    @given(strategies.lists(strategies.sampled_from(REQUEST_UNITS)))
    def test_sound_body_in_any_chunks_is_read(
        self, chunks: list[bytes]
    ) -> None:
        """A client inside the limits may send the smallest chunks."""
        received = bytearray()

        async def app(scope: Any, receive: Any, send: Any) -> None:
            while True:
                message = await receive()
                received.extend(message.get("body", b""))
                if not message.get("more_body"):
                    return

        async def play() -> None:
            protocol = self.connect(app)
            await self.send(protocol, CHUNKED_HEAD)
            for chunk in chunks:
                await self.send(protocol, chunk * REPEATS)
            await self.send(protocol, b"0\r\n\r\n")
            for _ in range(40):
                await asyncio.sleep(0)
            protocol.connection_lost(None)

        run(play)
        bodies = (unit.split(b"\r\n")[1] for unit in chunks)
        expected = sum(len(body) for body in bodies) * REPEATS
        self.assertEqual(len(received), expected)
        self.assertEqual(self.closed, [])

    @settings(max_examples=25, deadline=None)
    @given(strategies.lists(strategies.integers(1, 500), min_size=1))
    def test_pipeline_behind_a_request_stays_small(
        self, sizes: list[int]
    ) -> None:
        request = b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"

        async def play() -> None:
            protocol = self.connect()
            for size in sizes:
                await self.send_some(protocol, request * size)
                held = self.resources.ledger.unread_total
                self.assertLess(held, 400_000)
                self.assertLess(len(protocol.pipeline), 64)
            protocol.connection_lost(None)

        run(play)
        self.assertEqual(self.resources.ledger.unread_total, 0)

    async def send_some(self, protocol: LimitedProtocol, data: bytes) -> None:
        """Deliver bytes unless reading is paused."""
        if not cast(FakeTransport, protocol.transport).is_paused:
            protocol.data_received(data)
        await asyncio.sleep(0)

    def test_all_pipelined_requests_learn_that_the_client_left(self) -> None:
        """Only the newest was told; the one at an upstream ran on."""
        ended: list[str] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            ended.append(scope["path"])

        async def play() -> None:
            protocol = self.connect(app)
            for path in (b"/one", b"/two"):
                await self.send(
                    protocol,
                    b"GET " + path + b" HTTP/1.1\r\n" + HOST + b"\r\n",
                )
            protocol.connection_lost(None)
            for _ in range(5):
                await asyncio.sleep(0)

        run(play)
        self.assertEqual(ended, ["/one"])

    def test_request_of_a_client_that_gave_way_takes_nothing(self) -> None:
        """It began after that, and its body was held until it noticed."""
        seen: list[str] = []
        held: list[bool] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            owner = connection_of(scope)
            held.append(self.resources.hold_upload(9_000, 9_000, owner))
            seen.append((await receive())["type"])

        async def play() -> None:
            protocol = self.connect(app)
            protocol.data_received(
                b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 9000\r\n"
                b"\r\n" + bytes(5_000)
            )
            cycle = protocol.cycle
            protocol.give_up(CloseReason.CONNECTIONS)
            self.assertEqual(len(cycle.body), 0)
            self.assertGreater(self.resources.ledger.leaving.total, 0)
            await asyncio.sleep(0)
            protocol.connection_lost(None)

        run(play)
        self.assertEqual((held, seen), ([False], ["http.disconnect"]))
        ledger = self.resources.ledger
        self.assertEqual((ledger.held, ledger.leaving.total), (0, 0))

    def test_connection_is_not_closed_before_it_could_be_read(self) -> None:
        """Load: a crowd comes back, and turns of the loop last longer."""
        most = connection_limits.MIN_CONNECTIONS
        self.resources = ClientResources(
            descriptors=0, on_close=self.closed.append
        )

        async def play() -> None:
            opened = [self.connect() for _ in range(most)]
            keep_turn_busy()
            opened.append(self.connect())
            ended = [p.transport.is_closing() for p in opened]
            self.assertEqual(ended, [False] * most + [True])
            await asyncio.sleep(NEW_CONNECTION_S)
            opened.append(self.connect())
            self.assertTrue(opened[0].transport.is_closing())
            for protocol in opened:
                protocol.connection_lost(None)

        run(play)
        self.assertEqual(self.resources.new, {})

    async def send_body(self, clients: int) -> tuple[bool, int]:
        """Send a body in two parts, the second once its request has begun.

        Returns:
            Whether reading was paused before that, and the bytes that the
            request received.
        """
        received = bytearray()
        begin = asyncio.Event()

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await begin.wait()
            message = {"more_body": True}
            while message.get("more_body"):
                message = await receive()
                received.extend(message.get("body", b""))

        protocol = self.connect(app)
        self.resources.ledger.clients = clients
        head = b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 9000\r\n\r\n"
        await self.send(protocol, head + bytes(6_000))
        transport = cast(FakeTransport, protocol.transport)
        was_paused = transport.is_paused
        begin.set()
        await self.send(protocol, bytes(3_000))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertFalse(transport.is_paused)
        protocol.connection_lost(None)
        return was_paused, len(received)

    def test_body_waits_unread_for_its_request_while_room_is_scarce(
        self,
    ) -> None:
        """Load: many clients, whose bodies arrive before any request runs."""
        room = self.resources.ledger.room
        full = room // memory_shares.CLIENT_CONNECTION_BYTES
        seen: list[tuple[bool, int]] = []

        async def play() -> None:
            seen.append(await self.send_body(full - 10))
            seen.append(await self.send_body(1))

        run(play)
        self.assertEqual(seen, [(True, 9_000), (False, 9_000)])


class MessageAccountTest(unittest.TestCase):
    def test_nothing_inside_a_message_sets_it_back(self) -> None:
        account = MessageAccount(10)
        account.received, account.body = 20, 10
        self.assertFalse(account.is_exceeded)
        account.received += 10 * MAX_OVERHEAD_PER_BODY_BYTE
        self.assertFalse(account.is_exceeded)
        account.received += 1
        self.assertTrue(account.is_exceeded)


if __name__ == "__main__":
    unittest.main()
