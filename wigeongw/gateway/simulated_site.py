"""A site of many hosts in virtual time, for tests.

Only the tasks that follow and call the store run.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Awaitable
import contextlib
from contextlib import AsyncExitStack
from dataclasses import replace
import os
import random
from typing import Any
from typing import TypeVar
from urllib.parse import urlencode
import zlib

from standins.virtual_time import VirtualClock
from standins.virtual_time import VirtualTimeLoop
from wigeongw.adapters.memory_catalog import CatalogCopy
from wigeongw.adapters.memory_catalog import MemoryCatalog
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import ClientLimits
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import Target
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.change_log import ChangeLog
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.era_catalog import EraCatalog
from wigeongw.gateway.follower import Follower
from wigeongw.gateway.peer_reader import PeerReader
from wigeongw.gateway.registrar import Registrar
from wigeongw.gateway.relay import RelayApp
from wigeongw.gateway.relayed_catalog import RelayedCatalog
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import Lease
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import TargetGone

T = TypeVar("T")

ONE_WAY_S = 0.002
OUTAGE_S = 2.0
# Time limit for a change to be in force at every host.
PROPAGATION_LIMIT_S = 2.0


def configuration(revision: int) -> Configuration:
    """Return a configuration without routes."""
    return Configuration(revision, (), {}, ClientLimits())


class CountingStore(MemoryCatalog):
    """A catalog that takes a while to answer and counts calls by second.

    Attributes:
        counts: number of calls by kind and second.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[tuple[str, int]] = Counter()

    async def read(self, fresh: bool) -> ChangeBatch:
        """Read everything."""
        return await self._call("read", super().read(fresh))

    async def watch(
        self, position: StorePosition, wait_ms: float
    ) -> ChangeBatch:
        """Wait for changes."""
        return await self._call("watch", super().watch(position, wait_ms))

    async def register(self, host: Host, lifetime_ms: float) -> Lease:
        """Write the entry of a host."""
        self._count("write")
        return await self._call("write", super().register(host, lifetime_ms))

    async def renew(self, lease: Lease) -> int:
        """Renew a lease."""
        return await self._call("renew", super().renew(lease))

    def total(self, kind: str) -> int:
        """Return the number of calls of a kind."""
        return sum(n for (k, _), n in self.counts.items() if k == kind)

    def most_per_s(self, *kinds: str) -> int:
        """Return the largest number of calls in a second."""
        by_second: Counter[int] = Counter()
        for (kind, second), count in self.counts.items():
            if kind in kinds:
                by_second[second] += count
        return max(by_second.values(), default=0)

    async def _call(self, kind: str, call: Awaitable[T]) -> T:
        self._count(kind)
        await asyncio.sleep(ONE_WAY_S)
        result = await call
        await asyncio.sleep(ONE_WAY_S)
        return result

    def _count(self, kind: str) -> None:
        second = int(asyncio.get_running_loop().time())
        self.counts[kind, second] += 1


