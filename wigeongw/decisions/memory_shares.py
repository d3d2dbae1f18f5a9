"""Divides a host's memory among the bodies that it holds.

Answers large uploads and many long downloads at once, of which each alone is
within the limits. A host that exceeds its memory is killed, and with it end
the requests of all its clients. So uploads are admitted by their bytes, what
does not fit is refused before it is read, and small requests always go on.
Responses are never refused: the more of them there are, the less of each is
buffered.
"""

from dataclasses import dataclass

# Shares of a host's memory. The rest is for the program, its view of the site
# and what the system's buffers and the allocator take.
UPLOAD_SHARE = 0.4
RESPONSE_SHARE = 0.15
STREAM_SHARE = 0.05
# What clients have sent and no request has taken, as pipelined requests.
UNREAD_SHARE = 0.1
# Answers that their clients do not read.
UNDELIVERED_SHARE = 0.15
# Uploads beyond this size leave a part of the share to smaller ones.
SMALL_UPLOAD_BYTES = 64 << 10
LARGE_UPLOAD_SHARE = 0.8
# What is buffered of a response before the client gets the first byte. Until
# then a truncated response can be replaced by another one.
MAX_BUFFERED_BYTES = 1 << 20
MIN_BUFFERED_BYTES = 64 << 10
# What may wait of a response that its client reads more slowly.
MAX_WAITING_BYTES = 256 << 10
MIN_WAITING_BYTES = 16 << 10


@dataclass(frozen=True, slots=True)
class BufferLimits:
    """How much of one response a host may hold.

    Attributes:
        buffered: bytes before the client gets the first one.
        waiting: bytes that wait for a client that reads more slowly.
    """

    buffered: int = MAX_BUFFERED_BYTES
    waiting: int = MAX_WAITING_BYTES


def may_admit(size: int, held: int, memory: int) -> bool:
    """Decide whether an upload may be read.

    Args:
        size: bytes of the upload.
        held: bytes of all uploads, and of all that clients have not read or
            that no request has taken.
        memory: bytes that the host may use.
    """
    limit = memory * UPLOAD_SHARE
    if size > SMALL_UPLOAD_BYTES:
        limit *= LARGE_UPLOAD_SHARE
    return held + size <= limit


def max_unread(memory: int) -> int:
    """Return how many bytes may wait that no request has taken."""
    return int(memory * UNREAD_SHARE)


def max_undelivered(memory: int) -> int:
    """Return how many bytes of answers may wait for their clients."""
    return int(memory * UNDELIVERED_SHARE)


def response_limits(memory: int, responses: int) -> BufferLimits:
    """Return how much of each response a host may hold.

    Args:
        memory: bytes that the host may use.
        responses: number of requests in progress.
    """
    count = max(1, responses)
    buffered = int(memory * RESPONSE_SHARE) // count
    waiting = int(memory * STREAM_SHARE) // count
    return BufferLimits(
        max(MIN_BUFFERED_BYTES, min(MAX_BUFFERED_BYTES, buffered)),
        max(MIN_WAITING_BYTES, min(MAX_WAITING_BYTES, waiting)),
    )
