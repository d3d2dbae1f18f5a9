"""Tests that permits keep the rate limits that upstreams name."""

from collections.abc import Iterable
import random
import unittest

from standins.counting import max_in_window
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
WINDOW_MS = 4_000.0
UPSTREAMS = tuple(Upstream(n, "", "dial-watch", "amman") for n in ("u1", "u2"))
RULES = PermitSettings()
LIMIT = LimitReport(1.0)


class PermitSite:
    """Holders and one grantor that exchange messages without delay.

    Attributes:
        limits: requests per second that each upstream names.
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

    def run(self, duration_ms: float, wants_per_step: int) -> None:
        """Play requests that arrive at random holders."""
        rng = random.Random(7)
        end = self.now + duration_ms
        while self.now < end:
            self.now += STEP_MS
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
                request, Verdict.GOOD, SERVED_MS, "", self.now, report
            )
            self.apply(host, effects)

    def apply(self, host: str, effects: Iterable[Effect]) -> None:
        """Carry out the effects of a holder."""
        for effect in effects:
            if isinstance(effect, Start):
                upstream = effect.held.upstream
                self.sent[upstream].append(self.now)
                self.in_flight.append(
                    (self.now + SERVED_MS, host, effect.request, upstream)
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


class PermitRateLimitTest(unittest.TestCase):
    def test_holders_keep_the_limit_and_use_it(self) -> None:
        for holders in (1, 12, 40):
            for per_s in (1.0, 4.0, 20.0):
                with self.subTest(holders=holders, per_s=per_s):
                    site = PermitSite(holders)
                    site.run(1_000.0, 2)
                    site.limits["u1"] = per_s
                    named_at = site.now + 500.0
                    site.run(9_000.0, 2)
                    most = max_in_window(
                        (t for t in site.sent["u1"] if t >= named_at),
                        WINDOW_MS,
                    )
                    self.assertLessEqual(most, 6.0 * per_s + 5.0)
                    used = [t for t in site.sent["u1"] if t >= named_at]
                    self.assertGreaterEqual(len(used), 0.8 * per_s * 8.5)

    def test_limit_that_ends_is_forgotten(self) -> None:
        site = PermitSite(4)
        site.limits["u1"] = 2.0
        site.run(3_000.0, 2)
        site.limits["u1"] = None
        site.run(3_000.0, 2)
        recent = [t for t in site.sent["u1"] if t > site.now - 1_000.0]
        self.assertGreater(len(recent), 20)

    def test_limit_that_comes_and_goes_gains_requests(self) -> None:
        site = PermitSite(1)
        grantor = site.grantor
        tracked = grantor.upstreams["u1"]
        granted = 0
        for step in range(40):
            site.now = step * 10.0
            named = Return(POOL, 0, "u1", Verdict.GOOD, 1.0, "", LIMIT)
            grantor.take_back("h0", named, site.now)
            limit = tracked.rate_limit
            assert limit is not None
            granted += limit.grant(limit.terms, site.now) <= 0.0
            ended = Return(
                POOL, 0, "u1", Verdict.GOOD, 1.0, "", LimitReport(None)
            )
            grantor.take_back("h0", ended, site.now)
        self.assertLessEqual(granted, 2)

    def test_long_response_ends_a_limit_that_was_named_meanwhile(
        self,
    ) -> None:
        ended = LimitReport(None)
        self.assertEqual(ended.after(50.0), ended)
        self.assertIsNone(ended.after(2_000.0))
        self.assertEqual(LIMIT.after(2_000.0), LIMIT)

    def test_hosts_without_a_grantor_keep_the_limit(self) -> None:
        for holders in (1, SLOTS):
            with self.subTest(holders=holders):
                site = PermitSite(holders)
                site.limits["u1"] = 3.0
                site.run(3_000.0, 2)
                site.set_grantor(None)
                isolated_at = site.now
                site.run(9_000.0, 2)
                most = max_in_window(
                    (t for t in site.sent["u1"] if t >= isolated_at), WINDOW_MS
                )
                self.assertLessEqual(most, 6.0 * 3.0 + 5.0)

    def test_new_grantor_takes_the_limit_over(self) -> None:
        site = PermitSite(2)
        site.limits["u1"] = 2.5
        site.run(2_000.0, 2)
        known = {view.upstream: view for view in site.grantor.views()}
        self.assertEqual(known["u1"].rate_limit_per_s, 2.5)
        successor = Grantor(
            POOL, RULES, ColdStartSettings(), Takeover(2, known), site.now
        )
        successor.set_upstreams(UPSTREAMS, SLOTS, site.now)
        limit = successor.upstreams["u1"].rate_limit
        assert limit is not None
        self.assertFalse(limit.has_grant(site.now))

    def test_permits_in_use_when_the_limit_is_named_are_used_once(
        self,
    ) -> None:
        site = PermitSite(3)
        site.run(500.0, 3)
        site.limits["u1"] = 1.0
        site.run(300.0, 3)
        named_at = site.now
        site.run(4_000.0, 3)
        recent = [t for t in site.sent["u1"] if t > named_at]
        self.assertLessEqual(len(recent), 6.0 * 1.0 + 5.0)

    def test_grantor_without_the_fence_grants_half(self) -> None:
        counts = []
        for fenced in (True, False):
            site = PermitSite(3, fenced)
            site.limits["u1"] = 10.0
            site.run(1_000.0, 2)
            start = site.now
            site.run(8_000.0, 2)
            counts.append(sum(1 for t in site.sent["u1"] if t > start))
        self.assertLess(counts[1], 0.6 * counts[0])


if __name__ == "__main__":
    unittest.main()
