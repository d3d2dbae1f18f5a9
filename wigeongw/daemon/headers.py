"""Which headers cross an entry host, and what the client's own ones say."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wigeongw.core.records import Outcome
from wigeongw.daemon.errors import Problem
from wigeongw.ports.upstream import Headers
from wigeongw.settings.model import ServiceSettings

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
OWN_PREFIX = "wigeongw-"
DEADLINE = "wigeongw-deadline-ms"
KEY = "idempotency-key"
KEY_MOST_CHARS = 255
COUNT_MOST = 128


@dataclass(frozen=True, slots=True)
class Fields:
    """What a request's headers say.

    Attributes:
        headers: what goes on to the upstream.
        length: of the body; None when it is not known before it ends.
        body_most: the largest body that is taken, in bytes.
        key: the idempotency key, empty for none.
        key_required: whether a request that is not idempotent needs one.
    """

    headers: Headers
    length: int | None
    body_most: int
    deadline_ms: float
    key: str
    key_required: bool


def read_fields(
    scope: Mapping[str, Any], rules: ServiceSettings, me: str
) -> Fields:
    """Read a request's headers.

    Args:
        scope: the ASGI scope.
        rules: of the request's service.
        me: this entry host's name, for the Forwarded header.

    Raises:
        Problem: when a header makes no sense or a limit is passed.
    """
    pairs = [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
    if len(pairs) > COUNT_MOST:
        raise Problem(
            431, "Too many headers", f"at most {COUNT_MOST} are taken"
        )
    values: dict[str, list[str]] = {}
    for name, value in pairs:
        values.setdefault(name, []).append(value)
    length = _length(values, rules)
    deadline = _deadline(values, rules)
    key = _key(values)
    dropped = HOP_BY_HOP | _named_by_connection(values)
    kept = [
        (n, v)
        for n, v in pairs
        if n not in dropped and not n.startswith(OWN_PREFIX)
    ]
    kept.append(("forwarded", _forwarded(scope, values, me)))
    return Fields(
        tuple(kept),
        length,
        rules.body_most_bytes,
        deadline,
        key,
        rules.idempotency_key == "required",
    )


def answer_headers(
    headers: Headers, identity: str, outcome: Outcome
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer as they go to the client."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    kept = [
        (name.lower().encode("latin-1"), value.encode("latin-1", "replace"))
        for name, value in headers
        if name.lower() not in dropped
        and not name.lower().startswith(OWN_PREFIX)
    ]
    kept.append((b"wigeongw-outcome", outcome.value.encode()))
    kept.append((b"wigeongw-request-id", identity.encode()))
    return kept


def _length(
    values: Mapping[str, list[str]], rules: ServiceSettings
) -> int | None:
    if "transfer-encoding" in values:
        if "content-length" in values:
            raise Problem(
                400,
                "Two lengths",
                "Content-Length and Transfer-Encoding exclude each other",
            )
        return None
    found = set(values.get("content-length", ["0"]))
    text = next(iter(found))
    if len(found) > 1 or not (text.isascii() and text.isdigit()):
        raise Problem(400, "Bad Content-Length", "expected one number")
    if int(text) > rules.body_most_bytes:
        raise Problem(
            413,
            "The body is too large",
            f"at most {rules.body_most_bytes} bytes",
        )
    return int(text)


def _deadline(
    values: Mapping[str, list[str]], rules: ServiceSettings
) -> float:
    found = values.get(DEADLINE)
    if not found:
        return rules.deadline_ms
    text = found[0]
    plain = text.isascii() and text.isdigit() and 0 < len(text) < 10
    if len(found) > 1 or not plain or int(text) == 0:
        raise Problem(
            400,
            "Bad deadline",
            "expected Wigeongw-Deadline-Ms: a whole number of milliseconds",
        )
    return min(float(text), rules.deadline_most_ms)


def _key(values: Mapping[str, list[str]]) -> str:
    found = values.get(KEY, [])
    if not found:
        return ""
    if len(found) > 1 or not 0 < len(found[0]) <= KEY_MOST_CHARS:
        raise Problem(
            400,
            "Bad Idempotency-Key",
            f"expected one of 1 to {KEY_MOST_CHARS} characters",
        )
    return found[0]


def _named_by_connection(values: Mapping[str, list[str]]) -> set[str]:
    return {
        token.strip().lower()
        for value in values.get("connection", [])
        for token in value.split(",")
    }


def _forwarded(
    scope: Mapping[str, Any], values: Mapping[str, list[str]], me: str
) -> str:
    client = scope.get("client") or ("unknown", 0)
    host = values.get("host", [""])[0].replace('"', "")
    return f'for="{client[0]}";host="{host}";proto=http;by={me}'
