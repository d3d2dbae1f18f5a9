"""Parses and validates the head of a client's request."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from wigeongw.core.http_headers import HOP_BY_HOP_HEADERS
from wigeongw.core.site import ClientLimits
from wigeongw.gateway.errors import RequestError
from wigeongw.ports.dialect import HeaderNames

Headers = list[tuple[bytes, bytes]]

# Digits of a body length; longer numbers exceed every limit.
MAX_LENGTH_DIGITS = 18
MAX_DEADLINE_MS = 600_000.0
AUTHORIZATION = "authorization"
DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {"content-length"}


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The validated head of a request.

    Attributes:
        host: value of the Host header.
        request_id: ID that the client sent; empty when it sent none.
        deadline_ms: time the client allows; None without a valid deadline.
        length: body length in bytes; None when the body is chunked.
        headers: headers to forward, names in lower case.
        key: key of a client account; None when it sent none. Never logged.
    """

    host: str
    request_id: str
    deadline_ms: float | None
    length: int | None
    headers: tuple[tuple[bytes, bytes], ...]
    key: str | None = field(default=None, repr=False)


def read_head(
    headers: Headers,
    names: HeaderNames,
    limits: ClientLimits,
    has_accounts: bool = False,
) -> RequestHead:
    """Parse and validate the head of a request.

    Args:
        headers: name and value pairs, names in lower case.
        names: headers of the platform's dialect.
        limits: limits on client requests.
        has_accounts: whether clients send keys, which are not forwarded.

    Raises:
        RequestError: when the headers contradict each other, the Host header
            is missing or repeated, or the body is too large.
    """
    values: dict[str, list[str]] = {}
    for raw_name, value in headers:
        name = raw_name.decode("latin-1")
        values.setdefault(name, []).append(value.decode("latin-1"))
    length = _parse_length(values, limits.body_bytes)
    connection_tokens = split_tokens(values.get("connection", []))
    rewritten = (names.deadline_ms, names.expected_instance)
    dropped = DROPPED_REQUEST_HEADERS | connection_tokens | set(rewritten)
    if has_accounts:
        dropped |= {AUTHORIZATION, names.account}
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
        _parse_deadline(values.get(names.deadline_ms, [])),
        length,
        kept,
        _read_key(values.get(AUTHORIZATION, []), names.key_scheme),
    )


def split_tokens(values: list[str]) -> set[str]:
    """Return the tokens of comma-separated header values, in lower case."""
    return {
        token.strip().lower() for value in values for token in value.split(",")
    }


def _read_key(values: list[str], scheme: str) -> str | None:
    """Return the key in an Authorization header; None for another scheme."""
    if len(values) != 1:
        return None
    found, _, key = values[0].strip().partition(" ")
    if found.lower() != scheme or not key.strip():
        return None
    return key.strip()


def _parse_length(
    values: Mapping[str, list[str]], max_bytes: int
) -> int | None:
    """Parse the body length; None when the body is chunked.

    Raises:
        RequestError: when the headers contradict each other or the body is too
            large.
    """
    if "transfer-encoding" in values:
        if "content-length" in values:
            raise RequestError(400, "two_lengths")
        return None
    lengths = set(values.get("content-length", ["0"]))
    text = next(iter(lengths))
    if len(lengths) > 1 or not (text.isascii() and text.isdigit()):
        raise RequestError(400, "bad_length")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_bytes:
        raise RequestError(413, "body_too_large")
    return int(text)


def _parse_deadline(values: list[str]) -> float | None:
    if not values:
        return None
    try:
        deadline_ms = float(values[0])
    except ValueError:
        return None
    return deadline_ms if 0 < deadline_ms < MAX_DEADLINE_MS else None
