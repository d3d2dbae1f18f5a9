"""What an upstream says of itself counts, whatever happens to its entry.

Plays orders of events that a view may see between two statements of an
upstream: its entry rewritten, gone and back, of another start, a zone out and
back, a new configuration. Statements arrive with answers to requests that may
have been sent long before. No clock but one that the test sets.
"""

from dataclasses import replace
import os
import random
import unittest

from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from wigeongw.adapters.native_dialect import NativeDialect
from wigeongw.adapters.notice_codec import UpstreamLeaving
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import HostConfig
from wigeongw.core.site import Target
from wigeongw.decisions import site_view
from wigeongw.gateway.availability_reader import AvailabilityReader
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.rate_limit_reader import RateLimitReader
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.catalog import Change
from wigeongw.ports.catalog import TargetGone
from wigeongw.ports.catalog import ZoneEvacuated
from wigeongw.ports.catalog import ZoneRestored
from wigeongw.ports.dialect import ResponseKind

NAMES = NativeDialect.names
NEVER = float("-inf")
IDENTITIES = ("one", "two")
PAUSE_S = 5
LIMIT_PER_S = 2.5
identities = strategies.sampled_from(IDENTITIES)


class StoppedClock(Clock):
    """A clock that stands still unless the test moves it."""

    now_ms = 1_000.0

    def now(self) -> float:
        """Return the time that was set."""
        return self.now_ms


class NoNotices:
    """Stands in for the exchange with other hosts."""

    def __init__(self) -> None:
        self.handlers: dict[type, object] = {}

    def tell_all(self, notice: UpstreamLeaving) -> None:
        """Tell nobody."""


class SelfReportMachine(RuleBasedStateMachine):
    """Compares a host's state with what upstreams have said, by start."""

    def __init__(self) -> None:
        super().__init__()
        self.null_fd = os.open(os.devnull, os.O_WRONLY)
        clock = StoppedClock()
        self.clock = clock
        host = HostConfig("h1", "amman", "127.0.0.1:1", "", "")
        log = DecisionLog(clock, "h1", self.null_fd)
        self.state = GatewayState(
            host, clock, random.Random(1), log, Metrics()
        )
        notices = NoNotices()
        self.availability = AvailabilityReader(
            self.state,
            NAMES,
            notices,  # type: ignore[arg-type]
        )
        self.limits = RateLimitReader(self.state, NAMES)
        self.born = dict.fromkeys(IDENTITIES, 0.0)
        # Requests in progress refer to the state that was there at the start.
        self.asked: list[TargetState] = []
        self.leaving: set[tuple[str, float]] = set()
        self.held_until: dict[tuple[str, float], float] = {}
        self.limited: set[tuple[str, float]] = set()
        self.apply(configuration(), *map(self.entry, IDENTITIES))

    def teardown(self) -> None:
        """Close what the log writes to."""
        os.close(self.null_fd)

    def entry(self, identity: str, slots: int = 4) -> Target:
        """Return the entry of the present start of an upstream."""
        born = self.born[identity]
        return Target(
            identity, "s", "127.0.0.1:1", "amman", slots, born_ms=born
        )

    def apply(self, *changes: Change) -> None:
        """Apply changes to the view."""
        view = site_view.apply_changes(self.state.view, changes, 0.0, NEVER)
        self.state.apply_view(view)

    @rule(identity=identities, slots=strategies.integers(1, 9))
    def entry_is_written(self, identity: str, slots: int) -> None:
        """Rewrite an entry, or bring it back."""
        self.apply(self.entry(identity, slots))

    @rule(identity=identities)
    def entry_is_gone(self, identity: str) -> None:
        """Remove an entry, whether its upstream has ended or not."""
        self.apply(TargetGone(identity))

    @rule(identity=identities)
    def upstream_starts_again(self, identity: str) -> None:
        """Write the entry of a later start."""
        self.born[identity] += 1.0
        self.apply(self.entry(identity))

    @rule(is_out=strategies.booleans())
    def zone_changes(self, is_out: bool) -> None:
        """Take the zone out, or back."""
        self.apply(ZoneEvacuated("amman") if is_out else ZoneRestored("amman"))

    @rule(timeout_ms=strategies.integers(500, 3_000))
    def configuration_changes(self, timeout_ms: int) -> None:
        """Put another configuration in force."""
        known = self.state.view.configuration
        assert known is not None
        changed = configuration(known.revision + 1, "s", float(timeout_ms))
        self.apply(changed)

    @rule(identity=identities)
    def request_is_sent(self, identity: str) -> None:
        """Begin a request whose answer comes later."""
        if identity in self.state.targets:
            self.asked.append(self.state.targets[identity])

    @rule(elapsed_ms=strategies.sampled_from((1.0, 400.0, 6_000.0)))
    def time_passes(self, elapsed_ms: float) -> None:
        """Move the clock."""
        self.clock.now_ms += elapsed_ms

    @rule(
        says_leaving=strategies.booleans(),
        pauses=strategies.booleans(),
        is_limited=strategies.booleans(),
        newest=strategies.booleans(),
    )
    def answer_comes(
        self,
        says_leaving: bool,
        pauses: bool,
        is_limited: bool,
        newest: bool,
    ) -> None:
        """Complete a request, the newest or the oldest one."""
        if not self.asked:
            return
        target = self.asked.pop(-1 if newest else 0)
        headers = []
        start = target.target.identity, target.target.born_ms
        if says_leaving:
            headers.append((NAMES.leaving, "1"))
            self.leaving.add(start)
        if pauses:
            headers.append(("retry-after", str(PAUSE_S)))
            until = self.clock.now() + 1_000.0 * PAUSE_S
            self.held_until[start] = until
        if is_limited:
            headers.append((NAMES.rate_limit, str(LIMIT_PER_S)))
            self.limited.add(start)
        reply = BufferedReply(
            503 if pauses else 200,
            [(name.encode(), value.encode()) for name, value in headers],
            fields=dict(headers),
        )
        self.availability.read(target, reply)
        # A rejection never ends a limit, so the model needs no order of times.
        self.limits.read(
            target, reply, ResponseKind.REJECTED, self.clock.now()
        )

    @invariant()
    def reports_count(self) -> None:
        """Each upstream of the view is treated as it has said."""
        now = self.clock.now()
        for identity, target in self.state.targets.items():
            start = identity, target.target.born_ms
            is_held = self.held_until.get(start, NEVER) > now
            assert target.is_leaving == (start in self.leaving), "leaving"
            assert is_held <= (target.held_until > now), "pause"
            limit = LIMIT_PER_S if start in self.limited else None
            assert target.limit_per_s == limit, "rate limit"
            if target.is_leaving or is_held:
                assert not self.state.is_usable(target), "usable"


