"""State that the tasks of one host share: view, upstreams, estimates."""

import asyncio
from dataclasses import replace
import random

from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.adapters.quota_codec import hash_account
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import Clock
from wigeongw.core.metrics import Metrics
from wigeongw.core.site import ClientAccount
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import RateLimit
from wigeongw.core.site import Route
from wigeongw.core.site import Service
from wigeongw.core.site import SiteLimits
from wigeongw.core.site import Target
from wigeongw.decisions import estimates
from wigeongw.decisions import host_reachability
from wigeongw.decisions import placement as placements
from wigeongw.decisions import quota
from wigeongw.decisions import relay_selection
from wigeongw.decisions.accounts import AccountIndex
from wigeongw.decisions.estimates import ServiceTimeEstimate
from wigeongw.decisions.host_limits import HostRetryBudget
from wigeongw.decisions.placement import Candidate
from wigeongw.decisions.queue_order import TypicalTimeout
from wigeongw.decisions.routing import index_routes
from wigeongw.decisions.routing import RouteIndex
from wigeongw.decisions.routing import Split
from wigeongw.decisions.site_view import SiteView
from wigeongw.decisions.store_absence import StoreAbsence
from wigeongw.gateway.decision_log import DecisionLog
from wigeongw.gateway.grantor_directory import GrantorDirectory
from wigeongw.gateway.limit_shares import LimitShares
from wigeongw.gateway.rollout_traffic import RolloutTraffic
from wigeongw.gateway.self_report import NEVER
from wigeongw.gateway.self_report import SelfReports
from wigeongw.gateway.self_report import UpstreamStart
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.catalog import UNKNOWN_ERA

# Older samples do not count for the utilization of a service.
MAX_UTILIZATION_SAMPLE_AGE_MS = 1_000.0


