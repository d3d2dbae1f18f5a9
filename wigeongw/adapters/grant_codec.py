"""Encodes requests for grants, and the replies, as UDP datagrams.

A datagram identifies an upstream by a 32-bit hash of its identity, as those
with observations do. The first byte tells them all apart.
"""

from dataclasses import dataclass
import math
import struct

from wigeongw.core.errors import WigeongwError

ASK_TYPE = 0x61
REPLY_TYPE = 0x72
ASK_STRUCT = struct.Struct("!BIIdH")
REPLY_STRUCT = struct.Struct("!BIHdH")
# Stands for a rate when an upstream names no limit.
NO_LIMIT = -1.0
MAX_UINT16 = 65_535


class GrantCodecError(WigeongwError):
    """A datagram is truncated or holds an invalid rate."""


@dataclass(frozen=True, slots=True)
class GrantAsk:
    """Asks a grantor for one request to an upstream.

    Attributes:
        serial: number that the reply repeats.
        key: hash of the upstream's identity.
        per_s: the rate limit of the upstream as the sender knows it.
        age_ms: how long ago the upstream named it.
    """

    serial: int
    key: int
    per_s: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class GrantReply:
    """A grantor's decision about one request.

    Attributes:
        serial: number of the ask.
        wait_ms: 0 when the request is granted, else the time after which it
            is worth asking again.
        per_s: the rate limit as the grantor knows it; None when the upstream
            has ended its limit.
        age_ms: how long ago the upstream said so.
    """

    serial: int
    wait_ms: float
    per_s: float | None
    age_ms: float


def encode_ask(ask: GrantAsk) -> bytes:
    """Encode an ask; an age above the range of its field is clamped."""
    return ASK_STRUCT.pack(
        ASK_TYPE, ask.serial, ask.key, ask.per_s, _to_uint16(ask.age_ms)
    )


def decode_ask(data: bytes) -> GrantAsk:
    """Decode an ask.

    Raises:
        GrantCodecError: if the datagram is truncated or its rate is invalid.
    """
    try:
        _, serial, key, per_s, age_ms = ASK_STRUCT.unpack_from(data)
    except struct.error as error:
        raise GrantCodecError(f"truncated ask: {error}") from error
    if not (math.isfinite(per_s) and per_s >= 0.0):
        raise GrantCodecError(f"invalid rate {per_s}")
    return GrantAsk(serial, key, per_s, float(age_ms))


def encode_reply(reply: GrantReply) -> bytes:
    """Encode a reply; times above the range of their field are clamped.

    A wait is rounded up, as 0 means that the request is granted.
    """
    per_s = NO_LIMIT if reply.per_s is None else reply.per_s
    return REPLY_STRUCT.pack(
        REPLY_TYPE,
        reply.serial,
        _to_uint16(-(-reply.wait_ms // 1.0)),
        per_s,
        _to_uint16(reply.age_ms),
    )


def decode_reply(data: bytes) -> GrantReply:
    """Decode a reply.

    Raises:
        GrantCodecError: if the datagram is truncated or its rate is invalid.
    """
    try:
        _, serial, wait_ms, per_s, age_ms = REPLY_STRUCT.unpack_from(data)
    except struct.error as error:
        raise GrantCodecError(f"truncated reply: {error}") from error
    if not math.isfinite(per_s):
        raise GrantCodecError(f"invalid rate {per_s}")
    known_per_s = None if per_s < 0.0 else per_s
    return GrantReply(serial, float(wait_ms), known_per_s, float(age_ms))


def _to_uint16(value: float) -> int:
    return min(MAX_UINT16, max(0, int(value)))
