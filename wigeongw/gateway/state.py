"""What the tasks of one host share: its view, its upstreams, its log."""

from collections import Counter
from dataclasses import replace
import random

from wigeongw.core.clock import Clock
from wigeongw.core.site import Bounds
from wigeongw.core.site import HostIdentity
from wigeongw.core.site import Route
from wigeongw.core.site import Service
from wigeongw.core.site import Target
from wigeongw.daemon.metrics import Metrics
from wigeongw.decisions import learned
from wigeongw.decisions import placing
from wigeongw.decisions import shares
from wigeongw.decisions.learned import Work
from wigeongw.decisions.placing import Candidate
from wigeongw.decisions.queueing import TypicalPatience
from wigeongw.decisions.routing import index_routes
from wigeongw.decisions.routing import RouteIndex
from wigeongw.decisions.routing import Split
from wigeongw.decisions.shares import Bucket
from wigeongw.decisions.shares import RetryShare
from wigeongw.decisions.site_view import SiteView
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.target_state import TargetState

# Samples up to this age tell how busy a service is as a whole.
BUSY_LASTS_MS = 1_000.0


class HostState:
    """The state that a host's tasks share; all run on one event loop."""

    def __init__(
        self,
        me: HostIdentity,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.me = me
        self.clock = clock
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.view = SiteView()
        self.index = RouteIndex({})
        self.splits: dict[str, Split] = {}
        self.targets: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.work: dict[tuple[str, str], Work] = {}
        self.patience: dict[str, TypicalPatience] = {}
        self.retries: dict[str, RetryShare] = {}
        # The most hosts seen at a time, by availability zone.
        self.hosts_most: Counter[str] = Counter()
        self.shares_dealt_for: object = None
        self.stopping = False
        self.store_heard_ms = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.view.configuration is not None and not self.stopping

    @property
    def bounds(self) -> Bounds:
        """What was agreed for the site."""
        return self.me.bounds

    def take_view(self, view: SiteView) -> list[Target]:
        """Take over a new view.

        Returns:
            Upstreams that are gone.
        """
        old = self.view
        self.view = view
        if view.hosts is not old.hosts:
            self._take_hosts()
        if view.configuration is not old.configuration:
            self._take_configuration()
        gone = []
        if view.targets is not old.targets:
            gone = self._take_targets()
        self._deal_shares()
        return gone

    def take_bounds(self, bounds: Bounds) -> None:
        """Take over changed bounds."""
        self.me = replace(self.me, bounds=bounds)
        self._deal_shares()

    def split(self, route: Route) -> Split:
        """Return how a route's requests are dealt."""
        found = self.splits.get(route.name)
        if found is None or found.shares != route.shares:
            found = Split(route.shares, self.rng)
            self.splits[route.name] = found
        return found

    def work_of(self, route: Route, service: str) -> Work:
        """Return how long a route's requests take at a service."""
        key = (route.name, service)
        found = self.work.get(key)
        if found is None:
            found = learned.first_guess(route.objective_ms)
            self.work[key] = found
        return found

    def patience_of(self, route: Route) -> TypicalPatience:
        """Return what time limit the callers of a route usually give."""
        return self.patience.setdefault(route.name, TypicalPatience())

    def retry_share(self, service: str) -> RetryShare:
        """Return this host's part of a service's further sends."""
        found = self.retries.get(service)
        if found is None:
            found = self._new_retry_share()
            self.retries[service] = found
        return found

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        configuration = self.view.configuration
        return configuration.services.get(name) if configuration else None

    def usable(self, service: str) -> list[TargetState]:
        """Return the upstreams of a service that may get requests."""
        evacuated = self.view.evacuated
        return [
            state
            for state in self.by_service.get(service, [])
            if not state.target.draining
            and not state.misdirected
            and state.target.availability_zone not in evacuated
        ]

    def candidate(self, state: TargetState, now: float) -> Candidate:
        """Describe an upstream for placing."""
        sample = state.sample
        seen = sample.at_ms if sample is not None else 0.0
        sent = state.sent_since(seen, now)
        cold = state.cold_until > now
        return Candidate(
            state.target,
            self.is_near(state.target),
            sample,
            sent,
            state.risk.now(now),
            cold,
            cold or now - state.warm_at > placing.WARM_LASTS_MS,
            state.probes.refill(now) >= 1.0,
            state.cold.refill(now) >= 1.0,
            state.silent,
            state.own,
        )

    def busy_at(self, service: str) -> float:
        """Return the share of slots in use, from what was sampled last."""
        now = self.clock.now()
        used = slots = 0
        for state in self.usable(service):
            sample = state.sample
            if sample is None or now - sample.at_ms > BUSY_LASTS_MS:
                continue
            used += sample.running + sample.waiting
            slots += sample.slots
        return min(1.0, used / slots) if slots else placing.UNKNOWN_BUSY

    def is_near(self, target: Target) -> bool:
        """Say whether an upstream is in this host's availability zone."""
        return target.availability_zone == self.me.availability_zone

    # Inside

    def _take_hosts(self) -> None:
        zones = (h.availability_zone for h in self.view.hosts.values())
        # Hosts that are away may be back before this host hears of it.
        self.hosts_most |= Counter(zones)

    def _take_configuration(self) -> None:
        configuration = self.view.configuration
        assert configuration is not None
        self.index = index_routes(configuration)
        names = {route.name for route in configuration.routes}
        self.splits = {k: v for k, v in self.splits.items() if k in names}
        self.work = {k: v for k, v in self.work.items() if k[0] in names}
        self.patience = {k: v for k, v in self.patience.items() if k in names}

    def _take_targets(self) -> list[Target]:
        gone = []
        for identity, state in list(self.targets.items()):
            if identity not in self.view.targets:
                del self.targets[identity]
                gone.append(state.target)
        for identity, target in self.view.targets.items():
            held = self.targets.get(identity)
            if held is None or _is_another(held.target, target):
                self.targets[identity] = self._new_target(target)
            else:
                held.target = target
        self.by_service = {}
        for state in self.targets.values():
            name = state.target.service
            self.by_service.setdefault(name, []).append(state)
        for states in self.by_service.values():
            near = [s for s in states if self.is_near(s.target)]
            own = placing.own_part(
                self.me.name, (s.target.identity for s in near)
            )
            for state in near:
                state.own = state.target.identity in own
        return gone

    def _new_target(self, target: Target) -> TargetState:
        return TargetState(
            target,
            self._new_probe_share(target),
            self._new_cold_share(target),
            cold_until=self.clock.now() + target.cold_left_ms,
        )

    # This host's parts of what holds over all hosts together

    def _deal_shares(self) -> None:
        """Work out all parts anew when what they rest on has changed."""
        configuration = self.view.configuration
        services = configuration.services if configuration else {}
        names = frozenset(self.view.hosts)
        basis = (self.bounds, dict(self.hosts_most), names, services)
        if basis == self.shares_dealt_for:
            return
        self.shares_dealt_for = basis
        for state in self.targets.values():
            target = state.target
            state.probes = state.probes.dealt_anew(
                self._new_probe_share(target)
            )
            state.cold = state.cold.dealt_anew(self._new_cold_share(target))
        for name, share in self.retries.items():
            self.retries[name] = share.dealt_anew(self._new_retry_share())

    def _new_probe_share(self, target: Target) -> Bucket:
        near = self.hosts_most[target.availability_zone]
        far = self.hosts_most.total() - near
        return shares.probe_bucket(
            self.bounds, near, far, self.is_near(target), self.clock.now()
        )

    def _new_cold_share(self, target: Target) -> Bucket:
        service = self.service(target.service)
        assumed = service or Service(target.service, "/", 1, 0.0, 1.0)
        now = self.clock.now()
        hosts = self._cold_hosts(target)
        return shares.cold_bucket(self.bounds, assumed, hosts, now, self.rng)

    def _cold_hosts(self, target: Target) -> int:
        """Return among how many hosts a cold upstream is shared; 0: not me."""
        zone = target.availability_zone
        known = {h.name: h for h in self.view.hosts.values()}
        near = {n for n, h in known.items() if h.availability_zone == zone}
        if self.is_near(target):
            near.add(self.me.name)
        most = self.hosts_most[zone]
        if not near:
            near = {*known, self.me.name}
            most = self.hosts_most.total()
        sharing = shares.cold_hosts(target.identity, near)
        if self.me.name not in sharing:
            return 0
        return max(len(sharing), min(shares.COLD_HOSTS, most))

    def _new_retry_share(self) -> RetryShare:
        hosts = self.hosts_most.total()
        return RetryShare(self.bounds, hosts, self.clock.now())


def _is_another(held: Target, found: Target) -> bool:
    """Say whether an entry is of another start of its upstream."""
    return held.address != found.address or held.born_ms != found.born_ms
