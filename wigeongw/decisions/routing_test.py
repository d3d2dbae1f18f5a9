"""Tests the route lookup and the weighted distribution to services."""

import random
import unittest

from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Route
from wigeongw.core.site import RouteKind
from wigeongw.core.site import Share
from wigeongw.decisions import routing
from wigeongw.decisions.routing import Split

ROUTES = (
    ("all", "a.example", "/"),
    ("dial", "a.example", "/dial/"),
    ("deep", "a.example", "/dial/deep/"),
    ("other", "b.example", "/dial/"),
)
CASES = (
    ("a.example", "/dial/x", "dial"),
    ("A.Example:8548", "/dial/deep/x", "deep"),
    ("a.example", "/dial/deeper", "dial"),
    ("a.example", "/dial", "all"),
    ("b.example", "/x", None),
    ("c.example", "/dial/x", None),
    ("b.example", "", None),
)


def route(name: str, host: str, prefix: str) -> Route:
    shares = (Share("s", 1.0),)
    kind = RouteKind.IDEMPOTENT
    return Route(name, host, prefix, kind, shares, 1000.0, 300.0, 2, 1)


class FindRouteTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_name_wins(self) -> None:
        routes = tuple(route(*fields) for fields in ROUTES)
        index = routing.index_routes(
            Configuration(1, routes, {}, ClientLimits())
        )
        for host, path, expected in CASES:
            with self.subTest(host=host, path=path):
                found = routing.find_route(index, host, path)
                self.assertEqual(found.name if found else None, expected)


class SplitTest(unittest.TestCase):
    def test_each_service_keeps_its_weight_over_short_spans(self) -> None:
        weights = ((90.0, 10.0), (1.0, 1.0, 1.0), (70.0, 0.0, 30.0))
        for service_weights in weights:
            with self.subTest(service_weights=service_weights):
                shares = [
                    Share(str(n), w) for n, w in enumerate(service_weights)
                ]
                split = Split(shares, random.Random(7))
                services = [split.next() for _ in range(200)]
                for number, weight in enumerate(service_weights):
                    expected = 200 * weight / sum(service_weights)
                    got = services.count(str(number))
                    self.assertLessEqual(abs(got - expected), 1.0)


if __name__ == "__main__":
    unittest.main()
