"""Tests of asking for requests to limited upstreams, over faulty networks."""

import asyncio
from collections.abc import Callable
import functools
import os
import random
import unittest
from unittest import mock

from wigeongw.adapters import grant_codec
from wigeongw.adapters.grant_codec import GrantAsk
from wigeongw.adapters.grant_codec import GrantCodecError
from wigeongw.adapters.grant_codec import GrantReply
from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import RateLimit
from wigeongw.core.site import Target
from wigeongw.decisions import rate_limit
from wigeongw.decisions import site_view
from wigeongw.decisions.rate_limit import Admission
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import NAMES
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.peer_socket import UdpAddress
from wigeongw.gateway.rate_limit_reader import RateLimitReader
from wigeongw.gateway.rate_limiter import RateLimiter
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import ResponseKind

HOSTS = ("h1", "h2", "h3", "h4")
TARGET = Target("u", "s", "127.0.0.1:1", "amman", 4)
LONG_AGO_MS = 10_000.0
# Lost, delivered, repeated, too late, late, repeated much later.
FATES = ((), (0.0,), (0.0, 1.0), (50.0,), (2.0,), (0.0, 80.0))
# Delays of the copies of a datagram, in milliseconds; none if it is lost.
Fate = Callable[[], tuple[float, ...]]


def delivered_once() -> tuple[float, ...]:
    return (0.0,)


class FakeSocket(PeerSocket):
    """Delivers datagrams to other fake sockets by the fate of the network."""

    def __init__(self, network: "Network", address: UdpAddress) -> None:
        super().__init__(Metrics())
        self.network = network
        self.address = address

    def send(self, data: bytes, address: UdpAddress) -> None:
        receiver = self.network.sockets[address]
        loop = asyncio.get_running_loop()
        for delay_ms in self.network.fate():
            loop.call_later(
                delay_ms / 1_000.0,
                receiver.datagram_received,
                data,
                self.address,
            )


class Network:
    """Connects the hosts of a test."""

    def __init__(self) -> None:
        self.fate: Fate = delivered_once
        self.sockets: dict[UdpAddress, FakeSocket] = {}


class RateLimiterCase(unittest.IsolatedAsyncioTestCase):
    """Runs the rate limiters of four hosts without a network."""

    async def asyncSetUp(self) -> None:
        """Create the hosts; all know each other and one upstream."""
        null_fd = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, null_fd)
        self.clock = Clock()
        self.network = Network()
        hosts = [
            Host(name, f"127.0.0.{n}:80", "amman", f"127.0.0.{n}:9")
            for n, name in enumerate(HOSTS, start=1)
        ]
        view = site_view.apply_changes(
            SiteView(store_responded_ms=self.clock.now()),
            [configuration(), TARGET, *hosts],
            0.0,
            float("-inf"),
        )
        self.states: dict[str, GatewayState] = {}
        self.limiters: dict[str, RateLimiter] = {}
        for number, name in enumerate(HOSTS, start=1):
            state = GatewayState(
                HostConfig(name, "amman", "", "", "", f"127.0.0.{number}:9"),
                self.clock,
                random.Random(number),
                DecisionLog(self.clock, name, null_fd),
                Metrics(),
            )
            state.apply_view(view)
            directory = state.grantor_directory
            directory.hosts_changed_at -= LONG_AGO_MS
            address = (f"127.0.0.{number}", 9)
            peer_socket = FakeSocket(self.network, address)
            self.network.sockets[address] = peer_socket
            self.states[name] = state
            self.limiters[name] = RateLimiter(state, peer_socket)
        first = self.states[HOSTS[0]]
        self.grantors = first.grantor_directory.grantors(first.targets["u"])
        self.others = [name for name in HOSTS if name not in self.grantors]

    def target(self, host: str) -> TargetState:
        return self.states[host].targets["u"]

    def set_limit(self, host: str, per_s: float | None) -> None:
        report = self.target(host).self_report
        report.rate_limit = RateLimit(per_s, self.clock.now())

    async def admit(self, host: str) -> Admission | None:
        return await self.limiters[host].admit(self.target(host), "id-1")


