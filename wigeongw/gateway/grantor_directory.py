"""Knows which hosts grant requests to upstreams with a rate limit."""

from collections.abc import Mapping

from wigeongw.core.site import Host
from wigeongw.decisions import rate_limit
from wigeongw.gateway.target_state import TargetState


class GrantorDirectory:
    """Names the grantors of each upstream, and when they may be asked.

    Attributes:
        host_name: name of this host.
        hosts: the hosts of the site that can be asked, by name.
        hosts_changed_at: when a host joined or left last, monotonic clock.
        max_hosts: the largest number of hosts seen at a time.
        names_by_target: names of the grantors of an upstream, by its
            identity; filled on demand, as few upstreams have a limit.
        silent_until: by grantor, the time until which it is not asked since
            it did not reply, monotonic clock.
    """

    def __init__(self, host_name: str, now: float) -> None:
        self.host_name = host_name
        self.hosts: Mapping[str, Host] = {}
        self.hosts_changed_at = now
        self.max_hosts = 0
        self.names_by_target: dict[str, list[str]] = {}
        self.silent_until: dict[str, float] = {}

    def set_hosts(self, hosts: Mapping[str, Host], now: float) -> None:
        """Replace the hosts of the site."""
        askable = {
            name: host
            for name, host in hosts.items()
            if host.peer or name == self.host_name
        }
        if askable.keys() != self.hosts.keys():
            self.hosts_changed_at = now
            self.names_by_target = {}
            self.silent_until = {}
        self.hosts = askable
        self.max_hosts = max(self.max_hosts, len(askable))

    @property
    def grantor_count(self) -> int:
        """Number of hosts among which the rate of an upstream is divided."""
        return min(rate_limit.MAX_GRANTORS, max(1, self.max_hosts))

    def is_settled(self, now: float) -> bool:
        """Return whether the grantors have been the same for a while."""
        return now - self.hosts_changed_at > rate_limit.SETTLING_MS

    def grantors(self, target: TargetState) -> list[str]:
        """Return the names of the grantors of an upstream."""
        identity = target.target.identity
        names = self.names_by_target.get(identity)
        if names is None:
            zone = target.target.availability_zone
            local = {
                name
                for name, host in self.hosts.items()
                if host.availability_zone == zone
            }
            others = self.hosts.keys() - local
            names = rate_limit.choose_grantors(identity, local, others)
            self.names_by_target[identity] = names
        return names

    def order_to_ask(self, target: TargetState, now: float) -> list[str]:
        """Return the grantors of an upstream that may be asked now."""
        names = self.grantors(target)
        denied_until = {
            name: self._denied_until(target, name) for name in names
        }
        return rate_limit.order_grantors(
            names, denied_until, self.host_name, target.target.identity, now
        )

    def wait_ms(self, target: TargetState, now: float) -> float:
        """Return the time until a grantor of an upstream may be asked.

        Returns:
            Milliseconds; 0 for an upstream without a limit.
        """
        if target.limit_per_s is None:
            return 0.0
        waits = (
            max(0.0, self._denied_until(target, name) - now)
            for name in self.grantors(target)
        )
        return min(waits, default=rate_limit.MAX_WAIT_MS)

    def _denied_until(self, target: TargetState, name: str) -> float:
        """Return the time until which a grantor is not asked."""
        return max(
            target.denied_until.get(name, 0.0),
            self.silent_until.get(name, 0.0),
        )
