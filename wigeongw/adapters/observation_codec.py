"""Encodes observations of upstreams as UDP datagrams between hosts.

A datagram identifies upstreams by a 32-bit hash of their identity. A receiver
ignores hashes that it does not know. After a hash collision, a wrong load
sample lasts only until the next probe of the upstream.
"""

from dataclasses import dataclass
import math
import struct

import xxhash

from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import LoadSample

# The first byte of a datagram; differs between incompatible formats.
FORMAT_VERSION = 3
HEADER_STRUCT = struct.Struct("!BBBBB")
SENT_STRUCT = struct.Struct("!IB")
SILENT_STRUCT = struct.Struct("!IB")
SEEN_STRUCT = struct.Struct("!IBBBHHHB")
ENDED_STRUCT = struct.Struct("!IBB")
# Rate limits follow the other records, after a byte with their number. Hosts
# of earlier versions ignore what follows the records that they know.
LIMITED_STRUCT = struct.Struct("!IdH")
SLOWDOWN_UNIT = 0.01
MAX_UINT8 = 255
MAX_UINT16 = 65_535
HEALTHY_FLAG = 1
# The sample includes the remaining cold time; only samples of probes do.
COLD_KNOWN_FLAG = 2
# Keeps a datagram small enough for one packet.
MAX_RECORDS_PER_KIND = 50
MAX_LIMITED_RECORDS = 10


class ObservationError(WigeongwError):
    """A datagram is truncated or has an unsupported format version."""


@dataclass(frozen=True, slots=True)
class SeenLoad:
    """A load sample of an upstream.

    Attributes:
        key: hash of the upstream's identity.
        age_ms: age of the sample when the datagram was sent.
    """

    key: int
    age_ms: float
    sample: LoadSample


@dataclass(frozen=True, slots=True)
class EndedRequests:
    """Outcomes of requests to an upstream since the last datagram.

    Attributes:
        key: hash of the upstream's identity.
        good: number of successful requests.
        failed: number of failed requests.
    """

    key: int
    good: int
    failed: int


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent to an upstream.

    Attributes:
        key: hash of the upstream's identity.
        age_ms: milliseconds since the request was sent.
    """

    key: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class SilentUpstream:
    """An upstream that did not respond to a probe.

    Attributes:
        key: hash of the upstream's identity.
        age_ms: milliseconds since the probe was started.
    """

    key: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class LimitedUpstream:
    """An upstream with a rate limit.

    Attributes:
        key: hash of the upstream's identity.
        per_s: requests per second that it takes from all hosts together.
        age_ms: milliseconds since it named the limit.
    """

    key: int
    per_s: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Observations:
    """The observations in one datagram."""

    seen: tuple[SeenLoad, ...] = ()
    ended: tuple[EndedRequests, ...] = ()
    sent: tuple[SentRequest, ...] = ()
    silent: tuple[SilentUpstream, ...] = ()
    limited: tuple[LimitedUpstream, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there are no observations to send."""
        return not (
            self.seen or self.ended or self.sent or self.silent or self.limited
        )


def hash_identity(identity: str) -> int:
    """Return the hash that identifies an upstream in datagrams."""
    return xxhash.xxh32_intdigest(identity.encode())


def encode(observations: Observations) -> bytes:
    """Encode a datagram.

    Records beyond ``MAX_RECORDS_PER_KIND`` are left out, and values above
    the range of their field are clamped.
    """
    included_seen = observations.seen[:MAX_RECORDS_PER_KIND]
    included_ended = observations.ended[:MAX_RECORDS_PER_KIND]
    included_sent = observations.sent[:MAX_RECORDS_PER_KIND]
    included_silent = observations.silent[:MAX_RECORDS_PER_KIND]
    parts = [
        HEADER_STRUCT.pack(
            FORMAT_VERSION,
            len(included_seen),
            len(included_ended),
            len(included_sent),
            len(included_silent),
        )
    ]
    parts.extend(_pack_seen(record) for record in included_seen)
    parts.extend(
        ENDED_STRUCT.pack(
            record.key,
            min(MAX_UINT8, record.good),
            min(MAX_UINT8, record.failed),
        )
        for record in included_ended
    )
    parts.extend(
        SENT_STRUCT.pack(record.key, min(MAX_UINT8, int(record.age_ms)))
        for record in included_sent
    )
    parts.extend(
        SILENT_STRUCT.pack(record.key, min(MAX_UINT8, int(record.age_ms)))
        for record in included_silent
    )
    parts.append(_pack_limited(observations.limited))
    return b"".join(parts)


