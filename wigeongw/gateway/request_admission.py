"""Decides whether a host takes a client's request, and by which route."""

from typing import Any

from wigeongw.core.site import ClientAccount
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Route
from wigeongw.decisions.memory_ledger import MemoryLedger
from wigeongw.decisions.routing import find_route
from wigeongw.gateway.errors import RequestError
from wigeongw.gateway.request_head import RequestHead
from wigeongw.gateway.state import GatewayState

NO_CONFIGURATION_RETRY_AFTER_MS = 200.0
STOPPING_RETRY_AFTER_MS = 20.0
# An upload that holds the memory ends within its client's deadline.
MEMORY_RETRY_AFTER_MS = 1_000.0
# Time for a response to reach its client before this host is killed.
RESPONSE_DELIVERY_MARGIN_MS = 300.0


class RequestAdmission:
    """Checks requests against routes, memory and a graceful stop.

    Attributes:
        ledger: the bytes that this host holds for others.
        drain_deadline: during a graceful stop, when the last response must be
            complete, on the monotonic clock; None before.
    """

    def __init__(self, state: GatewayState, ledger: MemoryLedger[Any]) -> None:
        self.state = state
        self.ledger = ledger
        self.drain_deadline: float | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of the request bodies that this host holds."""
        return self.ledger.uploads

    def match_route(self, head: RequestHead, path: str) -> Route:
        """Return the route of a request.

        Args:
            head: the request's head.
            path: the request's path without the query.

        Raises:
            RequestError: when no route matches or there is no configuration.
        """
        if self.state.view.configuration is None:
            raise RequestError(
                503,
                "no_configuration",
                retry_after_ms=NO_CONFIGURATION_RETRY_AFTER_MS,
            )
        route = find_route(self.state.route_index, head.host, path)
        if route is None:
            raise RequestError(404, "no_route")
        return route

    @property
    def has_accounts(self) -> bool:
        """Whether requests need the key of a client account."""
        return bool(self.state.accounts())

    def find_account(
        self, head: RequestHead, route: Route
    ) -> ClientAccount | None:
        """Return the client account of a request.

        Returns:
            None when there are no accounts, or for a request of a public
            route without a known key.

        Raises:
            RequestError: 401 when the route is not public and the key is
                missing or unknown.
        """
        account = self.state.account_index.find(head.key)
        if account is None and self.has_accounts and not route.is_public:
            self.state.metrics.count("unknown_keys_total")
            raise RequestError(401, "unknown_key")
        return account

    def limits(self) -> ClientLimits:
        """Return the current limits on client requests."""
        configuration = self.state.view.configuration
        return configuration.limits if configuration else ClientLimits()

    def hold(self, size: int) -> None:
        """Take so many bytes of a request body into memory.

        Raises:
            RequestError: when they do not fit; the request has not run.
        """
        if not self.ledger.hold_upload(size):
            self.state.metrics.count("uploads_refused_total")
            raise RequestError(
                503, "memory", retry_after_ms=MEMORY_RETRY_AFTER_MS
            )

    def release(self, size: int) -> None:
        """Give back the memory of a request body."""
        self.ledger.release_upload(size)

    def check_drain_deadline(self, ends_at: float) -> None:
        """Refuse a request that might not end before this host stops.

        Args:
            ends_at: when the request ends at the latest, monotonic clock.

        Raises:
            RequestError: when the host is stopping and will not exist until
                then; the client should retry at another host.
        """
        if self.drain_deadline is None:
            return
        if ends_at + RESPONSE_DELIVERY_MARGIN_MS > self.drain_deadline:
            raise RequestError(
                503, "stopping", retry_after_ms=STOPPING_RETRY_AFTER_MS
            )