class GatewayState:
    """State shared by the tasks of one host, all on one event loop.

    Attributes:
        view: the current view of the site.
        route_index: routes of the current configuration.
        account_index: client accounts of the current configuration, by key.
        accounts_by_hash: the same, by the hash used in datagrams.
        grantors_by_account: hosts that grant the quota of an account, filled
            on demand.
        splits: traffic split of each route, by route name.
        targets: state of each known upstream, by identity.
        targets_by_service: the same states, by service.
        work_estimates: expected duration of requests, by route name and
            service.
        typical_timeouts: usual timeout of the clients, by route name.
        shares: this host's shares of the limits over all hosts.
        targets_by_key: the same states, by the hash used in datagrams.
        peer_addresses: address for datagrams of each other host, by name.
        peer_ips: IP addresses from which datagrams are accepted.
        grantor_directory: the hosts that grant requests to upstreams with a
            rate limit.
        stopping: whether a graceful stop has begun.
        store_absence: when the store was away.
        hosts_answered: whether other hosts answered, by name, while their
            entries may be out of date; empty otherwise.
        store_answered_at: when the store last answered this host, or the
            host that this one asks for others, monotonic clock.
        relay_plan: who asks whom for changes, by the hosts of the view.
        store_era: the highest era of the store that this host knows.
        rollouts: which version of a service requests go to.
        self_reports: what upstreams report of themselves; kept apart from the
            view, which may lose and regain their entries.
        store_returned: set, and then replaced, when the store answers again
            and when the view is of a new era of the store.
    """

    def __init__(
        self,
        host_config: HostConfig,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.host_config = host_config
        self.clock = clock
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.view = SiteView()
        self.route_index = RouteIndex({})
        self.account_index = AccountIndex()
        self.accounts_by_hash: dict[int, ClientAccount] = {}
        self.grantors_by_account: dict[str, list[str]] = {}
        self.splits: dict[str, Split] = {}
        self.targets: dict[str, TargetState] = {}
        self.targets_by_service: dict[str, list[TargetState]] = {}
        self.targets_by_key: dict[int, TargetState] = {}
        self.peer_addresses: dict[str, tuple[str, int]] = {}
        self.peer_ips: frozenset[str] = frozenset()
        self.grantor_directory = GrantorDirectory(
            host_config.name, clock.now()
        )
        self.work_estimates: dict[tuple[str, str], ServiceTimeEstimate] = {}
        self.typical_timeouts: dict[str, TypicalTimeout] = {}
        self.shares = LimitShares(host_config, clock, rng)
        self.stopping = False
        self.store_absence = StoreAbsence()
        self.hosts_answered: dict[str, bool] = {}
        self.store_answered_at = float("-inf")
        self.store_era = UNKNOWN_ERA
        self.relay_plan = relay_selection.make_plan(())
        self.store_returned = asyncio.Event()
        self.self_reports = SelfReports()
        self.rollouts = RolloutTraffic(clock, rng)

    @property
    def ready(self) -> bool:
        """Whether clients should be sent to this host."""
        return self.view.configuration is not None and not self.stopping

    @property
    def bounds(self) -> SiteLimits:
        """The limits for the whole site, over all hosts."""
        return self.host_config.bounds

    def apply_view(self, view: SiteView) -> list[Target]:
        """Replace the view and update the state that depends on it.

        Returns:
            The upstreams that were removed, or replaced by a later start.
        """
        old = self.view
        self.view = view
        if view.hosts is not old.hosts:
            self._apply_hosts()
        if view.configuration is not old.configuration:
            self._apply_configuration()
        removed = []
        if view.targets is not old.targets:
            removed = self._apply_targets()
        has_rollouts = view.orders or view.statuses
        if has_rollouts:
            self.rollouts.update(view)
        if (
            view.targets is not old.targets
            or view.evacuated is not old.evacuated
            or has_rollouts
        ):
            self._choose_subsets()
        self.shares.update(self.targets.values())
        if view.position.era != old.position.era:
            self.announce_store_return()
        return removed

    def apply_rollouts(self) -> None:
        """Apply what has become known of an order apart from the view."""
        self.rollouts.update(self.view)
        self._choose_subsets()

    def announce_store_return(self) -> None:
        """Wake the tasks that wait for the store to answer again."""
        self.store_returned.set()
        self.store_returned = asyncio.Event()

    def learn_era(self, era: int) -> None:
        """Record an era that the store or another host named."""
        if era <= self.store_era:
            return
        self.log.add("store", event="era", before=self.store_era, era=era)
        self.store_era = era

    def nameable_hosts(self) -> list[Host]:
        """Return the hosts that an address lookup names."""
        return host_reachability.nameable(self.view.hosts, self.hosts_answered)

    def record_lookup(self, address_count: int) -> None:
        """Count an address lookup; log one that cannot be answered."""
        if address_count:
            self.metrics.count("lookups_total", "answered")
            return
        self.metrics.count("lookups_total", "no_host")
        self.log.add(
            "lookup",
            event="no_host",
            era=self.view.position.era,
            position=self.view.position.revision,
            has_configuration=int(self.view.configuration is not None),
            stopping=int(self.stopping),
        )

    def update_bounds(self, bounds: SiteLimits) -> None:
        """Replace the site's limits."""
        self.host_config = replace(self.host_config, bounds=bounds)
        self.shares.host_config = self.host_config
        self.shares.update(self.targets.values())

    def accounts(self) -> tuple[ClientAccount, ...]:
        """Return the client accounts of the current configuration."""
        configuration = self.view.configuration
        return configuration.accounts if configuration else ()

    def quota_grantors(self, account: str) -> list[str]:
        """Return the hosts that grant an account's quota, nearest first."""
        names = self.grantors_by_account.get(account)
        if names is None:
            names = quota.choose_grantors(
                account,
                self.grantor_directory.hosts.values(),
                self.host_config.availability_zone,
            )
            self.grantors_by_account[account] = names
        return names

    def zone_count(self) -> int:
        """Return among how many zones site-wide quotas are divided."""
        return len({*self.host_config.zones, *self.shares.max_hosts_by_zone})

    def split(self, route: Route) -> Split:
        """Return the traffic split of a route over its services."""
        split = self.splits.get(route.name)
        if split is None or split.shares != route.shares:
            split = Split(route.shares, self.rng)
            self.splits[route.name] = split
        return split

    def work_estimate(self, route: Route, service: str) -> ServiceTimeEstimate:
        """Return the expected duration of a route's requests at a service."""
        key = (route.name, service)
        estimate = self.work_estimates.get(key)
        if estimate is None:
            estimate = estimates.initial_estimate(route.objective_ms)
            self.work_estimates[key] = estimate
        return estimate

    def typical_timeout(self, route: Route) -> TypicalTimeout:
        """Return the typical timeout of a route's clients."""
        return self.typical_timeouts.setdefault(route.name, TypicalTimeout())

    def retry_budget(self, service: str) -> HostRetryBudget:
        """Return this host's retry budget for a service."""
        return self.shares.retry_budget(service)

    def service(self, name: str) -> Service | None:
        """Return a service of the current configuration, if it exists."""
        configuration = self.view.configuration
        return configuration.services.get(name) if configuration else None

    def is_usable(self, state: TargetState) -> bool:
        """Return whether an upstream may receive requests now.

        It may not while it pauses, nor if one of the reasons of
        ``is_in_service`` stands against it.
        """
        has_paused = state.held_until > NEVER
        if has_paused and state.held_until > self.clock.now():
            return False
        return self.is_in_service(state)

    def is_in_service(self, state: TargetState) -> bool:
        """Return whether an upstream may receive requests at some time.

        It may not if it was removed, is draining or leaves, if its address
        belongs to another upstream, or if its availability zone is evacuated.
        """
        target = state.target
        return (
            self.targets.get(target.identity) is state
            and not target.draining
            and not state.is_leaving
            and not state.misdirected
            and target.availability_zone not in self.view.evacuated
            and not self.rollouts.is_barred(target)
        )

    def mark_leaving(self, state: TargetState) -> bool:
        """Record that an upstream said that it leaves.

        Returns:
            Whether this was not known.
        """
        if state.is_leaving:
            return False
        state.self_report.is_leaving = True
        return True

    def pause_ms(self, service: str) -> float | None:
        """Return when the first upstream that pauses takes requests again.

        Returns:
            Milliseconds from now; None unless all upstreams in service pause.
        """
        states = self.targets_by_service.get(service, [])
        serving = [s for s in states if self.is_in_service(s)]
        ends_at = min((s.held_until for s in serving), default=0.0)
        pause_ms = ends_at - self.clock.now()
        return pause_ms if pause_ms > 0.0 else None

    def usable_targets(self, service: str) -> list[TargetState]:
        """Return the upstreams of a service that may receive requests.

        Those of a canary are left out, and the old ones while the new version
        has all requests, unless there are no others.
        """
        states = self.targets_by_service.get(service, [])
        usable = [state for state in states if self.is_usable(state)]
        if service not in self.rollouts.orders:
            return usable
        usable = [s for s in usable if not self.rollouts.is_canary(s.target)]
        new = [s for s in usable if not self.rollouts.is_old_in_full(s.target)]
        return new or usable

    def canary_targets(self, service: str) -> list[TargetState]:
        """Return the usable upstreams that get a canary's requests."""
        states = self.targets_by_service.get(service, [])
        return [
            state
            for state in states
            if self.rollouts.is_canary(state.target) and self.is_usable(state)
        ]

    def preferred_targets(self, service: str) -> list[TargetState]:
        """Return the usable upstreams that this host considers for requests.

        These are its subset, and the cold upstreams to which it may send.
        Where there are none, all usable upstreams are returned.
        """
        now = self.clock.now()
        usable = self.usable_targets(service)
        preferred = [
            state for state in usable if self._is_preferred(state, now)
        ]
        return preferred or usable

    def other_targets(self, service: str) -> list[TargetState]:
        """Return the usable warm upstreams that this host does not prefer."""
        now = self.clock.now()
        return [
            state
            for state in self.usable_targets(service)
            if state.cold_until <= now and not self._is_preferred(state, now)
        ]

    @staticmethod
    def _is_preferred(state: TargetState, now: float) -> bool:
        is_cold = state.cold_until > now
        return state.in_subset or (is_cold and state.cold_bucket.rate > 0.0)

    def candidate(self, state: TargetState, now: float) -> Candidate:
        """Build the placement candidate for an upstream."""
        sample = state.sample
        sample_at = sample.at_ms if sample is not None else 0.0
        unreported = state.count_unreported_sends(sample_at, now)
        is_cold = state.cold_until > now
        return Candidate(
            state.target,
            self.is_in_local_zone(state.target),
            sample,
            unreported,
            state.risk.decayed(now),
            is_cold,
            is_cold or now - state.confirmed_warm_at > placements.WARM_TTL_MS,
            state.probe_bucket.refill(now) >= 1.0,
            state.cold_bucket.refill(now) >= 1.0,
            state.is_silent(now),
            state.in_subset,
            rate_limited=state.limit_per_s is not None,
            may_be_granted=self.grantor_directory.wait_ms(state, now) <= 0.0,
        )

    def learn_rate_limit(self, target: TargetState, limit: RateLimit) -> None:
        """Apply what another host knows about the limit of an upstream."""
        before = target.limit_per_s
        target.self_report.learn_rate_limit(limit)
        if target.limit_per_s == before:
            return
        self.log.add(
            "limit",
            to=target.target.identity,
            event="told",
            before_per_s=before,
            per_s=target.limit_per_s,
            age_ms=self.clock.now() - limit.at_ms,
        )

    def utilization(self, service: str) -> float:
        """Return the share of a service's slots in use, 0 to 1.

        Only recent samples of the upstreams that this host considers count.
        Those with a rate limit have free slots that nobody may use, and count
        only if there are no others. Without any, a default is returned.
        """
        now = self.clock.now()
        used = slots = 0
        preferred = self.preferred_targets(service)
        unlimited = [s for s in preferred if s.limit_per_s is None]
        for state in unlimited or preferred:
            sample = state.sample
            if (
                sample is None
                or now - sample.at_ms > MAX_UTILIZATION_SAMPLE_AGE_MS
            ):
                continue
            used += sample.running + sample.waiting
            slots += sample.slots
        return (
            min(1.0, used / slots) if slots else placements.UNKNOWN_UTILIZATION
        )

    def is_in_local_zone(self, target: Target) -> bool:
        """Return whether an upstream is in this host's availability zone."""
        return target.availability_zone == self.host_config.availability_zone

    # Applying a view

    def _apply_hosts(self) -> None:
        self.shares.set_hosts(self.view.hosts)
        self.peer_addresses = self._find_peer_addresses()
        self.peer_ips = frozenset(ip for ip, _ in self.peer_addresses.values())
        self.grantor_directory.set_hosts(self.view.hosts, self.clock.now())
        self.relay_plan = relay_selection.make_plan(self.view.hosts)
        self.grantors_by_account = {}

    def _find_peer_addresses(self) -> dict[str, tuple[str, int]]:
        """Return the addresses of other hosts; invalid ones are logged."""
        addresses = {}
        for host in self.view.hosts.values():
            if host.name == self.host_config.name or not host.peer:
                continue
            try:
                addresses[host.name] = split_address(host.peer)
            except ValueError as error:
                self.log.add(
                    "view",
                    event="bad_peer_address",
                    what=host.name,
                    cause=str(error),
                )
        return addresses

    def _apply_configuration(self) -> None:
        configuration = self.view.configuration
        assert configuration is not None
        self.shares.set_configuration(configuration)
        self.route_index = index_routes(configuration)
        self.account_index = AccountIndex(configuration.accounts)
        self.accounts_by_hash = {
            hash_account(account.name): account
            for account in configuration.accounts
        }
        names = {route.name for route in configuration.routes}
        self.splits = {k: v for k, v in self.splits.items() if k in names}
        self.work_estimates = {
            k: v for k, v in self.work_estimates.items() if k[0] in names
        }
        self.typical_timeouts = {
            k: v for k, v in self.typical_timeouts.items() if k in names
        }

    def _apply_targets(self) -> list[Target]:
        removed = []
        for identity, state in list(self.targets.items()):
            if identity not in self.view.targets:
                del self.targets[identity]
                self.self_reports.remove(state.target)
                removed.append(state.target)
        for identity, target in self.view.targets.items():
            known = self.targets.get(identity)
            if known is None:
                self.targets[identity] = self._new_target_state(target)
            elif _is_other_start(known.target, target):
                self.self_reports.remove(known.target)
                removed.append(known.target)
                self.targets[identity] = self._new_target_state(target)
            else:
                known.target = target
        self.targets_by_service = {}
        for state in self.targets.values():
            name = state.target.service
            self.targets_by_service.setdefault(name, []).append(state)
        self.targets_by_key = {
            hash_identity(identity): state
            for identity, state in self.targets.items()
        }
        return removed

    def _choose_subsets(self) -> None:
        """Choose the upstreams that this host prefers, for each service."""
        now = self.clock.now()
        host = self.host_config.name
        for service, states in self.targets_by_service.items():
            local: list[str] = []
            remote: list[str] = []
            cold: set[str] = set()
            for state in self.usable_targets(service):
                identity = state.target.identity
                is_local = self.is_in_local_zone(state.target)
                (local if is_local else remote).append(identity)
                if state.cold_until > now:
                    cold.add(identity)
            subset = placements.choose_subset(
                host, local, placements.SUBSET_SIZE, cold
            ) | placements.choose_subset(
                host, remote, placements.REMOTE_SUBSET_SIZE, cold
            )
            for state in states:
                state.in_subset = state.target.identity in subset

    def _new_target_state(self, target: Target) -> TargetState:
        return TargetState(
            target,
            self.shares.new_probe_bucket(target),
            self.shares.new_cold_bucket(target),
            cold_until=self.clock.now() + target.cold_left_ms,
            self_report=self.self_reports.add(target),
        )


def _is_other_start(known: Target, found: Target) -> bool:
    """Return whether an upstream was restarted since it was last seen."""
    return UpstreamStart.of(known) != UpstreamStart.of(found)
