"""Entry hosts that share permits over a network that tests control.

Two hosts succeed each other as the grantor, three hold permits. Messages wait
until they are delivered, dropped or duplicated; processes are paused, and
holders crash. At each start of a request the number of requests in flight on
its upstream, counted at the upstream, is compared with the limit of the
grantor that issued the permit.
"""

from dataclasses import dataclass
from dataclasses import field
import random

from wigeongw.core.records import Upstream
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor import SERIAL_BITS
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.holder import Holder
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToGrantor
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import Held
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import Wanted
from wigeongw.settings.schema import ColdStartSettings
from wigeongw.settings.schema import PermitSettings

POOL = "dial-watch@amman"
SLOTS = 4
DEADLINE_MS = 9_000.0
DEADLINE_STEP_MS = 1_000.0
LEASE_MS = 3_000.0
STEP_MS = 25.0
RULES = PermitSettings()
COLD_START = ColdStartSettings(work_per_step=3)
HOLDERS = ("h1", "h2", "h3")
GRANTORS = ("g1", "g2")
UPSTREAMS = tuple(Upstream(n, "", "dial-watch", "amman") for n in ("u1", "u2"))


@dataclass
class InFlightRequest:
    """A request that an upstream executes, whatever its holder knows."""

    holder: str
    request: str
    upstream: str
    ends_at: float


