"""Base class of all exceptions that this project raises on purpose."""


class WigeongwError(Exception):
    """Base exception; each package derives its own exceptions from it."""
