"""A peer that sends nonsense, floods or renames itself is dropped."""

import asyncio
import unittest

from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.adapters.peer_stream import FRAME_MOST_BYTES
from wigeongw.adapters.peer_stream import GrantorSide
from wigeongw.adapters.peer_stream import LENGTH
from wigeongw.core.clock import ManualClock
from wigeongw.core.records import Revision
from wigeongw.decisions.messages import Ask
from wigeongw.ports.peers import Heartbeat


class Events:
    """Notes what is heard."""

    def __init__(self) -> None:
        self.heard: list[object] = []

    def on_holder(self, host: str, messages: object) -> None:
        self.heard.append((host, messages))

    def on_grantor(self, host: str, messages: object) -> None:
        self.heard.append((host, messages))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.heard.append(heartbeat)

    def on_link(self, host: str, up: bool) -> None:
        self.heard.append((host, up))

    def on_holder_lost(self, host: str) -> None:
        self.heard.append(host)

    def revision_above(self, number: int) -> Revision | None:
        return None

    def on_revision(self, revision: Revision) -> int:
        return 0


class Transport(asyncio.Transport):
    """A connection that only notes its end."""

    aborted = False

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted


def frame(batch: pb.HolderBatch) -> bytes:
    raw = batch.SerializeToString()
    return LENGTH.pack(len(raw)) + raw


def named(host: str) -> pb.HolderBatch:
    batch = pb.HolderBatch(host=host)
    batch.asks.add(pool="p", number=1, ends_in_ms=5.0)
    return batch


class GrantorSideTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events = Events()
        self.opened: list[str] = []
        self.side = GrantorSide(
            self.events,
            ManualClock(),
            lambda side: self.opened.append(side.host),
            lambda side: None,
        )
        self.transport = Transport()
        self.side.connection_made(self.transport)

    def test_frames_cut_anywhere(self) -> None:
        for byte in frame(named("h")) * 2:
            self.side.data_received(bytes([byte]))
        ask = Ask("p", 1, 5.0)
        self.assertEqual(self.events.heard, [("h", [ask])] * 2)
        self.assertEqual(self.opened, ["h"])

    def test_newer_messages_are_understood_as_far_as_known(self) -> None:
        raw = named("h").SerializeToString() + b"\xfa\x3e\x03new"
        self.side.data_received(LENGTH.pack(len(raw)) + raw)
        self.assertEqual(len(self.events.heard), 1)
        self.assertFalse(self.transport.aborted)

    def test_dropped(self) -> None:
        verdict = named("h")
        verdict.returns.add(pool="p", verdict=77)
        cases = (
            ("nonsense", LENGTH.pack(4) + b"\xff\xff\xff\xff"),
            ("a huge frame", LENGTH.pack(FRAME_MOST_BYTES + 1)),
            ("no name", frame(named(""))),
            ("another name", frame(named("h")) + frame(named("i"))),
            ("an unknown verdict", frame(verdict)),
            ("another protocol", b"GET / HTTP/1.1\r\n\r\n"),
        )
        for name, data in cases:
            with self.subTest(name):
                self.setUp()
                self.side.data_received(data)
                self.assertTrue(self.transport.aborted)


if __name__ == "__main__":
    unittest.main()
