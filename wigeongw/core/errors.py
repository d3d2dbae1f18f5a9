"""The root of the project's errors; each layer derives its own from it."""


class WigeongwError(Exception):
    """Any failure that this project reports on purpose."""
