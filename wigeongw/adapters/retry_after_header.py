"""Parses how long an upstream wants no further request."""

from collections.abc import Iterable
from datetime import UTC
from email.utils import parsedate_to_datetime
import re

from wigeongw.core.clock import MS_PER_S
from wigeongw.core.errors import WigeongwError

RETRY_AFTER = b"retry-after"
DECIMAL = re.compile(rb"[0-9]{1,16}(?:\.[0-9]{0,16})?|\.[0-9]{1,16}")
# Longer pauses are taken for errors and cut.
MAX_PAUSE_MS = 600_000.0
MAX_DATE_CHARS = 64


class RetryAfterError(WigeongwError):
    """The header is repeated or its value has no form of the standard."""


def read_retry_after(
    headers: Iterable[tuple[bytes, bytes]], wall_ms: float
) -> float | None:
    """Parse a pause.

    Args:
        headers: response headers, names in lower case.
        wall_ms: the time of day in milliseconds since 1970, for a date.

    Returns:
        Milliseconds, at most MAX_PAUSE_MS; None when the response names none.

    Raises:
        RetryAfterError: if the header is repeated or its value is neither
            seconds, with or without a fraction, nor a date.
    """
    values = [value.strip() for name, value in headers if name == RETRY_AFTER]
    if not values:
        return None
    if len(values) > 1:
        raise RetryAfterError(f"{len(values)} values in one response")
    if DECIMAL.fullmatch(values[0]):
        pause_ms = float(values[0]) * MS_PER_S
    else:
        pause_ms = _parse_date_ms(values[0]) - wall_ms
    return min(MAX_PAUSE_MS, max(0.0, pause_ms))


def _parse_date_ms(value: bytes) -> float:
    text = value[:MAX_DATE_CHARS].decode("latin-1")
    try:
        date = parsedate_to_datetime(text)
        if date.tzinfo is None:
            date = date.replace(tzinfo=UTC)
        return date.timestamp() * MS_PER_S
    except (ValueError, TypeError, OverflowError, IndexError) as error:
        raise RetryAfterError(
            f"neither seconds nor a date: {text!r}"
        ) from error
