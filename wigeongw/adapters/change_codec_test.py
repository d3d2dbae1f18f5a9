"""Tests that encoded catalog changes survive a round trip."""

import json
import unittest

from wigeongw.adapters import change_codec
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.gateway.host_case import configuration
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import HostGone
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored

EXAMPLES: tuple[Change, ...] = (
    configuration(),
    Target("i", "s", "127.0.0.1:1", "amman", 4, True, 2.5, 9.0),
    TargetGone("i"),
    Host("h", "127.0.0.1:2", "amman", "127.0.0.1:3"),
    HostGone("h"),
    ZoneEvacuated("irbid"),
    ZoneRestored("irbid"),
)


class ChangeCodecTest(unittest.TestCase):
    def test_decode_restores_every_change(self) -> None:
        for change in EXAMPLES:
            with self.subTest(change=change):
                raw = change_codec.dumps(change_codec.encode(change))
                decoded = change_codec.decode(json.loads(raw))
                self.assertEqual(decoded, change)

    def test_decode_rejects_invalid_documents(self) -> None:
        for document in ({}, {"kind": "Nothing"}, {"kind": "Target", "x": 1}):
            with self.subTest(document=document):
                with self.assertRaises(ChangeCodecError):
                    change_codec.decode(dict(document))


if __name__ == "__main__":
    unittest.main()
