"""Tests which addresses a lookup returns."""

import random
import unittest

from wigeongw.core.site import Host
from wigeongw.decisions import address_lookup
from wigeongw.decisions.address_lookup import MAX_ANSWER_HOSTS

OWN_ADDRESS = "10.1.0.1:80"
OTHER = Host("other", "10.1.0.2:80", "amman")
OWN = Host("own", OWN_ADDRESS, "amman")


class RespondTest(unittest.TestCase):
    def test_registered_hosts_and_a_serving_own_host_are_listed(self) -> None:
        cases: tuple[tuple[str, list[Host], str | None, set[str]], ...] = (
            (
                "registered",
                [OWN, OTHER],
                OWN_ADDRESS,
                {OWN.address, OTHER.address},
            ),
            (
                "own lease expired",
                [OTHER],
                OWN_ADDRESS,
                {OWN.address, OTHER.address},
            ),
            ("no host registered", [], OWN_ADDRESS, {OWN.address}),
            ("own host stops", [OTHER], None, {OTHER.address}),
            ("own host not ready", [], None, set()),
        )
        for case, hosts, own_address, expected in cases:
            with self.subTest(case=case):
                response = address_lookup.respond(
                    hosts, own_address, 5_000.0, random.Random(1)
                )
                self.assertEqual(set(response.addresses), expected)
                self.assertEqual(
                    len(response.addresses), len(set(response.addresses))
                )

    def test_size_and_time_to_live_are_limited(self) -> None:
        hosts = [Host(f"h{n}", f"10.1.0.{n}:80", "a") for n in range(200)]
        response = address_lookup.respond(
            hosts, None, 1_500.0, random.Random(1)
        )
        self.assertEqual(len(response.addresses), MAX_ANSWER_HOSTS)
        self.assertEqual(response.ttl_ms, 1_500.0)


if __name__ == "__main__":
    unittest.main()
