"""Crowds of clients that keep to no manners, for tests of both kinds of host.

Each crowd is one way to take a host's memory: large bodies, trailers, or long
answers that are read slowly. A client that is refused or closed comes back at
once, and goes on until its test ends, so that an ordinary request has to get
through while the crowd stays.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import itertools

from standins.crowd_client import Client
from standins.crowd_client import PIECE_BYTES
from standins.crowd_client import PIECE_INTERVAL_S

# A client that was refused or closed comes back after so long.
RETURN_DELAY_S = 0.02
BODY_BYTES = 4_000_000
# A host keeps bodies of requests with a key up to 1 MiB.
KEYED_BODY_BYTES = 1_000_000
KEYS = itertools.count(1)
PIPELINED_REQUESTS = 12
# Within what a host allows beside a body, so that it is kept.
TRAILER_BYTES = 24_000
TRAILER_LINE = b"x-trailer: abcdefgh\r\n"
# Behind a longer body a host allows more.
LONGER_BODY_BYTES = 60_000
ANSWER_BYTES = 3_000_000
MIDDLING_BYTES = 60_000
ORDINARY_BYTES = 4
ANSWER_PIECE = b"y" * PIECE_BYTES
MIDDLING_PATH = "middling"
# Requests of callers that belong to no crowd.
ORDINARY_NAME = "ordinary"
LENGTH_PATH = "long/length"
CHUNKED_PATH = "long/chunked"
# The last byte of a body that a client holds back.
HELD_BACK_BYTES = 1
# The crowd that is made of a part of each.
ALL_AT_ONCE = "all_at_once"
CLIENTS_OF_EACH = 30


Play = Callable[[Client], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Crowd:
    """A number of clients that do the same, again and again.

    Attributes:
        clients: how many there are.
        play: what a client does on one connection.
    """

    clients: int
    play: Play


CROWDS: dict[str, Crowd] = {}


def crowd(clients: int) -> Callable[[Play], Play]:
    """Register what the clients of a crowd do, under the function's name."""

    def register(play: Play) -> Play:
        CROWDS[getattr(play, "__name__", "")] = Crowd(clients, play)
        return play

    return register


def plays_of(name: str) -> list[Play]:
    """Return what each client of a crowd does; of each crowd a part."""
    if name != ALL_AT_ONCE:
        return [CROWDS[name].play] * CROWDS[name].clients
    return [c.play for c in CROWDS.values() for _ in range(CLIENTS_OF_EACH)]


async def run_client(play: Play, client: Client) -> None:
    """Play until cancelled; come back whenever the host ends a connection."""
    with contextlib.ExitStack() as stack:
        stack.callback(client.close)
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await play(client)
            await asyncio.sleep(RETURN_DELAY_S)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


