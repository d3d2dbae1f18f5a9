"""The host list as a JSON document over HTTP, and its twin in memory."""

import asyncio
from typing import Any

import aiohttp
from pydantic import TypeAdapter
from pydantic import ValidationError

from wigeongw.core.clock import seconds
from wigeongw.core.records import HostListing
from wigeongw.ports.errors import HostListError

TIMEOUT_MS = 1_500.0
LISTING = TypeAdapter(HostListing)


def parse_listing(raw: bytes) -> HostListing:
    """Read a host list.

    Raises:
        HostListError: when a field is missing or of the wrong kind.
    """
    try:
        return LISTING.validate_json(raw)
    except ValidationError as error:
        raise HostListError(f"host list: {error}") from error


def render_listing(listing: HostListing) -> bytes:
    """Write a host list."""
    return LISTING.dump_json(listing)


class HttpHostList:
    """A host list behind a URL; the session is owned by the caller."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def read(self) -> HostListing:
        """Read the list."""
        timeout = aiohttp.ClientTimeout(total=seconds(TIMEOUT_MS))
        try:
            async with self.session.get(self.url, timeout=timeout) as response:
                raw = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise HostListError(f"host list: {error!r}") from error
        if response.status != 200:
            raise HostListError(f"host list: status {response.status}")
        return parse_listing(raw)


class MemoryHostList:
    """A host list in this process."""

    def __init__(self, listing: HostListing) -> None:
        self.listing = listing

    async def read(self) -> HostListing:
        """Read the list."""
        await asyncio.sleep(0)
        return self.listing


def listing_from(table: dict[str, Any]) -> HostListing:
    """Read a host list from parsed data.

    Raises:
        HostListError: when a field is missing or of the wrong kind.
    """
    try:
        return LISTING.validate_python(table)
    except ValidationError as error:
        raise HostListError(f"host list: {error}") from error
