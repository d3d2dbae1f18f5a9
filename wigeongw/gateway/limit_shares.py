"""This host's shares of the limits over all hosts together.

The limits on probes, on requests to cold upstreams and on retries are divided
by the largest number of hosts seen, and dealt anew when the hosts, the
services or the limits change.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
import random

from wigeongw.core.clock import Clock
from wigeongw.core.site import Configuration
from wigeongw.core.site import Host
from wigeongw.core.site import HostConfig
from wigeongw.core.site import Service
from wigeongw.core.site import Target
from wigeongw.decisions import host_limits
from wigeongw.decisions.host_limits import HostRetryBudget
from wigeongw.decisions.host_limits import TokenBucket
from wigeongw.gateway.target_state import TargetState


class LimitShares:
    """Deals this host its shares.

    Attributes:
        host_config: name, zone and site limits of this host.
        hosts: the hosts of the site by name.
        max_hosts_by_zone: the largest number of hosts seen at a time, by
            availability zone.
        services: services of the current configuration by name.
        retry_budgets: this host's retry budget, by service.
        basis: inputs from which the shares were computed.
    """

    def __init__(
        self, host_config: HostConfig, clock: Clock, rng: random.Random
    ) -> None:
        self.host_config = host_config
        self.clock = clock
        self.rng = rng
        self.hosts: Mapping[str, Host] = {}
        self.max_hosts_by_zone: Counter[str] = Counter()
        self.services: Mapping[str, Service] = {}
        self.retry_budgets: dict[str, HostRetryBudget] = {}
        self.basis: object = None

    def set_hosts(self, hosts: Mapping[str, Host]) -> None:
        """Replace the hosts of the site.

        The largest number is kept because a host that disappeared may return
        before this host learns of it.
        """
        self.hosts = hosts
        zones = (host.availability_zone for host in hosts.values())
        self.max_hosts_by_zone |= Counter(zones)

    def set_configuration(self, configuration: Configuration) -> None:
        """Replace the services."""
        self.services = configuration.services

    def update(self, targets: Iterable[TargetState]) -> None:
        """Deal the shares anew if one of their inputs has changed.

        Args:
            targets: the states that hold the buckets of all upstreams.
        """
        basis = (
            self.host_config.bounds,
            dict(self.max_hosts_by_zone),
            frozenset(self.hosts),
            self.services,
        )
        if basis == self.basis:
            return
        self.basis = basis
        for state in targets:
            target = state.target
            state.probe_bucket = state.probe_bucket.carry_over_to(
                self.new_probe_bucket(target)
            )
            state.cold_bucket = state.cold_bucket.carry_over_to(
                self.new_cold_bucket(target)
            )
        for name, budget in self.retry_budgets.items():
            self.retry_budgets[name] = budget.carry_over_to(
                self._new_retry_budget()
            )

    def retry_budget(self, service: str) -> HostRetryBudget:
        """Return this host's retry budget for a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self._new_retry_budget()
            self.retry_budgets[service] = budget
        return budget

    def new_probe_bucket(self, target: Target) -> TokenBucket:
        """Create the bucket for this host's probes of an upstream."""
        local = self.max_hosts_by_zone[target.availability_zone]
        remote = self.max_hosts_by_zone.total() - local
        return host_limits.probe_bucket(
            self.host_config.bounds,
            local,
            remote,
            self._is_in_local_zone(target),
            self.clock.now(),
        )

    def new_cold_bucket(self, target: Target) -> TokenBucket:
        """Create the bucket for this host's requests during a warm-up."""
        service = self.services.get(target.service)
        service_or_default = service or Service(
            target.service, "/", 1, 0.0, 1.0
        )
        return host_limits.cold_bucket(
            self.host_config.bounds,
            service_or_default,
            self._count_cold_hosts(target),
            self.clock.now(),
            self.rng,
        )

    def _count_cold_hosts(self, target: Target) -> int:
        """Count the hosts that share the limit of an upstream's warm-up.

        Returns:
            0 when this host may not send to it during the warm-up.
        """
        zone = target.availability_zone
        own_name = self.host_config.name
        local = {
            name
            for name, host in self.hosts.items()
            if host.availability_zone == zone
        }
        if self._is_in_local_zone(target):
            local.add(own_name)
        max_hosts = self.max_hosts_by_zone[zone]
        if not local:
            local = {*self.hosts, own_name}
            max_hosts = self.max_hosts_by_zone.total()
        cold_hosts = host_limits.cold_hosts(target.identity, local)
        if own_name not in cold_hosts:
            return 0
        return max(len(cold_hosts), min(host_limits.MAX_COLD_HOSTS, max_hosts))

    def _new_retry_budget(self) -> HostRetryBudget:
        hosts = self.max_hosts_by_zone.total()
        return HostRetryBudget(
            self.host_config.bounds, hosts, self.clock.now()
        )

    def _is_in_local_zone(self, target: Target) -> bool:
        return target.availability_zone == self.host_config.availability_zone
