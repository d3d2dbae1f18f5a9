"""Tests that every message between entry hosts survives a round trip."""

import unittest

from wigeongw.adapters import peer_codec as codec
from wigeongw.adapters.peer_pb import peer_pb2 as pb
from wigeongw.core.records import Revision
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import HeldPermit
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Registered
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Renewed
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Revoke
from wigeongw.decisions.messages import Verdict
from wigeongw.ports.errors import PeerError
from wigeongw.ports.peers import Heartbeat

HOLDER_MESSAGES = (
    Register("p", (HeldPermit(7, "u", 12.5),)),
    Renew("p", 3, (7, 8)),
    Return("p", 7, "u", Verdict.SHED, 4.5, "start"),
    Ask("p", 9, 100.0, ("u", "v"), 5),
    Cancel("p", 9),
)
GRANTOR_MESSAGES = (
    Registered("p"),
    Grant("p", 9, 77, "u", True, True, 3.5),
    Renewed("p", 3, (7,)),
    Pressure("p", 2.5),
    Revoke("p", "u"),
)


class PeerCodecTest(unittest.TestCase):
    def test_holder_messages_round_trip(self) -> None:
        batch = codec.pack_holder_batch("h", HOLDER_MESSAGES, None, 0.0)
        raw = batch.SerializeToString()
        decoded = codec.unpack_holder_batch(pb.HolderBatch.FromString(raw))
        self.assertEqual(tuple(decoded), HOLDER_MESSAGES)

    def test_grantor_messages_round_trip(self) -> None:
        raw = codec.pack_grantor_batch(GRANTOR_MESSAGES).SerializeToString()
        decoded = codec.unpack_grantor_batch(pb.GrantorBatch.FromString(raw))
        self.assertEqual(tuple(decoded), GRANTOR_MESSAGES)

    def test_heartbeat_ages_are_independent_of_clocks(self) -> None:
        view = UpstreamView("p", "u", True, 4, "s", 900.0)
        heartbeat = Heartbeat(
            "h", 3, True, 5.0, (view,), ("v",), (Fence("p", "h", 2, 5),)
        )
        batch = codec.pack_holder_batch("h", (), heartbeat, 1_000.0)
        decoded = codec.unpack_heartbeat(batch.heartbeat, 50_000.0)
        self.assertEqual(decoded.upstreams[0].seen_at, 49_900.0)
        self.assertEqual(decoded.fences, heartbeat.fences)
        self.assertEqual(decoded.leaving_upstreams, ("v",))

    def test_unknown_verdict_raises_peer_error(self) -> None:
        batch = pb.HolderBatch(host="h")
        batch.returns.add(pool="p", permit=1, verdict=99)
        with self.assertRaises(PeerError):
            codec.unpack_holder_batch(batch)

    def test_revision_round_trip(self) -> None:
        revision = Revision(3, "text", "who", "why", 1.5, "b", "d")
        decoded = codec.unpack_revision(codec.pack_revision(revision))
        self.assertEqual(decoded, revision)


if __name__ == "__main__":
    unittest.main()
