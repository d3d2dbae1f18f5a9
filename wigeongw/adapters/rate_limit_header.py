"""Parses the request rate limit that an upstream names in a response."""

from collections.abc import Iterable
import re

from wigeongw.core.errors import WigeongwError

DECIMAL = re.compile(rb"[0-9]{1,16}(?:\.[0-9]{0,16})?|\.[0-9]{1,16}")
# No upstream handles more; a higher value is a fault of the upstream.
MAX_RATE_PER_S = 1_000_000.0


class RateLimitHeaderError(WigeongwError):
    """The header is repeated or its value is not a valid rate."""


def read_rate_limit(
    name: str, headers: Iterable[tuple[bytes, bytes]]
) -> float | None:
    """Parse a rate limit.

    Args:
        name: name of the header in lower case.
        headers: response headers, names in lower case.

    Returns:
        Requests per second that the upstream takes from all hosts together,
        or None when the response names no limit.

    Raises:
        RateLimitHeaderError: if the header is repeated, is not a decimal
            number, or exceeds MAX_RATE_PER_S.
    """
    raw_name = name.encode("latin-1")
    values = [value.strip() for key, value in headers if key == raw_name]
    if not values:
        return None
    if len(values) > 1:
        raise RateLimitHeaderError(f"{len(values)} values in one response")
    if not DECIMAL.fullmatch(values[0]):
        raise RateLimitHeaderError(f"not a decimal number: {values[0][:32]!r}")
    rate = float(values[0])
    if rate > MAX_RATE_PER_S:
        raise RateLimitHeaderError(f"above {MAX_RATE_PER_S:.0f} per second")
    return rate
