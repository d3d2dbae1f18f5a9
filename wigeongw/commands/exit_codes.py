"""Exit codes shared by all commands."""

OK = 0
FAILED = 1
BAD_INPUT = 2
CANNOT_LISTEN = 3
CONFLICT = 4
UNREACHABLE = 5
NOT_ON_ALL_HOSTS = 6
