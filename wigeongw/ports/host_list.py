"""Interface to the platform's list of live and leaving hosts.

The list lags behind the actual state of the hosts.
"""

from typing import Protocol

from wigeongw.core.records import HostListing


class HostList(Protocol):
    """Reads the host list."""

    async def read(self) -> HostListing:
        """Return the current host list.

        Raises:
            HostListError: if the list cannot be fetched or is invalid.
        """
