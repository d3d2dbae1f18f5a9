"""The platform's list of live and leaving hosts, which lags."""

from typing import Protocol

from wigeongw.core.records import HostListing


class HostList(Protocol):
    """Where hosts are read from."""

    async def read(self) -> HostListing:
        """Read the list.

        Raises:
            HostListError: when it cannot be had or makes no sense.
        """
