"""Lets the C library give the memory of large blocks back when they end.

By default it learns to take ever larger blocks from its heap, where a small
block behind them keeps their memory from the system. Request bodies that have
ended would then still count as memory of the process.
"""

import contextlib
import ctypes

# Option numbers of mallopt(3).
TRIM_THRESHOLD = -1
MMAP_THRESHOLD = -3
# Blocks from this size on are mapped by themselves.
LARGE_BLOCK_BYTES = 128 << 10


def return_large_blocks() -> None:
    """Set fixed thresholds; a C library without them is left alone."""
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        library.mallopt(TRIM_THRESHOLD, LARGE_BLOCK_BYTES)
