"""Which route and service a request goes to.

The share of each service in a split is kept over short spans, not only on
average, because a service with a small weight also has few upstreams.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import random

from wigeongw.core.site import Configuration
from wigeongw.core.site import Route
from wigeongw.core.site import Share

SLASH = "/"


@dataclass(frozen=True, slots=True)
class RouteIndex:
    """Routes by host name and prefix."""

    by_host: dict[str, dict[str, Route]]


def index_routes(configuration: Configuration) -> RouteIndex:
    """Arrange the routes of a configuration for look-ups."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return RouteIndex(by_host)


def find_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix of a path.

    Args:
        index: the routes.
        host: the Host header; a port is ignored.
        path: without the query.
    """
    routes = index.by_host.get(host_name(host))
    if not routes:
        return None
    end = len(path)
    while True:
        end = path.rfind(SLASH, 0, end)
        if end < 0:
            return None
        route = routes.get(path[: end + 1])
        if route is not None:
            return route


def host_name(host: str) -> str:
    """Return a Host header's name in lower case, without its port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()


class Split:
    """Deals requests to services in proportion to their weights.

    Smooth weighted round robin: each service gains its weight with every
    request and the one that is furthest ahead pays for it. A random start
    keeps hosts from dealing in step.
    """

    def __init__(self, shares: Sequence[Share], rng: random.Random) -> None:
        self.shares = tuple(shares)
        self.total = sum(share.weight for share in shares)
        self.credit = [rng.random() * self.total for _ in shares]

    def next(self) -> str:
        """Return the service of the next request."""
        if len(self.shares) == 1 or self.total <= 0:
            return self.shares[0].service
        for place, share in enumerate(self.shares):
            self.credit[place] += share.weight
        best = max(range(len(self.shares)), key=self.credit.__getitem__)
        self.credit[best] -= self.total
        return self.shares[best].service
