"""Tests of the exchange of observations between hosts."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
import os
import random
import unittest
import unittest.mock

from standins.free_ports import free_address
from wigeongw.adapters import observation_codec
from wigeongw.adapters.observation_codec import Observations
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import LoadSample
from wigeongw.core.site import RateLimit
from wigeongw.core.site import Target
from wigeongw.decisions import site_view
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.observation_exchange import ObservationExchange
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import PEER_REPORT_TTL_MS

ZONES = {"a": "amman", "b": "amman", "c": "irbid"}
TARGET = Target("i-1", "s", "127.0.0.1:1", "amman", 4)
NEVER = float("-inf")


class ObservationExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        null_fd = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, null_fd)
        peers = {name: free_address() for name in ZONES}
        hosts = [
            Host(name, f"127.0.0.1:{n}", ZONES[name], peers[name])
            for n, name in enumerate(ZONES)
        ]
        view = site_view.apply_changes(
            SiteView(), [configuration(), TARGET, *hosts], 0.0, NEVER
        )
        self.states = {}
        self.exchanges = {}
        for name, zone in ZONES.items():
            clock = Clock()
            state = GatewayState(
                HostConfig(name, zone, "", "", "", peers[name]),
                clock,
                random.Random(1),
                DecisionLog(clock, name, null_fd),
                Metrics(),
            )
            state.apply_view(view)
            peer_socket = PeerSocket(state.metrics)
            exchange = ObservationExchange(state, peer_socket)
            await peer_socket.open(peers[name], stack)
            stack.callback(exchange.close)
            self.states[name] = state
            self.exchanges[name] = exchange

    def probe(self, name: str, running: int) -> None:
        """Store a probe's sample at a host and report it."""
        state = self.states[name]
        target = state.targets["i-1"]
        sample = LoadSample(state.clock.now(), running, 0, 4, 1.0, 0.0, True)
        target.update_sample(sample)
        target.last_probe_sample = sample
        self.exchanges[name].report_probe(target)

    def known_running(self, name: str) -> int | None:
        sample = self.states[name].targets["i-1"].sample
        return sample.running if sample else None

    async def test_report_after_a_late_timer_fails_its_request(self) -> None:
        """The client got 500: a loop may return a handle without a time."""
        exchange = self.exchanges["a"]
        target = self.states["a"].targets["i-1"]
        loop = asyncio.get_running_loop()

        def call_late(
            when: float, callback: Callable[..., object], *args: object
        ) -> asyncio.Handle:
            return loop.call_soon(callback, *args)

        with unittest.mock.patch.object(loop, "call_at", call_late):
            for _ in range(2):
                exchange.report_silent(target, 0.0)
                exchange.report_probe(target)
        self.assertIsNotNone(exchange.flush_timer)

    async def test_silent_upstream_is_reported_to_all_hosts(self) -> None:
        for name in ZONES:
            self.probe(name, 1)
        await asyncio.sleep(0.1)
        silent = self.states["a"].targets["i-1"]
        self.exchanges["a"].report_silent(silent, self.states["a"].clock.now())
        await asyncio.sleep(0.1)
        for name in ("b", "c"):
            with self.subTest(host=name):
                self.assertTrue(self.is_silent(name))
        self.probe("b", 1)
        self.assertFalse(self.is_silent("b"))

    async def test_upstreams_stay_silent_where_no_sample_arrives(self) -> None:
        state = self.states["a"]
        target = state.targets["i-1"]
        self.exchanges["a"].report_silent(target, state.clock.now())
        await asyncio.sleep(0.1)
        self.assertTrue(self.is_silent("c"))
        later = PEER_REPORT_TTL_MS + 100.0
        self.assertFalse(self.is_silent("c", later))

    async def test_every_host_reports_the_same_silent_upstream_to_all(
        self,
    ) -> None:
        for name in ZONES:
            state = self.states[name]
            target = state.targets["i-1"]
            self.exchanges[name].report_silent(target, state.clock.now())
            await asyncio.sleep(0.1)
        self.assertEqual(
            [exchange.flush_count for exchange in self.exchanges.values()],
            [1, 0, 0],
        )

    def is_silent(self, name: str, after_ms: float = 0.0) -> bool:
        state = self.states[name]
        now = state.clock.now() + after_ms
        return state.targets["i-1"].is_silent(now)

    async def test_every_probe_is_reported_within_the_zone(self) -> None:
        self.probe("a", 3)
        await asyncio.sleep(0.1)
        self.assertEqual(self.known_running("b"), 3)
        self.assertIsNone(self.known_running("c"))
        target = self.states["b"].targets["i-1"]
        self.assertGreater(target.confirmed_warm_at, 0.0)

    async def test_rate_limit_is_reported_and_its_end_is_not(self) -> None:
        state = self.states["a"]
        target = state.targets["i-1"]
        target.self_report.rate_limit = RateLimit(1.5, state.clock.now())
        self.probe("a", 1)
        await asyncio.sleep(0.1)
        heard = self.states["b"].targets["i-1"]
        self.assertEqual(heard.limit_per_s, 1.5)
        target.self_report.rate_limit = RateLimit(None, state.clock.now())
        self.probe("a", 1)
        await asyncio.sleep(0.1)
        self.assertEqual(heard.limit_per_s, 1.5)

    async def test_some_probes_are_reported_to_other_zones(self) -> None:
        for running in range(8):
            self.probe("a", running)
            await asyncio.sleep(0.03)
        self.assertIsNotNone(self.known_running("c"))

    async def test_sent_request_is_reported_before_upstream_reports_it(
        self,
    ) -> None:
        self.probe("a", 3)
        await asyncio.sleep(0.1)
        sent = self.states["a"].targets["i-1"]
        self.exchanges["a"].report_send(sent)
        await asyncio.sleep(0.05)
        for name in ("b", "c"):
            with self.subTest(host=name):
                state = self.states[name]
                now = state.clock.now()
                target = state.targets["i-1"]
                self.assertEqual(state.candidate(target, now).sent, 1)

    async def test_failures_are_reported_within_the_zone(
        self,
    ) -> None:
        state = self.states["a"]
        for _ in range(4):
            state.targets["i-1"].record_outcome(True, state.clock.now())
        self.probe("a", 0)
        await asyncio.sleep(0.1)
        now = self.states["b"].clock.now()
        self.assertGreater(
            self.states["b"].targets["i-1"].risk.decayed(now), 0.5
        )
        self.assertEqual(
            self.states["c"].targets["i-1"].risk.decayed(now), 0.0
        )

    async def test_unknown_senders_and_invalid_datagrams_are_ignored(
        self,
    ) -> None:
        sample = LoadSample(0.0, 9, 9, 4, 1.0, 0.0, True)
        key = observation_codec.hash_identity("i-1")
        seen = observation_codec.SeenLoad(key, 0.0, sample)
        data = observation_codec.encode(Observations((seen,)))
        exchange = self.exchanges["b"]
        exchange.on_datagram(data, ("10.9.9.9", 1))
        exchange.on_datagram(b"\x09nonsense", ("127.0.0.1", 1))
        exchange.on_datagram(b"", ("127.0.0.1", 1))
        self.assertIsNone(self.known_running("b"))


if __name__ == "__main__":
    unittest.main()
