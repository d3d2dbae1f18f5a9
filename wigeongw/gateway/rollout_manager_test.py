"""Tests of the manager of an order, with hosts and a store in memory."""

import asyncio
from dataclasses import replace
import os
import random
import unittest

from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.core.clock import ManualClock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import RolloutOrder
from wigeongw.core.site import Target
from wigeongw.decisions import rollout
from wigeongw.decisions import site_view
from wigeongw.decisions.rollout import Phase
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.notice_exchange import NoticeExchange
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.peer_socket import UdpAddress
from wigeongw.gateway.rollout_manager import RolloutManager
from wigeongw.gateway.rollout_traffic import VersionChoice
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import HostGone

NAMES = ("h1", "h2", "h3")
UPSTREAMS = 20
DURATION_MS = 14_000.0
ORDER = RolloutOrder("s", "v2", DURATION_MS)
NEVER = float("-inf")


class DirectSocket(PeerSocket):
    """Delivers datagrams at once, unless the host is cut off."""

    def __init__(
        self, address: UdpAddress, others: dict[UdpAddress, "DirectSocket"]
    ) -> None:
        super().__init__(Metrics())
        self.address = address
        self.others = others
        self.is_cut = False
        others[address] = self

    def send(self, data: bytes, address: UdpAddress) -> None:
        other = self.others[address]
        if not self.is_cut and not other.is_cut:
            other.datagram_received(data, self.address)


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    """Three hosts; ``manager`` is the one that manages the order."""

    async def asyncSetUp(self) -> None:
        fd = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, fd)
        self.clock = ManualClock(1_000_000.0)
        self.store = MemoryCatalog()
        self.sockets: dict[UdpAddress, DirectSocket] = {}
        self.states: dict[str, GatewayState] = {}
        self.managers: dict[str, RolloutManager] = {}
        for number, name in enumerate(NAMES, start=1):
            state = GatewayState(
                HostConfig(name, "amman", "", "", ""),
                self.clock,
                random.Random(number),
                DecisionLog(self.clock, name, fd),
                Metrics(),
            )
            peer_socket = DirectSocket((f"127.0.0.{number}", 9), self.sockets)
            notices = NoticeExchange(state, peer_socket)
            self.addCleanup(notices.close)
            self.states[name] = state
            self.managers[name] = RolloutManager(state, notices, self.store)
        await self.store.publish(
            configuration(),
            *(
                Host(name, f"127.0.0.{n}:80", "amman", f"127.0.0.{n}:9")
                for n, name in enumerate(NAMES, start=1)
            ),
            *(self.target(n, "v1") for n in range(UPSTREAMS)),
            ORDER,
            *(self.target(100 + n, "v2") for n in range(UPSTREAMS)),
        )
        self.read_store()
        self.manager = rollout.choose_manager("s", NAMES) or ""
        self.other = next(n for n in NAMES if n != self.manager)

    def target(self, number: int, version: str) -> Target:
        return Target(
            f"{version}-{number}",
            "s",
            f"127.0.0.1:{1000 + number}",
            "amman",
            4,
            version=version,
        )

    def read_store(self, *names: str) -> None:
        """Let hosts read the store."""
        for name in names or NAMES:
            changes = tuple(site_view.entries(self.store.view).values())
            view = site_view.apply_snapshot(
                self.states[name].view, changes, self.clock.now(), NEVER
            )
            self.states[name].apply_view(view)

    async def play(self, until_ms: float, *names: str) -> None:
        """Let the managers step until so long after the order."""
        while self.clock.now() < 1_000_000.0 + until_ms:
            self.clock.advance(250.0)
            for name in names or NAMES:
                await self.managers[name].step()
            if not self.store.down:
                self.read_store(*names)

    def stored_phase(self) -> Phase:
        status = self.store.view.statuses.get("s")
        return Phase(status.phase) if status else Phase.WAITING

    def usable(self, name: str) -> set[str]:
        """Return the versions that a host uses, without canaries."""
        targets = self.states[name].usable_targets("s")
        return {state.target.version for state in targets}

    def record_bad(self, name: str, count: int) -> None:
        target = self.states[name].targets["v2-100"].target
        for _ in range(count):
            self.states[name].rollouts.record(target, "read", True, False)