class FakeResponse:
    """The response of another host to an HTTP request."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        is_compressed = (b"content-encoding", b"deflate") in headers
        self.body = zlib.decompress(body) if is_compressed else body

        self.content = self

    async def iter_chunked(self, size: int) -> AsyncIterator[bytes]:
        """Yield the body in chunks."""
        for start in range(0, len(self.body), size):
            yield self.body[start : start + size]


class FakeSession:
    """Calls the applications of other hosts without a network.

    Attributes:
        apps: by the address of the host.
        count: number of calls.
    """

    def __init__(self) -> None:
        self.apps: dict[str, RelayApp] = {}
        self.count = 0

    @contextlib.asynccontextmanager
    async def get(
        self, url: str, params: dict[str, str] | None = None
    ) -> AsyncIterator[FakeResponse]:
        """Call the application at the address in a URL."""
        peer, _, path = url.removeprefix("http://").partition("/")
        scope = {
            "type": "http",
            "path": f"/{path}",
            "query_string": urlencode(params or {}).encode(),
        }
        sent: list[dict[str, Any]] = []
        self.count += 1

        async def send(message: Any) -> None:
            sent.append(message)

        async def receive() -> Any:
            raise AssertionError("the request has no body")

        await asyncio.sleep(ONE_WAY_S)
        await self.apps[peer](scope, receive, send)
        await asyncio.sleep(ONE_WAY_S)
        yield FakeResponse(
            sent[0]["status"], sent[0]["headers"], sent[1]["body"]
        )


class SimulatedHost:
    """The tasks of a host that follow and call the store."""

    def __init__(
        self, name: str, ip: str, store: MemoryCatalog, session: Any, fd: int
    ) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        clock = VirtualClock(loop)
        self.state = GatewayState(
            HostConfig(name, "amman", f"{ip}:1", "", "", f"{ip}:2"),
            clock,
            random.Random(name),
            DecisionLog(clock, name, fd),
            Metrics(),
        )
        log = ChangeLog()
        catalog = RelayedCatalog(
            self.state, EraCatalog(self.state, store), session
        )
        self.follower = Follower(
            self.state,
            catalog,
            UpstreamPool(clock, "x"),
            log,
            PeerReader(self.state, session),
        )
        self.registrar = Registrar(self.state, catalog, self.follower)
        session.apps[f"{ip}:2"] = RelayApp(self.state, log)

    def begin(self, view: SiteView, position: StorePosition) -> None:
        """Let the host begin with a view that it has read before."""
        name = self.state.host_config.name
        self.state.learn_era(position.era)
        self.state.apply_view(replace(view, position=position))
        self.follower.has_read_store = True
        self.follower.change_log.restart(position)
        self.state.store_answered_at = self.state.clock.now()
        self.registrar.lease = Lease(view.hosts[name].lease, position.era)

    def start(self, stack: AsyncExitStack) -> None:
        """Start the tasks until the stack closes."""
        for function in (
            self.follower.run,
            self.follower.run_settling,
            self.registrar.run,
        ):
            task = asyncio.create_task(function())
            stack.callback(task.cancel)


class Site:
    """A site whose hosts all know the store's present state."""

    def __init__(self, size: int, stack: AsyncExitStack) -> None:
        self.store = CountingStore()
        self.session = FakeSession()
        self.stack = stack
        self.target = Target("a", "s", "127.0.0.1:1", "amman", 4)
        fd = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, fd)
        self.hosts = [
            SimulatedHost(
                f"host-{n}",
                f"10.0.{n // 256}.{n % 256}",
                self.store,
                self.session,
                fd,
            )
            for n in range(size)
        ]

    async def begin(self) -> None:
        """Start all hosts, registered and in touch with the store."""
        await self.store.publish(configuration(1), self.target)
        for number, host in enumerate(self.hosts, start=1):
            config = host.state.host_config
            self.store.leases[number] = config.name
            entry = Host(
                config.name, config.front, "amman", config.peer, number
            )
            self.store.view.hosts[config.name] = entry
        position = StorePosition(1, len(self.store.history))
        for host in self.hosts:
            host.begin(self.store.view, position)
            host.start(self.stack)
        await asyncio.sleep(2.0)

    def copy_without_hosts(self) -> CatalogCopy:
        """Return a copy of the store that lacks the hosts' entries."""
        copy = self.store.copy()
        return replace(copy, view=replace(copy.view, hosts={}), leases={})

    def revisions(self) -> set[int]:
        """Return the configurations that are in force at some host."""
        return {
            c.revision
            for host in self.hosts
            if (c := host.state.view.configuration) is not None
        }

    async def lose_and_return(self, copy: CatalogCopy) -> None:
        """Lose a confirmed change and an upstream's leaving."""
        await self.store.publish(configuration(2), TargetGone("a"))
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        assert self.revisions() == {2}, self.revisions()
        self.store.down = True
        await asyncio.sleep(OUTAGE_S)
        self.store.down = False
        self.store.counts.clear()
        await self.store.restore(copy)
