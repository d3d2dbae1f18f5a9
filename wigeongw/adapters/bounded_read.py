"""Reads HTTP bodies of other programs up to a limit."""

import aiohttp

CHUNK_BYTES = 65_536


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body is longer than the caller takes."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read the whole body of a response.

    Args:
        response: the response, whose head has been read.
        max_bytes: the longest body to take, in bytes.

    Raises:
        BodyTooLargeError: when the body is longer; the connection is closed.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise BodyTooLargeError(f"body of more than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
