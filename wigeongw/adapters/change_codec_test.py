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

CHANGES: tuple[Change, ...] = (
    configuration(),
    Target("i", "s", "127.0.0.1:1", "amman", 4, True, 2.5, 9.0),
    TargetGone("i"),
    Host("h", "127.0.0.1:2", "amman", "127.0.0.1:3"),
    HostGone("h"),
    ZoneEvacuated("irbid"),
    ZoneRestored("irbid"),
)


class ChangeCodecTest(unittest.TestCase):
    def test_every_change_comes_back_as_it_was(self) -> None:
        for change in CHANGES:
            with self.subTest(change=change):
                raw = change_codec.dumps(change_codec.encode(change))
                found = change_codec.decode(json.loads(raw))
                self.assertEqual(found, change)

    def test_what_makes_no_sense(self) -> None:
        for table in ({}, {"kind": "Nothing"}, {"kind": "Target", "x": 1}):
            with self.subTest(table=table):
                with self.assertRaises(ChangeCodecError):
                    change_codec.decode(dict(table))


if __name__ == "__main__":
    unittest.main()