class AskTest(RateLimiterCase):
    async def test_upstream_without_a_limit_needs_no_grant(self) -> None:
        self.network.fate = tuple
        self.assertEqual(await self.admit(self.others[0]), Admission())

    async def test_grantor_learns_the_limit_from_the_ask(self) -> None:
        host = self.others[0]
        self.set_limit(host, 5.0)
        admission = await self.admit(host)
        assert admission is not None
        self.assertIsNotNone(admission.granted_at)
        known = [self.target(name).limit_per_s for name in self.grantors]
        self.assertIn(5.0, known)

    async def test_denied_host_does_not_ask_again_at_once(self) -> None:
        host = self.others[0]
        self.set_limit(host, 1.0)
        admissions = [await self.admit(host) for _ in range(6)]
        granted = [a for a in admissions if a is not None]
        self.assertLessEqual(len(granted), 2)
        now = self.clock.now()
        state = self.states[host]
        wait_ms = state.grantor_directory.wait_ms(self.target(host), now)
        self.assertGreater(wait_ms, 100.0)
        self.assertFalse(
            state.candidate(self.target(host), now).may_be_granted
        )

    async def test_limit_that_the_grantor_saw_end_binds_no_longer(
        self,
    ) -> None:
        host = self.others[0]
        self.set_limit(host, 1.0)
        await asyncio.sleep(0.01)
        for name in self.grantors:
            self.set_limit(name, None)
        self.assertEqual(await self.admit(host), Admission())
        self.assertIsNone(self.target(host).limit_per_s)

    async def test_lost_datagrams_admit_nothing_and_are_not_awaited_again(
        self,
    ) -> None:
        host = self.others[0]
        self.set_limit(host, 50.0)
        self.network.fate = tuple
        self.assertIsNone(await self.admit(host))
        started_at = self.clock.now()
        self.assertIsNone(await self.admit(host))
        self.assertLess(self.clock.now() - started_at, 20.0)

    async def test_lost_late_and_repeated_datagrams_keep_the_limit(
        self,
    ) -> None:
        for seed in range(3):
            rng = random.Random(seed)
            self.network.fate = functools.partial(rng.choice, FATES)
            admitted = 0
            per_s = 10.0
            for name in HOSTS:
                self.set_limit(name, per_s)
                self.target(name).denied_until.clear()
            started_at = self.clock.now()
            while self.clock.now() - started_at < 1_000.0:
                host = rng.choice(HOSTS)
                self.states[host].grantor_directory.silent_until.clear()
                admitted += await self.admit(host) is not None
                await asyncio.sleep(0)
            elapsed_s = (self.clock.now() - started_at) / 1_000.0
            allowed = 1.5 * per_s * elapsed_s + 5.0
            with self.subTest(seed=seed):
                self.assertLessEqual(admitted, allowed)

    async def test_other_hosts_and_unknown_senders_grant_nothing(self) -> None:
        asking, other = self.others
        ask = GrantAsk(1, hash_identity("u"), 9.0, 0.0)
        limiter = self.limiters[other]
        address = self.states[other].peer_addresses[asking]
        with mock.patch.object(limiter.socket, "send") as send:
            limiter.on_ask(grant_codec.encode_ask(ask), address)
            reply = grant_codec.decode_reply(send.call_args.args[0])
            self.assertGreater(reply.wait_ms, 0.0)
            limiter.on_ask(grant_codec.encode_ask(ask), ("10.9.9.9", 9))
            limiter.on_ask(b"\x61", address)
            self.assertEqual(send.call_count, 1)

    async def test_grantor_that_lost_the_store_grants_half(self) -> None:
        grantor = self.grantors[0]
        self.set_limit(grantor, 10.0)
        counts = []
        for view_age_ms in (0.0, rate_limit.MAX_VIEW_AGE_MS + 2_000.0):
            state = self.states[grantor]
            limiter = self.limiters[grantor]
            now = self.clock.now()
            state.view = SiteView(
                state.view.configuration,
                state.view.targets,
                state.view.hosts,
                store_responded_ms=now - view_age_ms,
            )
            limiter.grantors.clear()
            granted = 0
            for step in range(1_000):
                reply = limiter._decide(
                    self.target(grantor), 0, now + step * 2.0
                )
                granted += reply.wait_ms <= 0.0
            counts.append(granted)
        self.assertLessEqual(counts[1], 0.6 * counts[0])


