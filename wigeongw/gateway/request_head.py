"""What the head of a client's request says, checked."""

from collections.abc import Mapping
from dataclasses import dataclass

from wigeongw.core.site import ClientLimits
from wigeongw.daemon.headers import HOP_BY_HOP
from wigeongw.gateway.errors import RequestError
from wigeongw.ports.dialect import HeaderNames

Headers = list[tuple[bytes, bytes]]

DEADLINE_MOST_MS = 600_000.0
DROPPED_FROM_CLIENT = HOP_BY_HOP | {"content-length"}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a request's head says.

    Attributes:
        deadline_ms: what the caller gives it; None when it does not say.
        length: of the body; None when it comes in chunks.
    """

    host: str
    identity: str
    deadline_ms: float | None
    length: int | None
    headers: tuple[tuple[bytes, bytes], ...]


def read_head(
    headers: Headers, names: HeaderNames, limits: ClientLimits
) -> RequestHead:
    """Read a request's head.

    Args:
        headers: names in lower case.
        names: of the headers that callers use.
        limits: on what callers may send.

    Raises:
        RequestError: when it contradicts itself or asks for too much.
    """
    values: dict[str, list[str]] = {}
    for raw, value in headers:
        name = raw.decode("latin-1")
        values.setdefault(name, []).append(value.decode("latin-1"))
    length = _length(values, limits.body_bytes)
    named = tokens(values.get("connection", []))
    own = (names.deadline_ms, names.expected_instance)
    dropped = DROPPED_FROM_CLIENT | named | set(own)
    kept = tuple(
        (name, value)
        for name, value in headers
        if name.decode("latin-1") not in dropped
    )
    hosts = values.get("host", [])
    if len(hosts) != 1:
        raise RequestError(400, "bad_host")
    return RequestHead(
        hosts[0],
        values.get(names.request_id, [""])[0],
        _deadline(values.get(names.deadline_ms, [])),
        length,
        kept,
    )


def tokens(values: list[str]) -> set[str]:
    """Return the words of comma-separated header values, in lower case."""
    return {
        token.strip().lower() for value in values for token in value.split(",")
    }


def _length(values: Mapping[str, list[str]], most: int) -> int | None:
    """Read how long a body is.

    Raises:
        RequestError: when the head contradicts itself or the body is too
            large.
    """
    if "transfer-encoding" in values:
        if "content-length" in values:
            raise RequestError(400, "two_lengths")
        return None
    found = set(values.get("content-length", ["0"]))
    text = next(iter(found))
    if len(found) > 1 or not (text.isascii() and text.isdigit()):
        raise RequestError(400, "bad_length")
    if int(text) > most:
        raise RequestError(413, "body_too_large")
    return int(text)


def _deadline(values: list[str]) -> float | None:
    if not values:
        return None
    try:
        found = float(values[0])
    except ValueError:
        return None
    return found if 0 < found < DEADLINE_MOST_MS else None
