"""Holders and one grantor of a pool that exchange messages without delay."""

from collections.abc import Iterable
import random

from wigeongw.core.records import Upstream
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.holder import Holder
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.sharing import Effect
from wigeongw.decisions.sharing import PoolView
from wigeongw.decisions.sharing import SharingConfig
from wigeongw.decisions.sharing import Start
from wigeongw.decisions.sharing import ToGrantor
from wigeongw.decisions.sharing import Wanted
from wigeongw.settings.schema import ColdStartSettings
from wigeongw.settings.schema import PermitSettings

POOL = "dial-watch@amman"
SLOTS = 4
STEP_MS = 10.0
SERVED_MS = 50.0
UPSTREAMS = tuple(Upstream(n, "", "dial-watch", "amman") for n in ("u1", "u2"))
RULES = PermitSettings()


class PermitSite:
    """Holders and one grantor that exchange messages without delay.

    Attributes:
        limits: requests per second that each upstream names.
        served_ms: time that each upstream takes for a request.
        sent: when requests were sent to each upstream.
    """

    def __init__(self, holders: int, fenced: bool = True) -> None:
        takeover = Takeover(1)
        self.now = 0.0
        self.grantor = Grantor(POOL, RULES, ColdStartSettings(), takeover, 0.0)
        self.grantor.fenced = fenced
        self.grantor.warm_grants_from = 0.0
        self.grantor.set_upstreams(UPSTREAMS, SLOTS, 0.0)
        for tracked in self.grantor.upstreams.values():
            tracked.ramp = tracked.ramp.__class__(SLOTS, SLOTS)
        self.limits: dict[str, float | None] = {"u1": None, "u2": None}
        self.served_ms = {"u1": SERVED_MS, "u2": SERVED_MS}
        self.sent: dict[str, list[float]] = {"u1": [], "u2": []}
        self.in_flight: list[tuple[float, str, str, str]] = []
        self.holders = {
            f"h{n}": Holder(
                SharingConfig(RULES, SLOTS, 100, n + 1, random.Random(n))
            )
            for n in range(holders)
        }
        self.counter = 0
        self.set_grantor("g")

    def set_grantor(self, name: str | None) -> None:
        """Tell the holders which host is the grantor; None for none."""
        names = tuple(upstream.name for upstream in UPSTREAMS)
        view = PoolView(POOL, name, 0.5, True, names, names)
        for host, holder in self.holders.items():
            self.apply(host, holder.set_view([view], self.now))

    def run(
        self,
        duration_ms: float,
        wants_per_step: int,
        step_ms: float = STEP_MS,
    ) -> None:
        """Play requests that arrive at random holders."""
        rng = random.Random(7)
        end = self.now + duration_ms
        while self.now < end:
            self.now += step_ms
            self.finish_due()
            for _ in range(wants_per_step):
                self.counter += 1
                host = rng.choice(list(self.holders))
                wanted = Wanted(f"r{self.counter}", self.now + 400.0)
                self.apply(host, self.holders[host].want(wanted, self.now))
            for host, holder in self.holders.items():
                self.apply(host, holder.tick(self.now))
            self.deliver(self.grantor.tick(self.now))

    def finish_due(self) -> None:
        """End the requests that have been served."""
        due = [r for r in self.in_flight if r[0] <= self.now]
        self.in_flight = [r for r in self.in_flight if r[0] > self.now]
        for _, host, request, upstream in due:
            report = LimitReport(self.limits[upstream])
            effects = self.holders[host].done(
                request,
                Verdict.GOOD,
                self.served_ms[upstream],
                "",
                self.now,
                report,
            )
            self.apply(host, effects)

    def apply(self, host: str, effects: Iterable[Effect]) -> None:
        """Carry out the effects of a holder."""
        for effect in effects:
            if isinstance(effect, Start):
                upstream = effect.held.upstream
                self.sent[upstream].append(self.now)
                ends_at = self.now + self.served_ms[upstream]
                self.in_flight.append(
                    (ends_at, host, effect.request, upstream)
                )
            elif isinstance(effect, ToGrantor) and effect.host:
                self.deliver(self.pass_on(host, effect.message))

    def pass_on(self, host: str, message: HolderMessage) -> list[ToHolder]:
        """Pass a message to the grantor and return the replies."""
        if isinstance(message, Ask):
            return self.grantor.ask(host, message, self.now)
        if isinstance(message, Return):
            return self.grantor.take_back(host, message, self.now)
        if isinstance(message, Renew):
            return self.grantor.renew(host, message, self.now)
        if isinstance(message, Cancel):
            return self.grantor.cancel(host, message)
        assert isinstance(message, Register)
        return self.grantor.register(host, message, self.now)

    def deliver(self, messages: Iterable[ToHolder]) -> None:
        """Pass messages of the grantor to the holders."""
        for message in messages:
            holder = self.holders[message.host]
            self.apply(
                message.host, holder.heard("g", message.message, self.now)
            )