@dataclass
class Simulation:
    """Holders, grantors, the network and the store's fence.

    All processes share one clock; a paused process does not run.

    Attributes:
        fence: grantor that owns the fence in the store.
        fence_until: when the owner's lease expires in the store.
        known_until: when its own lease expires, as each grantor knows it.
        in_flight: requests that the upstreams execute.
        network: messages on the way: sender, receiver and message.
        issuers: grantor of each incarnation.
        counter: last number given to a request or an incarnation.
    """

    now: float = 0.0
    fence: str = "g1"
    fence_until: float = LEASE_MS
    known_until: dict[str, float] = field(default_factory=dict)
    in_flight: list[InFlightRequest] = field(default_factory=list)
    network: list[tuple[str, str, HolderMessage | GrantorMessage]] = field(
        default_factory=list
    )
    paused: set[str] = field(default_factory=set)
    crashed: set[str] = field(default_factory=set)
    issuers: dict[int, Grantor] = field(default_factory=dict)
    counter: int = 0

    def __post_init__(self) -> None:
        """Start the holders and the first grantor."""
        self.holders = {h: self._new_holder(h) for h in HOLDERS}
        self.grantors: dict[str, Grantor] = {}
        self.grantor_views = dict.fromkeys(HOLDERS, "")
        for host in HOLDERS:
            self.observe_grantor(host, self.fence)
        self.take_over("g1")

    def _new_holder(self, host: str) -> Holder:
        number = HOLDERS.index(host) + 1
        rng = random.Random(number)
        return Holder(SharingConfig(RULES, SLOTS, 100, number, rng))

    def take_over(self, name: str) -> None:
        """Create a new grantor on a host."""
        self.counter += 1
        unheard = dict.fromkeys(HOLDERS, self.now + DEADLINE_MS)
        grantor = Grantor(
            POOL,
            RULES,
            COLD_START,
            Takeover(100 + self.counter, {}, unheard),
            self.now,
        )
        self.issuers[100 + self.counter] = grantor
        self.known_until[name] = self.fence_until
        grantor.set_fenced(True, self.now)
        self.grantors[name] = grantor
        self.carry_out(name, grantor.set_upstreams(UPSTREAMS, SLOTS, self.now))

    def observe_grantor(self, host: str, grantor: str) -> None:
        """Set the grantor that a holder uses."""
        self.grantor_views[host] = grantor
        view = PoolView(
            POOL, grantor, 0.0, True, tuple(u.name for u in UPSTREAMS)
        )
        self.carry_out(host, self.holders[host].set_view([view], self.now))

    def carry_out(self, sender: str, effects: object) -> None:
        """Send the messages and start the requests of some effects."""
        for effect in effects:  # type: ignore[attr-defined]
            if isinstance(effect, ToHolder):
                self.network.append((sender, effect.host, effect.message))
            elif isinstance(effect, ToGrantor):
                self.network.append((sender, effect.host, effect.message))
            elif isinstance(effect, Start):
                self.start_request(sender, effect)

    def start_request(self, holder: str, start: Start) -> None:
        """Start a request on its upstream and check the limit."""
        held = start.held
        ends_at = self.holders[holder].busy[start.request].ends_at
        self.in_flight.append(
            InFlightRequest(holder, start.request, held.upstream, ends_at)
        )
        self.check_limit(held)

    def check_limit(self, held: Held) -> None:
        """Fail if a cold upstream has more requests in flight than allowed.

        The limit is that of the grantor that issued the permit. A warm
        upstream is not checked: it may exceed its limit by one for a while,
        because the slot of an unresponsive holder's permit is free again
        after the permit's lifetime (seen with seed 186).
        """
        issuer = self.issuers[held.number >> SERIAL_BITS]
        limit = issuer.upstreams[held.upstream].ramp.limit
        if limit >= SLOTS:
            return
        count = sum(r.upstream == held.upstream for r in self.in_flight)
        if count > limit:
            raise AssertionError(f"{count} in flight over limit {limit}")

    def is_running(self, name: str) -> bool:
        """Return whether a process is neither paused nor crashed."""
        return name not in self.paused and name not in self.crashed

    def deliver(self, index: int) -> None:
        """Deliver one message if its receiver is running."""
        if not self.network:
            return
        sender, to, message = self.network[index % len(self.network)]
        if not self.is_running(to):
            return
        self.network.pop(index % len(self.network))
        if to in self.holders:
            self.deliver_to_holder(sender, to, message)
        elif to in self.grantors:
            self.deliver_to_grantor(sender, to, message)

    def deliver_to_holder(self, sender: str, to: str, message: object) -> None:
        """Pass a grantor's message to a holder."""
        effects: list[Effect] = self.holders[to].heard(
            sender,
            message,  # type: ignore[arg-type]
            self.now,
        )
        self.carry_out(to, effects)

    def deliver_to_grantor(
        self, sender: str, to: str, message: object
    ) -> None:
        """Pass a holder's message to a grantor."""
        grantor = self.grantors[to]
        self.refresh_fence(to)
        if isinstance(message, Ask):
            self.carry_out(to, grantor.ask(sender, message, self.now))
        elif isinstance(message, Return):
            self.carry_out(to, grantor.take_back(sender, message, self.now))
        elif isinstance(message, Renew):
            self.carry_out(to, grantor.renew(sender, message, self.now))
        elif isinstance(message, Register):
            self.carry_out(to, grantor.register(sender, message, self.now))
        elif isinstance(message, Cancel):
            grantor.cancel(sender, message)

    def refresh_fence(self, name: str) -> None:
        """Let a grantor compare its lease with the clock before it acts."""
        fenced = self.now < self.known_until[name] - 300.0
        self.grantors[name].set_fenced(fenced, self.now)

    def advance(self, elapsed_ms: float) -> None:
        """Advance the clock, end late requests and tick all processes.

        A fence owner that is running renews its lease first.
        """
        self.now += elapsed_ms
        for request in list(self.in_flight):
            if self.now >= request.ends_at:
                self.in_flight.remove(request)
        if self.is_running(self.fence):
            self.fence_until = self.now + LEASE_MS
            self.known_until[self.fence] = self.fence_until
        for name, grantor in self.grantors.items():
            if self.is_running(name):
                self.refresh_fence(name)
                self.carry_out(name, grantor.tick(self.now))
        for name, holder in self.holders.items():
            if self.is_running(name):
                self.carry_out(name, holder.tick(self.now))

    def fail_over(self) -> None:
        """Give the fence to the other grantor if the lease has expired."""
        if self.now < self.fence_until:
            return
        successor = next(g for g in GRANTORS if g != self.fence)
        if not self.is_running(successor):
            return
        self.fence = successor
        self.fence_until = self.now + LEASE_MS
        self.take_over(successor)

    def finish(self, index: int, verdict: Verdict) -> None:
        """End a request unless its holder is paused."""
        if not self.in_flight:
            return
        request = self.in_flight[index % len(self.in_flight)]
        if request.holder in self.paused:
            return
        self.in_flight.remove(request)
        if request.holder not in self.crashed:
            holder = self.holders[request.holder]
            self.carry_out(
                request.holder,
                holder.done(request.request, verdict, 10.0, "s", self.now),
            )

    def submit(self, host: str, deadline_ms: float = DEADLINE_MS) -> None:
        """Submit a new request to a holder if it is running."""
        if not self.is_running(host):
            return
        self.counter += 1
        wanted = Wanted(f"r{self.counter}", self.now + deadline_ms)
        self.carry_out(host, self.holders[host].want(wanted, self.now))
