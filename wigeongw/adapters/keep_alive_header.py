"""Reads how long an upstream keeps an idle connection."""

from collections.abc import Mapping

from wigeongw.core.clock import MS_PER_S

CONNECTION = "connection"
KEEP_ALIVE = "keep-alive"
# The limit on idle time until an upstream sends a Keep-Alive timeout.
DEFAULT_IDLE_TIMEOUT_MS = 8_000.0
# The fraction of the Keep-Alive timeout for which a connection is reused, so
# that it is closed here before the upstream closes it.
IDLE_TIMEOUT_FRACTION = 0.8
MAX_IDLE_TIMEOUT_DIGITS = 6


def says_close(fields: Mapping[str, str]) -> bool:
    """Return whether the upstream closes the connection after its response.

    Args:
        fields: headers by name in lower case.
    """
    return fields.get(CONNECTION, "").lower() == "close"


def idle_timeout_ms(fields: Mapping[str, str], before_ms: float) -> float:
    """Return how long the connection may stay idle.

    Args:
        fields: headers by name in lower case.
        before_ms: as long as before, if the response names no timeout.
    """
    found = before_ms
    for part in fields.get(KEEP_ALIVE, "").split(","):
        name, _, value = part.strip().partition("=")
        is_number = value.isascii() and value.isdigit()
        if name.lower() != "timeout" or not is_number:
            continue
        if len(value) <= MAX_IDLE_TIMEOUT_DIGITS:
            found = int(value) * MS_PER_S * IDLE_TIMEOUT_FRACTION
    return found
