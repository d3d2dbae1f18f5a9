"""Decides whether a host takes a client's request, and by which route."""

from wigeongw.adapters.client_resources import ClientResources
from wigeongw.adapters.client_resources import Connection
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
        resources: what this host holds for its clients.
        ledger: the bytes among them.
        drain_deadline: during a graceful stop, when the last response must be
            complete, on the monotonic clock; None before.
    """

    def __init__(
        self, state: GatewayState, resources: ClientResources
    ) -> None:
        self.state = state
        self.resources = resources
        self.ledger: MemoryLedger[Connection] = resources.ledger
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

    def hold(self, size: int, whole: int, owner: Connection | None) -> None:
        """Take so many bytes of a request body into memory.

        Args:
            size: bytes to add.
            whole: bytes of the body so far, with these.
            owner: the client's connection, if known.

        Raises:
            RequestError: when they do not fit; the request has not run.
        """
        if not self.resources.hold_upload(size, whole, owner):
            self.state.metrics.count("uploads_refused_total")
            raise RequestError(
                503, "memory", retry_after_ms=MEMORY_RETRY_AFTER_MS
            )

    def has_arrived(self, owner: Connection | None) -> None:
        """Note that the whole body of a request is there."""
        if owner is not None:
            self.ledger.set_arriving(owner, 0)

    def release(self, size: int, owner: Connection | None) -> None:
        """Give back the memory of a request body."""
        self.ledger.release_upload(size, owner)

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