BODY = bytes(BODY_BYTES)
CHUNKED_BODY = chunk(bytes(PIECE_BYTES)) * (BODY_BYTES // PIECE_BYTES)
END_OF_CHUNKS = b"0\r\n\r\n"


# Large bodies


@crowd(clients=40)
async def bodies_whole(client: Client) -> None:
    """Bodies of legal size, each sent at once."""
    await client.connect()
    await client.send(client.endpoint.write_length(BODY_BYTES), BODY)
    await client.read_answer()


@crowd(clients=40)
async def bodies_in_pieces(client: Client) -> None:
    """Bodies of legal size, sent piece by piece."""
    await client.connect()
    await client.send(client.endpoint.write_length(BODY_BYTES))
    await client.send_slowly(BODY)
    await client.read_answer()


@crowd(clients=40)
async def bodies_in_chunks(client: Client) -> None:
    """Bodies of legal size without a length."""
    await client.connect()
    await client.send(client.endpoint.write_chunked(), CHUNKED_BODY)
    await client.send(END_OF_CHUNKS)
    await client.read_answer()


@crowd(clients=40)
async def bodies_in_chunks_and_pieces(client: Client) -> None:
    """Bodies without a length, sent piece by piece."""
    await client.connect()
    await client.send(client.endpoint.write_chunked())
    await client.send_slowly(CHUNKED_BODY + END_OF_CHUNKS)
    await client.read_answer()


@crowd(clients=40)
async def bodies_one_byte_short(client: Client) -> None:
    """Bodies whose last byte never comes; the connection stays open."""
    await client.connect()
    await client.send(client.endpoint.write_length(BODY_BYTES))
    await client.send(BODY[:-HELD_BACK_BYTES])
    await client.read_to_end()


@crowd(clients=40)
async def bodies_in_pieces_one_byte_short(client: Client) -> None:
    """As before, sent piece by piece."""
    await client.connect()
    await client.send(client.endpoint.write_length(BODY_BYTES))
    await client.send_slowly(BODY[:-HELD_BACK_BYTES])
    await client.read_to_end()


@crowd(clients=40)
async def bodies_in_chunks_one_byte_short(client: Client) -> None:
    """Chunks without the last line end; the connection stays open."""
    await client.connect()
    await client.send(client.endpoint.write_chunked(), CHUNKED_BODY)
    await client.send(END_OF_CHUNKS[:-HELD_BACK_BYTES])
    await client.read_to_end()


@crowd(clients=600)
async def small_bodies_one_byte_short(client: Client) -> None:
    """Bodies that count as small, of many clients, none with its end."""
    size = PIECE_BYTES
    await client.connect()
    await client.send(client.endpoint.write_length(size))
    await client.send(BODY[: size - HELD_BACK_BYTES])
    await client.read_to_end()


@crowd(clients=300)
async def keyed_bodies_one_byte_short(client: Client) -> None:
    """Bodies that a host may have to keep whole, as they have a key."""
    await client.connect()
    head = client.endpoint.write(
        f"Content-Length: {KEYED_BODY_BYTES}",
        f"Idempotency-Key: {next(KEYS)}",
    )
    await client.send(head + BODY[: KEYED_BODY_BYTES - HELD_BACK_BYTES])
    await client.read_to_end()


@crowd(clients=60)
async def bodies_behind_a_request(client: Client) -> None:
    """Bodies that are pipelined behind another request."""
    await client.connect()
    head = client.endpoint.write_length(BODY_BYTES)
    await client.send(client.endpoint.read() + head)
    await client.send(BODY[:-HELD_BACK_BYTES])
    await client.read_to_end()


# Trailers


@crowd(clients=600)
async def trailers_of_many_clients(client: Client) -> None:
    """Trailers that are small by themselves, without their end."""
    await client.connect()
    await client.send(client.endpoint.write_chunked() + chunk(b"x") + b"0\r\n")
    count = TRAILER_BYTES // len(TRAILER_LINE)
    await client.send(TRAILER_LINE * count)
    await client.read_to_end()


@crowd(clients=600)
async def one_long_trailer_of_many_clients(client: Client) -> None:
    """One trailer each, whose value has no end."""
    await client.connect()
    await client.send(client.endpoint.write_chunked() + chunk(b"x") + b"0\r\n")
    await client.send(b"x-trailer: " + b"a" * TRAILER_BYTES)
    await client.read_to_end()


@crowd(clients=60)
async def trailers_behind_a_longer_body(client: Client) -> None:
    """One trailer each, of as much as the body before it allows."""
    await client.connect()
    body = chunk(bytes(LONGER_BODY_BYTES))
    await client.send(client.endpoint.write_chunked() + body + b"0\r\n")
    await client.send(b"x-trailer: ")
    for _ in range(BODY_BYTES // PIECE_BYTES):
        await client.send(b"a" * PIECE_BYTES)
    await client.read_to_end()


@crowd(clients=600)
async def trailers_in_pieces(client: Client) -> None:
    """Trailers that come line by line and never end."""
    await client.connect()
    await client.send(client.endpoint.write_chunked() + chunk(b"x") + b"0\r\n")
    for _ in range(TRAILER_BYTES // len(TRAILER_LINE)):
        await client.send(TRAILER_LINE)
        await asyncio.sleep(PIECE_INTERVAL_S)
    await client.read_to_end()


@crowd(clients=600)
async def heads_without_their_end(client: Client) -> None:
    """Heads of nearly the size that is allowed, without their end."""
    await client.connect()
    head = client.endpoint.read().removesuffix(b"\r\n")
    await client.send(head + b"x-long: " + b"a" * 15_000)
    await client.read_to_end()


# Long answers


async def _ask(client: Client, path: str, count: int) -> None:
    await client.connect(reads_slowly=True)
    await client.send(client.endpoint.read(path) * count)
    await client.read_slowly()


@crowd(clients=60)
async def slow_readers_of_a_length(client: Client) -> None:
    """Long answers of known length."""
    await _ask(client, LENGTH_PATH, 1)


@crowd(clients=60)
async def slow_readers_of_chunks(client: Client) -> None:
    """Long answers in chunks."""
    await _ask(client, CHUNKED_PATH, 1)


@crowd(clients=60)
async def slow_readers_of_pipelined_lengths(client: Client) -> None:
    """Long answers of known length, several on a connection."""
    await _ask(client, LENGTH_PATH, PIPELINED_REQUESTS)


@crowd(clients=60)
async def slow_readers_of_pipelined_chunks(client: Client) -> None:
    """Long answers in chunks, several on a connection."""
    await _ask(client, CHUNKED_PATH, PIPELINED_REQUESTS)


@crowd(clients=600)
async def slow_readers_of_middling_answers(client: Client) -> None:
    """Answers that fit into one buffer, of many clients."""
    await _ask(client, MIDDLING_PATH, 1)


def answer_body(path: str) -> tuple[int, bool]:
    """Return the size of a scripted answer and whether it has a length."""
    if path.endswith(LENGTH_PATH):
        return ANSWER_BYTES, True
    if path.endswith(CHUNKED_PATH):
        return ANSWER_BYTES, False
    if path.endswith(MIDDLING_PATH):
        return MIDDLING_BYTES, True
    return ORDINARY_BYTES, True


async def write_answer(
    writer: asyncio.StreamWriter, path: str, *lines: str
) -> None:
    """Write the answer of an upstream that is asked by a crowd.

    Args:
        writer: the connection.
        path: the request's path, which says how long its answer is.
        lines: further lines of the head.
    """
    size, has_length = answer_body(path)
    framing = "Transfer-Encoding: chunked"
    if has_length:
        framing = f"Content-Length: {size}"
    head = "\r\n".join(("HTTP/1.1 200 OK", *lines, framing))
    writer.write(head.encode() + b"\r\n\r\n")
    left = size
    while left:
        piece = ANSWER_PIECE[: min(left, len(ANSWER_PIECE))]
        writer.write(piece if has_length else chunk(piece))
        left -= len(piece)
        await writer.drain()
    if not has_length:
        writer.write(END_OF_CHUNKS)
        await writer.drain()