class GoodVersionTest(RolloutCase):
    async def test_good_version_is_complete_in_time(self) -> None:
        for name in NAMES:
            self.assertEqual(self.usable(name), {"v1"})
        await self.play(1_000.0)
        self.assertIs(self.stored_phase(), Phase.CANARY)
        for name in NAMES:
            self.assertEqual(self.usable(name), {"v1"})
            canaries = self.states[name].canary_targets("s")
            self.assertEqual(len(canaries), 1)
        await self.play(10_000.0)
        self.assertIs(self.stored_phase(), Phase.FULL)
        for name in NAMES:
            self.assertEqual(self.usable(name), {"v2"})
        await self.play(DURATION_MS)
        self.assertIs(self.stored_phase(), Phase.COMPLETE)

    async def test_all_hosts_choose_the_same_canaries(self) -> None:
        await self.play(1_000.0)
        chosen = {self.states[name].rollouts.canaries for name in NAMES}
        self.assertEqual(len(chosen), 1)

    async def test_share_of_the_canary(self) -> None:
        await self.play(1_000.0)
        traffic = self.states[self.other].rollouts
        choices = [traffic.choose("s") for _ in range(2_000)]
        share = choices.count(VersionChoice.CANARY) / len(choices)
        self.assertTrue(0.03 < share < 0.07, share)


class BadVersionTest(RolloutCase):
    async def test_bad_answers_at_another_host_stop_it_everywhere(
        self,
    ) -> None:
        await self.play(2_000.0)
        self.record_bad(self.other, 12)
        await self.play(2_500.0)
        self.assertIs(self.stored_phase(), Phase.ROLLED_BACK)
        for name in NAMES:
            phase = self.states[name].rollouts.phase("s")
            self.assertIs(phase, Phase.ROLLED_BACK)
            self.assertEqual(self.states[name].canary_targets("s"), [])

    async def test_verdict_holds_while_the_store_is_away(self) -> None:
        await self.play(2_000.0)
        self.store.down = True
        self.record_bad(self.other, 12)
        await self.play(4_000.0)
        for name in NAMES:
            phase = self.states[name].rollouts.phase("s")
            self.assertIs(phase, Phase.ROLLED_BACK)
        self.store.down = False
        await self.play(5_000.0)
        self.assertIs(self.stored_phase(), Phase.ROLLED_BACK)


class FailureTest(RolloutCase):
    async def test_next_manager_goes_on_when_one_dies(self) -> None:
        await self.play(2_000.0)
        self.record_bad(self.other, 2)
        await self.play(4_000.0, *(n for n in NAMES if n != self.manager))
        await self.store.publish(HostGone(self.manager))
        rest = [name for name in NAMES if name != self.manager]
        self.read_store(*rest)
        self.record_bad(self.other, 10)
        await self.play(5_000.0, *rest)
        self.assertIs(self.stored_phase(), Phase.ROLLED_BACK)

    async def test_next_manager_knows_how_long_the_order_runs(self) -> None:
        await self.play(8_000.0)
        await self.store.publish(HostGone(self.manager))
        rest = [name for name in NAMES if name != self.manager]
        for name in rest:
            learned = self.states[name].rollouts.learned_at
            learned["s", "v2"] = self.clock.now()
        self.read_store(*rest)
        await self.play(DURATION_MS, *rest)
        self.assertIs(self.stored_phase(), Phase.COMPLETE)

    async def test_two_managers_write_one_phase_after_the_other(self) -> None:
        """Each takes itself for the manager; the store decides."""
        for name in (self.manager, self.other):
            alone = {name: self.states[name].view.hosts[name]}
            self.states[name].view = replace(
                self.states[name].view, hosts=alone
            )
        self.clock.advance(250.0)
        await asyncio.gather(
            *(self.managers[n].step() for n in (self.manager, self.other))
        )
        statuses = [
            change
            for change in self.store.history
            if type(change).__name__ == "RolloutStatus"
        ]
        self.assertEqual(len(statuses), 1)

    async def test_phase_does_not_go_back_with_the_store(self) -> None:
        await self.play(1_000.0)
        copy = self.store.copy()
        await self.play(DURATION_MS)
        self.assertIs(self.stored_phase(), Phase.COMPLETE)
        await self.store.restore(copy)
        for name in NAMES:
            self.states[name].learn_era(self.store.era)
        await self.play(DURATION_MS + 2_000.0)
        self.assertIs(self.stored_phase(), Phase.COMPLETE)
        self.assertEqual(self.usable(self.other), {"v2"})

    async def test_cut_off_host_exposes_no_more(self) -> None:
        await self.play(1_000.0)
        others = [name for name in NAMES if name != self.other]
        await self.play(10_000.0, *others)
        phase = self.states[self.other].rollouts.phase("s")
        self.assertIs(phase, Phase.CANARY)


if __name__ == "__main__":
    unittest.main()
