"""Status codes of HTTP responses (RFC 9110, section 15)."""

MIN_STATUS = 100
# Responses with a lower status are informational.
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_status(number: int) -> bool:
    """Return whether a number from a status line is a status code."""
    return MIN_STATUS <= number <= MAX_STATUS