class GrantCodecTest(unittest.TestCase):
    def test_decode_restores_messages(self) -> None:
        ask = GrantAsk(7, 9, 1.25, 40.0)
        self.assertEqual(
            grant_codec.decode_ask(grant_codec.encode_ask(ask)), ask
        )
        for per_s in (None, 0.0, 1.2):
            reply = GrantReply(7, 3.0, per_s, 12.0)
            data = grant_codec.encode_reply(reply)
            self.assertEqual(grant_codec.decode_reply(data), reply)

    def test_short_wait_is_not_decoded_as_a_grant(self) -> None:
        data = grant_codec.encode_reply(GrantReply(1, 0.2, 1.0, 0.0))
        self.assertEqual(grant_codec.decode_reply(data).wait_ms, 1.0)

    def test_refuses_truncated_datagrams_and_invalid_rates(self) -> None:
        for per_s in (float("nan"), float("inf"), -2.0):
            data = grant_codec.encode_ask(GrantAsk(1, 2, per_s, 0.0))
            with self.subTest(per_s), self.assertRaises(GrantCodecError):
                grant_codec.decode_ask(data)
        for decode in (grant_codec.decode_ask, grant_codec.decode_reply):
            with self.assertRaises(GrantCodecError):
                decode(b"\x61\x00")


class RateLimitReaderTest(RateLimiterCase):
    def read(
        self,
        *values: bytes,
        kind: ResponseKind = ResponseKind.REQUEST,
        sent_ms_ago: float = 0.0,
    ) -> None:
        name = NAMES.rate_limit.encode()
        reply = BufferedReply(200, [(name, value) for value in values])
        sent_at = self.clock.now() - sent_ms_ago
        self.reader.read(self.target("h1"), reply, kind, sent_at, "id-7")

    def lines(self, event: str) -> list[str]:
        lines = self.states["h1"].log.lines
        return [line for line in lines if f"event={event}" in line]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reader = RateLimitReader(self.states["h1"], NAMES)

    async def test_limit_is_named_changed_and_ended(self) -> None:
        for values, event, expected in (
            ((b"2",), "named", 2.0),
            ((b"1.5",), "changed", 1.5),
            ((), "ended", None),
        ):
            with self.subTest(event):
                self.read(*values)
                self.assertEqual(self.target("h1").limit_per_s, expected)
                self.assertEqual(len(self.lines(event)), 1)
                self.assertIn("id=id-7", self.lines(event)[0])

    async def test_invalid_value_is_logged_once_and_changes_nothing(
        self,
    ) -> None:
        self.read(b"2")
        for values in ((b"",), (b"x",), (b"-1",), (b"inf",), (b"1", b"1")):
            self.read(*values)
        self.assertEqual(self.target("h1").limit_per_s, 2.0)
        self.assertEqual(len(self.lines("invalid")), 1)
        self.assertIn("id=id-7", self.lines("invalid")[0])

    async def test_rejected_request_does_not_end_a_limit(self) -> None:
        self.read(b"2")
        self.read(kind=ResponseKind.REJECTED)
        self.assertEqual(self.target("h1").limit_per_s, 2.0)
        self.read(kind=ResponseKind.PROBE)
        self.assertIsNone(self.target("h1").limit_per_s)

    async def test_long_response_ends_a_limit_that_was_named_meanwhile(
        self,
    ) -> None:
        self.read(b"2")
        self.read(sent_ms_ago=500.0)
        self.assertEqual(self.target("h1").limit_per_s, 2.0)
        self.read()
        self.assertIsNone(self.target("h1").limit_per_s)

    async def test_limit_ends_with_the_start_that_named_it(self) -> None:
        self.read(b"2")
        state = self.states["h1"]
        restarted = Target("u", "s", "127.0.0.1:1", "amman", 4, born_ms=9.0)
        state.apply_view(
            site_view.apply_changes(
                state.view, [restarted], 0.0, float("-inf")
            )
        )
        self.assertIsNone(self.target("h1").limit_per_s)


if __name__ == "__main__":
    unittest.main()
