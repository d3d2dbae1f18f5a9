"""Rate limits of simulated upstreams, and the hosts that grant requests."""

from dataclasses import dataclass
from dataclasses import field

from wigeongw.decisions import rate_limit
from wigeongw.decisions.rate_limit import GrantTerms
from wigeongw.decisions.rate_limit import LimitGrantor


@dataclass(slots=True)
class SimulatedLimits:
    """The grantors of all upstreams with a rate limit.

    Attributes:
        per_s: requests per second that each limited upstream takes.
        hosts: names of the entry hosts.
        upstreams: names of the upstreams with a limit.
        grantors: by upstream and name of the grantor.
        grantor_names: names of the grantors, by upstream.
        denied_until: by host and upstream, when each grantor may be asked.
        granted: when requests were granted, by upstream.
    """

    per_s: float
    hosts: list[str]
    upstreams: frozenset[str]
    grantors: dict[tuple[str, str], LimitGrantor] = field(default_factory=dict)
    denied_until: dict[tuple[str, str], dict[str, float]] = field(
        default_factory=dict
    )
    granted: dict[str, list[float]] = field(default_factory=dict)
    grantor_names: dict[str, list[str]] = field(default_factory=dict)

    def may_be_granted(self, host: str, upstream: str, now: float) -> bool:
        """Return whether a host may send to an upstream, or ask for it now."""
        if upstream not in self.upstreams:
            return True
        return bool(self._order_to_ask(host, upstream, now))

    def admit(self, host: str, upstream: str, now: float) -> bool:
        """Ask for one request; True also for upstreams without a limit."""
        if upstream not in self.upstreams:
            return True
        count = min(rate_limit.MAX_GRANTORS, len(self.hosts))
        terms = GrantTerms(self.per_s, count)
        denied_until = self.denied_until.setdefault((host, upstream), {})
        for name in self._order_to_ask(host, upstream, now):
            grantor = self.grantors.setdefault(
                (upstream, name), LimitGrantor(terms, True, now)
            )
            wait_ms = grantor.grant(terms, now)
            if wait_ms <= 0.0:
                self.granted.setdefault(upstream, []).append(now)
                return True
            denied_until[name] = now + wait_ms
        return False

    def _order_to_ask(self, host: str, upstream: str, now: float) -> list[str]:
        if upstream not in self.grantor_names:
            self.grantor_names[upstream] = rate_limit.choose_grantors(
                upstream, self.hosts, ()
            )
        return rate_limit.order_grantors(
            self.grantor_names[upstream],
            self.denied_until.get((host, upstream), {}),
            host,
            upstream,
            now,
        )
