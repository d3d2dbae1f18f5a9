"""Parses request headers and filters the headers of requests and responses.

Hop-by-hop headers and headers with the prefix ``wigeongw-`` are not passed on
in either direction.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wigeongw.core.http_headers import HOP_BY_HOP_HEADERS
from wigeongw.core.records import Outcome
from wigeongw.daemon.errors import Problem
from wigeongw.ports.upstream import Headers
from wigeongw.settings.schema import ServiceSettings

OWN_HEADER_PREFIX = "wigeongw-"
DEADLINE_HEADER = "wigeongw-deadline-ms"
KEY_HEADER = "idempotency-key"
MAX_KEY_CHARS = 255
MAX_HEADERS = 128


@dataclass(frozen=True, slots=True)
class ParsedHeaders:
    """The parsed and filtered headers of one request.

    Attributes:
        headers: headers to send to the upstream, in lower case.
        length: body length in bytes; None for a chunked body.
        max_body_bytes: largest accepted body.
        deadline_ms: time allowed for the request, counted from its arrival.
        key: value of Idempotency-Key; empty when the client sent none.
        key_required: whether a request with a non-idempotent method must carry
            a key.
    """

    headers: Headers
    length: int | None
    max_body_bytes: int
    deadline_ms: float
    key: str
    key_required: bool


def parse_headers(
    scope: Mapping[str, Any], settings: ServiceSettings, host_name: str
) -> ParsedHeaders:
    """Parse and check the headers of a request.

    Args:
        scope: ASGI scope of the request.
        settings: settings of the requested service.
        host_name: name of this entry host, for the Forwarded header.

    Returns:
        The headers to send on and the values read from them.

    Raises:
        Problem: when a header is invalid or exceeds a limit.
    """
    pairs = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    if len(pairs) > MAX_HEADERS:
        raise Problem(
            431, "Too many headers", f"at most {MAX_HEADERS} are taken"
        )
    values: dict[str, list[str]] = {}
    for name, value in pairs:
        values.setdefault(name, []).append(value)
    length = _content_length(values, settings)
    deadline_ms = _deadline_ms(values, settings)
    key = _idempotency_key(values)
    excluded = HOP_BY_HOP_HEADERS | _connection_options(values)
    forwarded = [
        (n, v)
        for n, v in pairs
        if n not in excluded and not n.startswith(OWN_HEADER_PREFIX)
    ]
    forwarded.append(("forwarded", _forwarded(scope, values, host_name)))
    return ParsedHeaders(
        tuple(forwarded),
        length,
        settings.body_most_bytes,
        deadline_ms,
        key,
        settings.idempotency_key == "required",
    )


def response_headers(
    headers: Headers, identity: str, outcome: Outcome
) -> list[tuple[bytes, bytes]]:
    """Return the response headers to send to the client.

    Args:
        headers: headers as received from the upstream.
        identity: identity of the request, for Wigeongw-Request-Id.
        outcome: value for Wigeongw-Outcome.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP_HEADERS | connection_options
    forwarded = [
        (name.lower().encode("latin-1"), value.encode("latin-1", "replace"))
        for name, value in headers
        if name.lower() not in excluded
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    ]
    forwarded.append((b"wigeongw-outcome", outcome.value.encode()))
    forwarded.append((b"wigeongw-request-id", identity.encode()))
    return forwarded


def _content_length(
    values: Mapping[str, list[str]], settings: ServiceSettings
) -> int | None:
    if "transfer-encoding" in values:
        if "content-length" in values:
            raise Problem(
                400,
                "Two lengths",
                "Content-Length and Transfer-Encoding exclude each other",
            )
        return None
    received = set(values.get("content-length", ["0"]))
    text = next(iter(received))
    if len(received) > 1 or not (text.isascii() and text.isdigit()):
        raise Problem(400, "Bad Content-Length", "expected one number")
    if int(text) > settings.body_most_bytes:
        raise Problem(
            413,
            "The body is too large",
            f"at most {settings.body_most_bytes} bytes",
        )
    return int(text)


def _deadline_ms(
    values: Mapping[str, list[str]], settings: ServiceSettings
) -> float:
    received = values.get(DEADLINE_HEADER)
    if not received:
        return settings.deadline_ms
    text = received[0]
    is_number = text.isascii() and text.isdigit() and 0 < len(text) < 10
    if len(received) > 1 or not is_number or int(text) == 0:
        raise Problem(
            400,
            "Bad deadline",
            "expected Wigeongw-Deadline-Ms: a whole number of milliseconds",
        )
    return min(float(text), settings.deadline_most_ms)


def _idempotency_key(values: Mapping[str, list[str]]) -> str:
    received = values.get(KEY_HEADER, [])
    if not received:
        return ""
    if len(received) > 1 or not 0 < len(received[0]) <= MAX_KEY_CHARS:
        raise Problem(
            400,
            "Bad Idempotency-Key",
            f"expected one of 1 to {MAX_KEY_CHARS} characters",
        )
    return received[0]


def _connection_options(values: Mapping[str, list[str]]) -> set[str]:
    return {
        token.strip().lower()
        for value in values.get("connection", [])
        for token in value.split(",")
    }


def _forwarded(
    scope: Mapping[str, Any], values: Mapping[str, list[str]], host_name: str
) -> str:
    client = scope.get("client") or ("unknown", 0)
    host = values.get("host", [""])[0].replace('"', "")
    return f'for="{client[0]}";host="{host}";proto=http;by={host_name}'
