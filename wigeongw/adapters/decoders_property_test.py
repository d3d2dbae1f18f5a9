"""Decoders of others' bytes return a value or their one typed error."""

import base64
import json
from typing import Any
import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from wigeongw.adapters import batch_codec
from wigeongw.adapters import change_codec
from wigeongw.adapters import etcd_store
from wigeongw.adapters import grant_codec
from wigeongw.adapters import observation_codec
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.adapters.grant_codec import GrantCodecError
from wigeongw.adapters.load_header import LoadFormat
from wigeongw.adapters.load_header import read_load
from wigeongw.adapters.observation_codec import ObservationError
from wigeongw.adapters.observation_codec import Observations
from wigeongw.adapters.observation_codec import SeenLoad
from wigeongw.adapters.rate_limit_header import RateLimitHeaderError
from wigeongw.adapters.rate_limit_header import read_rate_limit
from wigeongw.core.site import Host
from wigeongw.core.site import Target
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.dialect import ResponseKind

SEED = 20261205
EXAMPLES = 300
LOAD_FORMAT = LoadFormat("load", "cold", 100.0, True)
# Values that a field of another type or range may have.
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    10**400,
    1e308,
    "",
    "x" * 5_000,
    "\ud800",
    "a\r\nb",
    "127.0.0.1:70000",
    "256.0.0.1:80",
    "no.such.name.example:80",
    [],
    [[[[]]]],
    {"a": 1},
)
NESTED = b"[" * 4_000
TARGET = Target("i-1", "s", "10.0.0.1:80", "amman", 4)
HOST = Host("h", "10.0.0.2:80", "amman", "10.0.0.2:81")
BATCH = ChangeBatch((TARGET, HOST), StorePosition(1, 5), is_full=True)

odd_values = st.sampled_from(ODD_VALUES) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=5,
)


class DecodersTest(unittest.TestCase):
    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=200))
    @example(NESTED)
    @example(b'{"changes": ' + NESTED)
    @example(b'{"era": 1e999, "position": 1, "changes": [], "age_ms": NaN}')
    def test_bytes_give_a_value_or_one_error(self, raw: bytes) -> None:
        """Nested arrays ended the task that follows the store."""
        for decode, error in (
            (batch_codec.decode, ChangeCodecError),
            (
                lambda data: observation_codec.decode(data, 0.0),
                ObservationError,
            ),
            (grant_codec.decode_ask, GrantCodecError),
            (grant_codec.decode_reply, GrantCodecError),
        ):
            try:
                decode(raw)
            except error:
                continue

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(
        st.sampled_from(["identity", "address", "slots", "born_ms", "name"]),
        odd_values,
        st.sampled_from([0, 1]),
    )
    def test_an_odd_field_of_a_change_can_be_used_or_is_an_error(
        self, field: str, value: Any, index: int
    ) -> None:
        """An odd address or name failed later, where it was used."""
        document = json.loads(batch_codec.encode(BATCH))
        document["changes"][index][field] = value
        try:
            batch = batch_codec.decode(json.dumps(document).encode())
        except ChangeCodecError:
            return
        for change in batch.changes:
            change_codec.dumps(change_codec.encode(change))
            if isinstance(change, Target):
                observation_codec.hash_identity(change.identity)
                change.identity.encode("latin-1")

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(
        st.lists(st.floats().map(str) | st.text(max_size=5), max_size=5),
        st.floats().map(str) | st.text(max_size=5),
    )
    @example(["1e308", "0", "4", "1e308"], "0")
    @example(["-1", "0", "4", "-5"], "-1")
    def test_a_load_sample_can_be_sent_to_other_hosts(
        self, values: list[str], cold: str
    ) -> None:
        """A negative or huge load value failed when it was sent on."""
        headers = {"load": ",".join(values), "cold": cold}
        sample = read_load(LOAD_FORMAT, headers, 1.0, True, ResponseKind.PROBE)
        if sample is not None:
            seen = SeenLoad(1, 5.0, sample)
            observation_codec.encode(Observations(seen=(seen,)))

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(st.binary(max_size=40))
    def test_a_rate_limit_is_read_or_one_error(self, value: bytes) -> None:
        try:
            read_rate_limit("limit", [(b"limit", value)])
        except RateLimitHeaderError:
            return

    @seed(SEED)
    @settings(max_examples=EXAMPLES, deadline=None, database=None)
    @given(odd_values, odd_values)
    def test_odd_key_values_of_the_gateway_are_one_error(
        self, key: Any, value: Any
    ) -> None:
        """A key that is no text ended the watch of the settings."""
        entry = {"key": key, "value": value, "mod_revision": "1"}
        try:
            etcd_store.decode_entry(entry)
        except etcd_store.CALL_ERRORS:
            return

    def test_a_key_that_is_no_text_does_not_end_a_reading(self) -> None:
        raw_key = base64.b64encode(b"live/\xff").decode()
        entry = etcd_store.decode_entry({"key": raw_key})
        self.assertTrue(entry.key.startswith("live/"))


if __name__ == "__main__":
    unittest.main()
