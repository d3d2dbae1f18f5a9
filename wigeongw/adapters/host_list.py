"""Host lists read as JSON over HTTP or held in memory."""

import asyncio
from typing import Any

import aiohttp
from pydantic import TypeAdapter
from pydantic import ValidationError

from wigeongw.adapters.bounded_read import read_body
from wigeongw.core.clock import seconds
from wigeongw.core.records import HostListing
from wigeongw.ports.errors import HostListError

READ_TIMEOUT_MS = 1_500.0
MAX_LISTING_BYTES = 16 << 20
HOST_LISTING_ADAPTER = TypeAdapter(HostListing)


def parse_listing(raw: bytes) -> HostListing:
    """Parse a host list from JSON.

    Raises:
        HostListError: if a field is missing or has the wrong type.
    """
    try:
        return HOST_LISTING_ADAPTER.validate_json(raw)
    except ValidationError as error:
        raise HostListError(f"host list: invalid JSON: {error}") from error


def serialize_listing(listing: HostListing) -> bytes:
    """Serialize a host list as JSON."""
    return HOST_LISTING_ADAPTER.dump_json(listing)


class HttpHostList:
    """Reads the host list from a URL; the caller owns the session."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def read(self) -> HostListing:
        """Fetch the host list."""
        timeout = aiohttp.ClientTimeout(total=seconds(READ_TIMEOUT_MS))
        try:
            async with self.session.get(self.url, timeout=timeout) as response:
                raw = await read_body(response, MAX_LISTING_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise HostListError(
                f"host list: cannot fetch {self.url}: {error!r}"
            ) from error
        if response.status != 200:
            raise HostListError(
                f"host list: {self.url} returned status {response.status}, "
                "expected 200"
            )
        return parse_listing(raw)


class MemoryHostList:
    """A host list in memory, for tests and demos."""

    def __init__(self, listing: HostListing) -> None:
        self.listing = listing

    async def read(self) -> HostListing:
        """Return the host list."""
        await asyncio.sleep(0)
        return self.listing


def validate_listing(data: dict[str, Any]) -> HostListing:
    """Build a host list from parsed JSON.

    Raises:
        HostListError: if a field is missing or has the wrong type.
    """
    try:
        return HOST_LISTING_ADAPTER.validate_python(data)
    except ValidationError as error:
        raise HostListError(f"host list: {error}") from error
