"""Route lookup and weighted distribution of requests to services.

The weights of a split hold over short sequences of requests, not only on
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
    """Lookup table of routes.

    Attributes:
        by_host: routes by host name and then by path prefix.
    """

    by_host: dict[str, dict[str, Route]]


def index_routes(configuration: Configuration) -> RouteIndex:
    """Build the lookup table for the routes of a configuration."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return RouteIndex(by_host)


def find_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix that matches a path.

    Args:
        index: the routes.
        host: value of the Host header; a port is ignored.
        path: path of the request, without the query.

    Returns:
        The route, or None when no route matches.
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
    """Return the host name of a Host header in lower case, without a port."""
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()


class Split:
    """Distributes requests to services in proportion to their weights.

    Uses smooth weighted round robin: every request adds to the credit of each
    service its weight, and the service with the highest credit receives the
    request and pays the sum of all weights. Credits start at random values so
    that different hosts do not choose the same services at the same time.
    """

    def __init__(self, shares: Sequence[Share], rng: random.Random) -> None:
        self.shares = tuple(shares)
        self.total = sum(share.weight for share in shares)
        self.credits = [rng.random() * self.total for _ in shares]

    def next(self) -> str:
        """Return the name of the service for the next request."""
        if len(self.shares) == 1 or self.total <= 0:
            return self.shares[0].service
        for index, share in enumerate(self.shares):
            self.credits[index] += share.weight
        best = max(range(len(self.shares)), key=self.credits.__getitem__)
        self.credits[best] -= self.total
        return self.shares[best].service
