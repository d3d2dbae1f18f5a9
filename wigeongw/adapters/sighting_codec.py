"""Sightings of upstreams as datagrams between hosts.

Upstreams go by a hash of their identity: a datagram that names one which the
receiver does not know is passed over, and a wrong match only lasts until the
next probe.
"""

from dataclasses import dataclass
import struct

import xxhash

from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import LoadSample

# The first byte tells this format from later ones.
VERSION = 3
HEAD = struct.Struct("!BBBBB")
SENT = struct.Struct("!IB")
SILENT = struct.Struct("!IB")
SEEN = struct.Struct("!IBBBHHHB")
ENDED = struct.Struct("!IBB")
SLOWDOWN_UNIT = 0.01
BYTE_MOST = 255
WORD_MOST = 65_535
HEALTHY_FLAG = 1
# It tells whether the upstream is cold; only probes do.
COLD_KNOWN_FLAG = 2
# So that a datagram fits into one packet.
MOST_EACH = 50


class SightingError(WigeongwError):
    """A datagram makes no sense."""


@dataclass(frozen=True, slots=True)
class Seen:
    """What a probe said.

    Attributes:
        key: hash of the upstream's identity.
        age_ms: of the sample when it was sent.
    """

    key: int
    age_ms: float
    sample: LoadSample


@dataclass(frozen=True, slots=True)
class Ended:
    """How requests to an upstream ended since the last datagram."""

    key: int
    good: int
    failed: int


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that is on its way to an upstream.

    Attributes:
        age_ms: since it was sent.
    """

    key: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Silent:
    """An upstream that did not answer a probe.

    Attributes:
        age_ms: since the probe began.
    """

    key: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Sightings:
    """The content of a datagram."""

    seen: tuple[Seen, ...] = ()
    ended: tuple[Ended, ...] = ()
    sent: tuple[Sent, ...] = ()
    silent: tuple[Silent, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.seen or self.ended or self.sent or self.silent)


def key_of(identity: str) -> int:
    """Return the hash that an upstream goes by."""
    return xxhash.xxh32_intdigest(identity.encode())


def encode(sightings: Sightings) -> bytes:
    """Encode a datagram; what is over the most of each kind is left out."""
    some_seen = sightings.seen[:MOST_EACH]
    some_ended = sightings.ended[:MOST_EACH]
    some_sent = sightings.sent[:MOST_EACH]
    some_silent = sightings.silent[:MOST_EACH]
    parts = [
        HEAD.pack(
            VERSION,
            len(some_seen),
            len(some_ended),
            len(some_sent),
            len(some_silent),
        )
    ]
    parts.extend(_pack_seen(one) for one in some_seen)
    parts.extend(
        ENDED.pack(
            one.key, min(BYTE_MOST, one.good), min(BYTE_MOST, one.failed)
        )
        for one in some_ended
    )
    parts.extend(
        SENT.pack(one.key, min(BYTE_MOST, int(one.age_ms)))
        for one in some_sent
    )
    parts.extend(
        SILENT.pack(one.key, min(BYTE_MOST, int(one.age_ms)))
        for one in some_silent
    )
    return b"".join(parts)


def decode(data: bytes, now: float) -> Sightings:
    """Decode a datagram.

    Args:
        data: as it came in.
        now: the receiver's monotonic clock in milliseconds.

    Raises:
        SightingError: when it is not whole or of another version.
    """
    try:
        version, *counts = HEAD.unpack_from(data)
        seen_count, ended_count, sent_count, silent_count = counts
        if version != VERSION:
            raise SightingError(f"version {version}")
        at = HEAD.size
        seen = []
        for _ in range(seen_count):
            seen.append(_unpack_seen(SEEN.unpack_from(data, at), now))
            at += SEEN.size
        ended = []
        for _ in range(ended_count):
            ended.append(Ended(*ENDED.unpack_from(data, at)))
            at += ENDED.size
        sent = []
        for _ in range(sent_count):
            key, age_ms = SENT.unpack_from(data, at)
            sent.append(Sent(key, float(age_ms)))
            at += SENT.size
        silent = []
        for _ in range(silent_count):
            key, age_ms = SILENT.unpack_from(data, at)
            silent.append(Silent(key, float(age_ms)))
            at += SILENT.size
    except struct.error as error:
        raise SightingError(str(error)) from error
    return Sightings(tuple(seen), tuple(ended), tuple(sent), tuple(silent))


def _pack_seen(one: Seen) -> bytes:
    sample = one.sample
    flags = HEALTHY_FLAG if sample.healthy else 0
    if sample.cold_left_ms is not None:
        flags |= COLD_KNOWN_FLAG
    return SEEN.pack(
        one.key,
        min(BYTE_MOST, sample.running),
        min(BYTE_MOST, sample.waiting),
        min(BYTE_MOST, sample.slots),
        min(WORD_MOST, int(sample.slowdown / SLOWDOWN_UNIT)),
        min(WORD_MOST, int(sample.cold_left_ms or 0.0)),
        min(WORD_MOST, max(0, int(one.age_ms))),
        flags,
    )


def _unpack_seen(
    fields: tuple[int, int, int, int, int, int, int, int], now: float
) -> Seen:
    key, running, waiting, slots, slowdown, cold_ms, age_ms, flags = fields
    sample = LoadSample(
        at_ms=now - age_ms,
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=slowdown * SLOWDOWN_UNIT,
        cold_left_ms=float(cold_ms) if flags & COLD_KNOWN_FLAG else None,
        healthy=bool(flags & HEALTHY_FLAG),
    )
    return Seen(key, float(age_ms), sample)