SelfReportTest = SelfReportMachine.TestCase
SelfReportTest.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


class AnswerAfterReturnTest(unittest.TestCase):
    """The orders in which a report was lost."""

    def setUp(self) -> None:
        self.machine = SelfReportMachine()
        self.addCleanup(self.machine.teardown)

    def be_gone_and_back(self) -> None:
        self.machine.entry_is_gone("one")
        self.machine.entry_is_written("one", 4)

    def say(self, **said: bool) -> None:
        nothing = dict.fromkeys(
            ("says_leaving", "pauses", "is_limited"), False
        )
        self.machine.answer_comes(**{**nothing, **said}, newest=True)

    def expect_kept(self, **said: bool) -> None:
        """Let reports count that come before and after a return."""
        for is_before in (True, False):
            with self.subTest(is_before=is_before):
                self.machine.request_is_sent("one")
                if is_before:
                    self.say(**said)
                self.be_gone_and_back()
                if not is_before:
                    self.say(**said)
                self.machine.reports_count()
            self.machine.upstream_starts_again("one")

    def test_leaving(self) -> None:
        """It was used again if its entry came back before its answer."""
        self.expect_kept(says_leaving=True)

    def test_pause(self) -> None:
        """A pause ended with the entry."""
        self.expect_kept(pauses=True)

    def test_rate_limit(self) -> None:
        """A limit ended with the entry, until the next answer named it."""
        self.expect_kept(is_limited=True)

    def test_many_departures_do_not_displace_what_is_in_use(self) -> None:
        """Reports of upstreams in the view are kept beside any number gone."""
        self.machine.request_is_sent("one")
        self.say(says_leaving=True)
        for number in range(3_000):
            target = replace(self.machine.entry("two"), identity=f"t{number}")
            self.machine.apply(target)
            states = self.machine.state.targets
            self.machine.state.mark_leaving(states[target.identity])
            self.machine.apply(TargetGone(target.identity))
        self.be_gone_and_back()
        self.machine.reports_count()


if __name__ == "__main__":
    unittest.main()
