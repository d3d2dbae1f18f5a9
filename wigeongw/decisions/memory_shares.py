"""Divides a host's memory among the bodies that it holds.

Answers large uploads and many long downloads at once, of which each alone is
within the limits. A host that exceeds its memory is killed, and with it end
the requests of all its clients. So uploads are admitted by their bytes, what
does not fit is refused before it is read, and small requests always go on.
Responses are never refused: the more of them there are, the less of each is
buffered.
"""

from dataclasses import dataclass

# The program, its view of the site and what the allocator cannot reuse; of a
# small memory a share.
PROGRAM_BYTES = 70_000_000
MAX_PROGRAM_SHARE = 0.55
# What a connection takes at least, also when its peer misbehaves: what the
# system received and nobody read, what waits to be sent uncounted, objects.
CLIENT_CONNECTION_BYTES = 32 << 10
UPSTREAM_CONNECTION_BYTES = 20 << 10
# What is read of a client at once, from a narrow window.
CLIENT_READ_BYTES = 12 << 10
# Shares of a host's memory; all of them, the program and the connections
# together stay within it.
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
# One upload, while others hold little, may take so much of all.
SOLE_UPLOAD_SHARE = 0.9
# What may wait of one body until its request takes it.
MAX_WAITING_BODY_BYTES = 64 << 10
# Uploads leave so much of all to the heads of other requests.
SPARE_SHARE = 0.05
# What is buffered of a response before the client gets the first byte. Until
# then a truncated response can be replaced by another one.
MAX_BUFFERED_BYTES = 1 << 20
MIN_BUFFERED_BYTES = 8 << 10
# What may wait of a response that its client reads more slowly.
MAX_WAITING_BYTES = 256 << 10
MIN_WAITING_BYTES = 4 << 10


@dataclass(frozen=True, slots=True)
class BufferLimits:
    """How much of one response a host may hold.

    Attributes:
        buffered: bytes before the client gets the first one.
        waiting: bytes that wait for a client that reads more slowly.
    """

    buffered: int = MAX_BUFFERED_BYTES
    waiting: int = MAX_WAITING_BYTES


def max_held(memory: int, clients: int, upstreams: int) -> int:
    """Return how many bytes a host may hold for others.

    Args:
        memory: bytes that the host may use.
        clients: number of connections of clients.
        upstreams: number of connections to upstreams.
    """
    program = min(PROGRAM_BYTES, int(memory * MAX_PROGRAM_SHARE))
    connections = (
        clients * CLIENT_CONNECTION_BYTES
        + upstreams * UPSTREAM_CONNECTION_BYTES
    )
    return max(0, memory - program - connections)


def may_admit(
    size: int, held: int, memory: int, whole: int | None = None
) -> bool:
    """Decide whether a part of an upload may be read.

    Args:
        size: bytes of the part.
        held: bytes of all uploads, and of all that clients have not read or
            that no request has taken.
        memory: bytes that the host may use.
        whole: bytes of the upload with this part; as many as the part if None.
    """
    is_large = (size if whole is None else whole) > SMALL_UPLOAD_BYTES
    limit = max_large_uploads(memory) if is_large else memory * UPLOAD_SHARE
    return held + size <= limit


def may_admit_alone(
    whole: int, other_uploads: int, others: int, most: int
) -> bool:
    """Decide whether an upload may be read beyond the share of uploads.

    Of all that a host may hold, one upload may take nearly all while others
    hold little, so that a body of legal size is served in calm.

    Args:
        whole: bytes of the upload.
        other_uploads: bytes of other uploads.
        others: bytes of all else that the host holds.
        most: bytes that it may hold.
    """
    has_others = other_uploads > most * (1.0 - SOLE_UPLOAD_SHARE)
    held = whole + other_uploads + others
    return not has_others and held <= most * SOLE_UPLOAD_SHARE


def max_large_uploads(memory: int) -> int:
    """Return how many bytes uploads may hold beside a further large one."""
    return int(memory * UPLOAD_SHARE * LARGE_UPLOAD_SHARE)


def max_unread(memory: int) -> int:
    """Return how many bytes may wait that no request has taken."""
    return int(memory * UNREAD_SHARE)


def max_in_turn(memory: int, clients: int) -> int:
    """Return what clients may send in one turn of the event loop.

    Nobody is closed for it before it has been read.

    Args:
        memory: bytes that the host may use.
        clients: number of connections of clients.
    """
    return min(max_unread(memory), clients * CLIENT_READ_BYTES)


def max_waiting_body(room: int, clients: int) -> int:
    """Return how much of a body may wait on a connection for its request.

    All connections may receive at once, before any request goes on.

    Args:
        room: bytes that may still be held.
        clients: number of connections of clients.
    """
    return min(MAX_WAITING_BODY_BYTES, max(0, room) // max(1, clients))


def max_undelivered(memory: int) -> int:
    """Return how many bytes of answers may wait for their clients."""
    return int(memory * UNDELIVERED_SHARE)


def max_answers(memory: int) -> int:
    """Return how many bytes from upstreams may wait to be passed on."""
    return int(memory * (RESPONSE_SHARE + STREAM_SHARE))


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
