"""Encodes asks for an account's quota, and the replies, as UDP datagrams."""

from dataclasses import dataclass
import struct

import xxhash

from wigeongw.core.errors import WigeongwError

# The first byte of a datagram tells the kinds apart.
ASK_TYPE = 0x71
REPLY_TYPE = 0x51
ASK_STRUCT = struct.Struct("!BIQB")
REPLY_STRUCT = struct.Struct("!BIBH")
MAX_UINT8 = 255
MAX_UINT16 = 65_535


class QuotaCodecError(WigeongwError):
    """A datagram is truncated."""


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks a grantor for requests of an account.

    Attributes:
        serial: number that the reply repeats.
        account: hash of the account's name.
        wanted: number of requests.
    """

    serial: int
    account: int
    wanted: int


@dataclass(frozen=True, slots=True)
class QuotaReply:
    """A grantor's answer.

    Attributes:
        serial: number of the ask.
        granted: number of requests.
        wait_ms: time after which more are worth asking for.
    """

    serial: int
    granted: int
    wait_ms: float


def hash_account(name: str) -> int:
    """Return the hash that identifies an account in datagrams."""
    return xxhash.xxh64_intdigest(name.encode())


def encode_ask(ask: QuotaAsk) -> bytes:
    """Encode an ask."""
    wanted = min(MAX_UINT8, ask.wanted)
    return ASK_STRUCT.pack(ASK_TYPE, ask.serial, ask.account, wanted)


def decode_ask(data: bytes) -> QuotaAsk:
    """Decode an ask.

    Raises:
        QuotaCodecError: if the datagram is truncated.
    """
    try:
        return QuotaAsk(*ASK_STRUCT.unpack_from(data)[1:])
    except struct.error as error:
        raise QuotaCodecError(f"truncated ask: {error}") from error


def encode_reply(reply: QuotaReply) -> bytes:
    """Encode a reply; a wait is rounded up and clamped."""
    wait_ms = min(MAX_UINT16, max(0, int(-(-reply.wait_ms // 1.0))))
    granted = min(MAX_UINT8, reply.granted)
    return REPLY_STRUCT.pack(REPLY_TYPE, reply.serial, granted, wait_ms)


def decode_reply(data: bytes) -> QuotaReply:
    """Decode a reply.

    Raises:
        QuotaCodecError: if the datagram is truncated.
    """
    try:
        _, serial, granted, wait_ms = REPLY_STRUCT.unpack_from(data)
    except struct.error as error:
        raise QuotaCodecError(f"truncated reply: {error}") from error
    return QuotaReply(serial, granted, float(wait_ms))
