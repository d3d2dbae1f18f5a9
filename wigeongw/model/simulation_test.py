"""Tests what share of simulated requests is on time under each policy."""

from dataclasses import replace
import functools
import unittest

from wigeongw.model.simulated_upstream import Machines
from wigeongw.model.simulation import Load
from wigeongw.model.simulation import Result
from wigeongw.model.simulation import Simulation

SEEDS = (1, 2, 3)
# One availability zone is out of service and many clients arrive at once. The
# load is about nine tenths of the capacity of the upstreams at normal speed.
HEAVY_LOAD = Load(per_s=200.0)
LIGHT_LOAD = Load(per_s=60.0)


@functools.cache
def run_simulation(load: Load, policy: str) -> Result:
    total = Result()
    for seed in SEEDS:
        total.ended.update(Simulation(load, policy, seed).run().ended)
    return total


class HeavyLoadTest(unittest.TestCase):
    def test_waiting_for_a_fast_upstream_increases_on_time_share(self) -> None:
        with_waiting = run_simulation(HEAVY_LOAD, "patient_probes").share(
            "on time"
        )
        for other in ("probes", "two_random", "least_in_flight"):
            with self.subTest(other=other):
                found = run_simulation(HEAVY_LOAD, other).share("on time")
                self.assertGreater(with_waiting, found)

    def test_sharing_sent_requests_increases_on_time_share(
        self,
    ) -> None:
        without_sharing = Load(per_s=200.0, told=False)
        with_sharing = run_simulation(HEAVY_LOAD, "patient_probes").share(
            "on time"
        )
        self.assertGreater(
            with_sharing,
            run_simulation(without_sharing, "patient_probes").share("on time"),
        )

    def test_no_upstream_rejects_a_request(self) -> None:
        """A full upstream resets connections, which may lose requests."""
        found = run_simulation(HEAVY_LOAD, "patient_probes")
        self.assertEqual(found.ended["turned away"], 0, found.ended)


class RetryingClientsTest(unittest.TestCase):
    """Load of 1.5 times the capacity, with clients that retry."""

    LOAD = Load(per_s=300.0, deadline_ms=1_500.0, returns=2)

    def test_serving_overdue_requests_last_increases_on_time_share(
        self,
    ) -> None:
        overdue_requests_last = run_simulation(self.LOAD, "overdue_last")
        without_order = run_simulation(self.LOAD, "patient_probes")
        self.assertGreater(
            overdue_requests_last.share("on time"),
            1.2 * without_order.share("on time"),
        )

    def test_refused_clients_are_served_while_there_is_capacity(self) -> None:
        """Clients that were refused once are not refused forever."""
        light_load = Load(per_s=120.0, deadline_ms=1_500.0, returns=2)
        found = run_simulation(light_load, "overdue_last")
        self.assertGreaterEqual(
            found.share("on time", "late"), 0.99, found.ended
        )


class TwoSlotUpstreamsTest(unittest.TestCase):
    """Upstreams with two slots, where every second slot is above the knee.

    The load is six tenths of what the upstreams complete with all slots in
    use.
    """

    LOAD = Load(
        per_s=200.0,
        upstreams=20,
        work_ms=65.0,
        objective_ms=200.0,
        deadline_ms=1_200.0,
        returns=2,
        length_ms=3_000.0,
        machines=Machines(slots=2),
    )

    def test_clients_are_on_time_and_none_is_refused(self) -> None:
        found = run_simulation(self.LOAD, "overdue_last")
        self.assertGreaterEqual(found.share("on time"), 0.95, found.ended)
        self.assertEqual(found.ended["refused"], 0, found.ended)


class RateLimitedUpstreamsTest(unittest.TestCase):
    """Most upstreams take a few requests per second, the others all else."""

    LOAD = Load(
        per_s=60.0,
        upstreams=15,
        deadline_ms=1_500.0,
        returns=2,
        limited=10,
        limit_per_s=2.0,
    )

    def test_upstreams_without_a_limit_take_the_rest(self) -> None:
        found = run_simulation(self.LOAD, "overdue_last")
        self.assertGreaterEqual(found.share("on time"), 0.95, found.ended)

    def test_limit_is_used_and_kept_while_there_is_demand(self) -> None:
        for hosts in (3, 130):
            load = replace(self.LOAD, hosts=hosts, limited=15)
            for seed in SEEDS:
                with self.subTest(hosts=hosts, seed=seed):
                    simulation = Simulation(load, "overdue_last", seed)
                    granted = simulation.run().granted
                    self.assertEqual(len(granted), load.limited)
                    total = sum(len(times) for times in granted.values())
                    allowed = load.limited * load.limit_per_s
                    self.assertGreaterEqual(
                        total, 0.8 * allowed * load.length_ms / 1_000.0
                    )
                    for times in granted.values():
                        most = max(
                            sum(1 for t in times if s <= t < s + 4_000.0)
                            for s in times
                        )
                        self.assertLessEqual(most, 6 * load.limit_per_s + 5)


class LightLoadTest(unittest.TestCase):
    def test_nearly_all_requests_are_on_time(self) -> None:
        found = run_simulation(LIGHT_LOAD, "patient_probes")
        self.assertGreaterEqual(found.share("on time"), 0.97, found.ended)

    def test_no_request_is_refused_while_there_is_capacity(self) -> None:
        found = run_simulation(LIGHT_LOAD, "patient_probes")
        self.assertEqual(found.ended["refused"], 0, found.ended)

    def test_the_same_seed_gives_the_same_result(self) -> None:
        first, second = (
            Simulation(LIGHT_LOAD, "probes", 7).run() for _ in range(2)
        )
        self.assertEqual(first.ended, second.ended)


if __name__ == "__main__":
    unittest.main()
