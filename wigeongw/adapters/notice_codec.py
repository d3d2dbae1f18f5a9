"""Encodes notices that all hosts have to know, as UDP datagrams.

A notice identifies an upstream by a 32-bit hash of its identity, as datagrams
with observations do, and a request by its fingerprint.
"""

from collections.abc import Callable
from dataclasses import astuple
from dataclasses import dataclass
import struct

from wigeongw.core.errors import WigeongwError

# The first byte of a datagram tells the kinds apart.
NOTICE_TYPE = 0x6E
FINGERPRINT_BYTES = 16
MAX_NOTICES = 50
MAX_UINT8 = 255
MAX_UINT32 = 0xFFFF_FFFF
HEADER_STRUCT = struct.Struct("!BB")
LEAVING_STRUCT = struct.Struct("!II")
ENDED_STRUCT = struct.Struct(f"!{FINGERPRINT_BYTES}sI?")
HELD_STRUCT = struct.Struct(f"!{FINGERPRINT_BYTES}sB")
CLEARED_STRUCT = struct.Struct(f"!{FINGERPRINT_BYTES}s")
ANSWERS_STRUCT = struct.Struct("!IIIII?III")
REJECTED_STRUCT = struct.Struct("!II")


class NoticeError(WigeongwError):
    """A datagram is truncated or holds an unknown kind of notice."""


@dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """An upstream said that it leaves.

    Attributes:
        key: hash of its identity.
        born: lower 32 bits of the time of its start.
    """

    key: int
    born: int


@dataclass(frozen=True, slots=True)
class UpstreamEnded:
    """An upstream ended while it had a request.

    Attributes:
        fingerprint: of the request.
        key: hash of the upstream's identity.
        is_alone: whether the host had no other request there.
    """

    fingerprint: bytes
    key: int
    is_alone: bool


@dataclass(frozen=True, slots=True)
class RequestHeld:
    """A request is held back.

    Attributes:
        ends: number of upstreams that ended under it.
    """

    fingerprint: bytes
    ends: int


@dataclass(frozen=True, slots=True)
class RequestCleared:
    """A request that was suspected has been answered."""

    fingerprint: bytes


@dataclass(frozen=True, slots=True)
class VersionAnswers:
    """A host's answers of one version of a service on one route.

    Names are 32-bit hashes. The figures are totals since the order.

    Attributes:
        host: the host.
        boot: tells its starts apart.
        version: the version of the order.
        is_new: whether the answers are those of that version.
    """

    host: int
    boot: int
    version: int
    service: int
    route: int
    is_new: bool
    total: int
    failed: int
    slow: int


@dataclass(frozen=True, slots=True)
class VersionRejected:
    """A version of a service was found bad; names are 32-bit hashes."""

    service: int
    version: int


Notice = (
    UpstreamLeaving
    | UpstreamEnded
    | RequestHeld
    | RequestCleared
    | VersionAnswers
    | VersionRejected
)
Decoder = Callable[[bytes, int], tuple[Notice, int]]
DECODERS: dict[int, Decoder] = {}


def register_decoder(kind: int) -> Callable[[Decoder], Decoder]:
    """Return a decorator that registers the decoder of a kind of notice."""

    def register(function: Decoder) -> Decoder:
        DECODERS[kind] = function
        return function

    return register


def born_key(born_ms: float) -> int:
    """Return the part of the time of a start that notices hold."""
    return int(born_ms) & MAX_UINT32


def encode(notices: list[Notice]) -> bytes:
    """Encode a datagram; notices beyond MAX_NOTICES are left out."""
    included = notices[:MAX_NOTICES]
    parts = [HEADER_STRUCT.pack(NOTICE_TYPE, len(included))]
    parts.extend(_encode_one(notice) for notice in included)
    return b"".join(parts)


def decode(data: bytes) -> list[Notice]:
    """Decode a datagram.

    Raises:
        NoticeError: if it is truncated or holds an unknown kind of notice.
    """
    try:
        _, count = HEADER_STRUCT.unpack_from(data)
        offset = HEADER_STRUCT.size
        notices = []
        for _ in range(count):
            decoder = DECODERS[data[offset]]
            notice, offset = decoder(data, offset + 1)
            notices.append(notice)
    except (struct.error, KeyError, IndexError) as error:
        raise NoticeError(f"invalid datagram: {error!r}") from error
    return notices


def _encode_one(notice: Notice) -> bytes:
    match notice:
        case UpstreamLeaving():
            return b"l" + LEAVING_STRUCT.pack(notice.key, notice.born)
        case UpstreamEnded():
            return b"e" + ENDED_STRUCT.pack(
                notice.fingerprint, notice.key, notice.is_alone
            )
        case RequestHeld():
            ends = min(MAX_UINT8, notice.ends)
            return b"h" + HELD_STRUCT.pack(notice.fingerprint, ends)
        case RequestCleared():
            return b"c" + CLEARED_STRUCT.pack(notice.fingerprint)
        case VersionAnswers():
            return b"a" + ANSWERS_STRUCT.pack(*astuple(notice))
        case VersionRejected():
            return b"r" + REJECTED_STRUCT.pack(*astuple(notice))


@register_decoder(ord("l"))
def _decode_leaving(data: bytes, offset: int) -> tuple[Notice, int]:
    fields = LEAVING_STRUCT.unpack_from(data, offset)
    return UpstreamLeaving(*fields), offset + LEAVING_STRUCT.size


@register_decoder(ord("e"))
def _decode_ended(data: bytes, offset: int) -> tuple[Notice, int]:
    fields = ENDED_STRUCT.unpack_from(data, offset)
    return UpstreamEnded(*fields), offset + ENDED_STRUCT.size


@register_decoder(ord("h"))
def _decode_held(data: bytes, offset: int) -> tuple[Notice, int]:
    fields = HELD_STRUCT.unpack_from(data, offset)
    return RequestHeld(*fields), offset + HELD_STRUCT.size


@register_decoder(ord("c"))
def _decode_cleared(data: bytes, offset: int) -> tuple[Notice, int]:
    fields = CLEARED_STRUCT.unpack_from(data, offset)
    return RequestCleared(*fields), offset + CLEARED_STRUCT.size


@register_decoder(ord("a"))
def _decode_answers(data: bytes, offset: int) -> tuple[Notice, int]:
    fields = ANSWERS_STRUCT.unpack_from(data, offset)
    return VersionAnswers(*fields), offset + ANSWERS_STRUCT.size


@register_decoder(ord("r"))
def _decode_rejected(data: bytes, offset: int) -> tuple[Notice, int]:
    fields = REJECTED_STRUCT.unpack_from(data, offset)
    return VersionRejected(*fields), offset + REJECTED_STRUCT.size
