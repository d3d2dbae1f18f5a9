"""Tests that a peer is disconnected when it sends invalid batches.

A batch is invalid if it is malformed, too large, or names no host or another
host than earlier batches.
"""

import asyncio
import unittest
import unittest.mock

from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.adapters.peer_stream import GrantorProtocol
from wigeongw.adapters.peer_stream import LENGTH_PREFIX
from wigeongw.adapters.peer_stream import MAX_FRAME_BYTES
from wigeongw.adapters.peer_stream import MAX_FRAMES_PER_TURN
from wigeongw.core.clock import ManualClock
from wigeongw.core.records import Revision
from wigeongw.decisions.messages import Ask
from wigeongw.ports.peers import Heartbeat


class RecordingEvents:
    """Records all events."""

    def __init__(self) -> None:
        self.received: list[object] = []

    def on_holder_messages(self, host: str, messages: object) -> None:
        self.received.append((host, messages))

    def on_grantor_messages(self, host: str, messages: object) -> None:
        self.received.append((host, messages))

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.received.append(heartbeat)

    def on_link_changed(self, host: str, up: bool) -> None:
        self.received.append((host, up))

    def on_holder_disconnected(self, host: str) -> None:
        self.received.append(host)

    def revision_above(self, number: int) -> Revision | None:
        return None

    def on_revision(self, revision: Revision) -> int:
        return 0


class RecordingTransport(asyncio.Transport):
    """A transport that only records whether it was aborted."""

    aborted = False
    paused = False

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def abort(self) -> None:
        self.aborted = True

    def is_closing(self) -> bool:
        return self.aborted


def encode_frame(batch: pb.HolderBatch) -> bytes:
    raw = batch.SerializeToString()
    return LENGTH_PREFIX.pack(len(raw)) + raw


def ask_batch(host: str) -> pb.HolderBatch:
    batch = pb.HolderBatch(host=host)
    batch.asks.add(pool="p", number=1, ends_in_ms=5.0)
    return batch


class GrantorProtocolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.events = RecordingEvents()
        self.opened: list[str] = []
        self.protocol = GrantorProtocol(
            self.events,
            ManualClock(),
            lambda protocol: self.opened.append(protocol.host),
            lambda protocol: None,
        )
        self.transport = RecordingTransport()
        self.protocol.connection_made(self.transport)

    def test_reassembles_fragmented_frames(self) -> None:
        for byte in encode_frame(ask_batch("h")) * 2:
            self.protocol.data_received(bytes([byte]))
        ask = Ask("p", 1, 5.0)
        self.assertEqual(self.events.received, [("h", [ask])] * 2)
        self.assertEqual(self.opened, ["h"])

    def test_ignores_unknown_fields(self) -> None:
        raw = ask_batch("h").SerializeToString() + b"\xfa\x3e\x03new"
        self.protocol.data_received(LENGTH_PREFIX.pack(len(raw)) + raw)
        self.assertEqual(len(self.events.received), 1)
        self.assertFalse(self.transport.aborted)

    def test_invalid_input_drops_connection(self) -> None:
        verdict = ask_batch("h")
        verdict.returns.add(pool="p", verdict=77)
        cases = (
            ("malformed batch", LENGTH_PREFIX.pack(4) + b"\xff\xff\xff\xff"),
            (
                "frame above the size limit",
                LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
            ),
            ("no host name", encode_frame(ask_batch(""))),
            (
                "changed host name",
                encode_frame(ask_batch("h")) + encode_frame(ask_batch("i")),
            ),
            ("unknown verdict", encode_frame(verdict)),
            ("other protocol", b"GET / HTTP/1.1\r\n\r\n"),
        )
        for name, data in cases:
            with self.subTest(name):
                self.setUp()
                self.protocol.data_received(data)
                self.assertTrue(self.transport.aborted)

    async def test_frames_of_one_read_are_processed_in_turns(self) -> None:
        """A stream of small frames kept a host from everybody else."""
        frame = encode_frame(pb.HolderBatch(host="h2"))
        count = 3 * MAX_FRAMES_PER_TURN
        received = unittest.mock.Mock(wraps=self.protocol.frame_received)
        with unittest.mock.patch.object(
            self.protocol, "frame_received", received
        ):
            self.protocol.data_received(frame * count)
            self.assertEqual(received.call_count, MAX_FRAMES_PER_TURN)
            self.assertTrue(self.transport.paused)
            while received.call_count < count:
                before = received.call_count
                await asyncio.sleep(0)
                in_turn = received.call_count - before
                self.assertLessEqual(in_turn, MAX_FRAMES_PER_TURN)
            await asyncio.sleep(0)
        self.assertFalse(self.transport.paused)
        self.assertEqual(self.protocol.buffer, b"")


if __name__ == "__main__":
    unittest.main()