def decode(data: bytes, now: float) -> Observations:
    """Decode a datagram.

    Args:
        data: the received datagram.
        now: milliseconds on the receiver's monotonic clock.

    Raises:
        ObservationError: if the datagram is truncated or has an unsupported
            format version.
    """
    try:
        version, *counts = HEADER_STRUCT.unpack_from(data)
        seen_count, ended_count, sent_count, silent_count = counts
        if version != FORMAT_VERSION:
            raise ObservationError(
                f"unsupported format version {version}, "
                f"expected {FORMAT_VERSION}"
            )
        offset = HEADER_STRUCT.size
        seen = []
        for _ in range(seen_count):
            seen.append(
                _unpack_seen(SEEN_STRUCT.unpack_from(data, offset), now)
            )
            offset += SEEN_STRUCT.size
        ended = []
        for _ in range(ended_count):
            ended.append(
                EndedRequests(*ENDED_STRUCT.unpack_from(data, offset))
            )
            offset += ENDED_STRUCT.size
        sent = []
        for _ in range(sent_count):
            key, age_ms = SENT_STRUCT.unpack_from(data, offset)
            sent.append(SentRequest(key, float(age_ms)))
            offset += SENT_STRUCT.size
        silent = []
        for _ in range(silent_count):
            key, age_ms = SILENT_STRUCT.unpack_from(data, offset)
            silent.append(SilentUpstream(key, float(age_ms)))
            offset += SILENT_STRUCT.size
        limited = _unpack_limited(data, offset)
    except struct.error as error:
        raise ObservationError(f"truncated datagram: {error}") from error
    return Observations(
        tuple(seen), tuple(ended), tuple(sent), tuple(silent), limited
    )


def _pack_limited(records: tuple[LimitedUpstream, ...]) -> bytes:
    """Encode rate limits; nothing is added to a datagram without any."""
    included = records[:MAX_LIMITED_RECORDS]
    if not included:
        return b""
    packed = b"".join(
        LIMITED_STRUCT.pack(
            record.key,
            record.per_s,
            min(MAX_UINT16, max(0, int(record.age_ms))),
        )
        for record in included
    )
    return bytes([len(included)]) + packed


def _unpack_limited(data: bytes, offset: int) -> tuple[LimitedUpstream, ...]:
    """Decode rate limits; those with an invalid rate are left out."""
    if offset >= len(data):
        return ()
    records = []
    for index in range(data[offset]):
        start = offset + 1 + index * LIMITED_STRUCT.size
        key, per_s, age_ms = LIMITED_STRUCT.unpack_from(data, start)
        if math.isfinite(per_s) and per_s >= 0.0:
            records.append(LimitedUpstream(key, per_s, float(age_ms)))
    return tuple(records)


def _pack_seen(record: SeenLoad) -> bytes:
    sample = record.sample
    flags = HEALTHY_FLAG if sample.healthy else 0
    if sample.cold_left_ms is not None:
        flags |= COLD_KNOWN_FLAG
    return SEEN_STRUCT.pack(
        record.key,
        min(MAX_UINT8, sample.running),
        min(MAX_UINT8, sample.waiting),
        min(MAX_UINT8, sample.slots),
        min(MAX_UINT16, int(sample.slowdown / SLOWDOWN_UNIT)),
        min(MAX_UINT16, int(sample.cold_left_ms or 0.0)),
        min(MAX_UINT16, max(0, int(record.age_ms))),
        flags,
    )


def _unpack_seen(
    values: tuple[int, int, int, int, int, int, int, int], now: float
) -> SeenLoad:
    key, running, waiting, slots, slowdown, cold_ms, age_ms, flags = values
    sample = LoadSample(
        at_ms=now - age_ms,
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=slowdown * SLOWDOWN_UNIT,
        cold_left_ms=float(cold_ms) if flags & COLD_KNOWN_FLAG else None,
        healthy=bool(flags & HEALTHY_FLAG),
    )
    return SeenLoad(key, float(age_ms), sample)
