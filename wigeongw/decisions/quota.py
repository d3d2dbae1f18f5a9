"""Keeps the quotas of client accounts over all hosts.

Answers accounts whose requests come to few of many hosts, or to all, and that
send far beyond their quota. One host in each availability zone grants an even
part of an account's quota to the hosts that have its requests, as they come.

Times are in milliseconds on the monotonic clock.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from wigeongw.core.clock import MS_PER_S
from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.core.site import Host
from wigeongw.decisions.host_limits import TokenBucket

# Share of the rate that is granted. The rest covers that a request is sent
# some time after its grant.
GRANTED_SHARE = 0.98
# A request is sent within this time after its grant, or not at all.
GRANT_TTL_MS = 300.0
# A host asks for the requests that it expects within this time.
BATCH_MS = 200.0
# Share of its part that a grantor grants which may have been replaced.
REPLACED_SHARE = 0.5
# A grantor that last heard of the store this long ago may have been replaced.
MAX_VIEW_AGE_MS = 3_000.0
# After a change of the hosts another host may have granted until now.
SETTLING_MS = 4_000.0
# Share of an even part among all hosts that a host grants itself when it
# reaches no grantor.
ALONE_SHARE = 0.5
MIN_WAIT_MS = 20.0
MAX_WAIT_MS = 2_000.0
# Added to a wait for each host that was denied since the last grant, as a
# share of the time until the next token.
WAIT_STEP_SHARE = 0.25
MAX_WANTED = 200
# Weight of the newest second in the estimate of the demand.
DEMAND_DECAY_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class Grant:
    """A grantor's answer.

    Attributes:
        count: requests that may be sent.
        wait_ms: time after which more are worth asking for; 0 if all that
            were asked for are granted.
    """

    count: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """What determines how much a grantor grants.

    Attributes:
        per_s: the account's quota in requests per second.
        burst: requests beyond that rate.
        zones: availability zones among which the quota is divided.
        may_be_replaced: whether other hosts may ask another grantor.
    """

    per_s: float
    burst: float
    zones: int
    may_be_replaced: bool = False

    @property
    def rate_per_s(self) -> float:
        """Requests per second that this grantor grants."""
        rate = GRANTED_SHARE * self.per_s / max(1, self.zones)
        return rate * REPLACED_SHARE if self.may_be_replaced else rate

    @property
    def capacity(self) -> float:
        """The maximum number of grants that this grantor saves up.

        Grants are whole, so the part of a small burst is rounded up.
        """
        return 1.0 + self.burst / max(1, self.zones)


class QuotaGrantor:
    """Grants requests of one account in one zone.

    Attributes:
        terms: the terms of the latest decision.
        bucket: unused grants.
        denied: asks that were denied since the last grant.
    """

    def __init__(
        self, terms: QuotaTerms, is_settled: bool, now: float
    ) -> None:
        """Create a grantor.

        Args:
            terms: the terms of the first decision.
            is_settled: whether no other host can have granted until now.
            now: current time.
        """
        self.terms = terms
        tokens = terms.capacity if is_settled else 0.0
        self.bucket = TokenBucket(
            terms.rate_per_s, terms.capacity, tokens, now
        )
        self.denied = 0

    def grant(self, terms: QuotaTerms, wanted: int, now: float) -> Grant:
        """Grant as many of the wanted requests as the quota allows."""
        if terms != self.terms:
            self.terms = terms
            self.bucket = self.bucket.carry_over_to(
                TokenBucket(
                    terms.rate_per_s, terms.capacity, terms.capacity, now
                )
            )
        count = min(wanted, int(self.bucket.refill(now)))
        self.bucket.tokens -= count
        if count == wanted:
            self.denied = 0
            return Grant(count, 0.0)
        missing = 1.0 - self.bucket.tokens
        wait_ms = missing / max(1e-9, self.bucket.rate) * MS_PER_S
        wait_ms *= 1.0 + WAIT_STEP_SHARE * self.denied
        self.denied += 1
        return Grant(count, min(MAX_WAIT_MS, max(MIN_WAIT_MS, wait_ms)))


class GrantedRequests:
    """What a host may send of one account, and how much it expects to need.

    Attributes:
        grants: number of requests and the end of their grant, oldest first.
        demand_per_s: requests per second of late.
        denied_until: by grantor, the time until which it is not asked.
    """

    def __init__(self, now: float) -> None:
        self.grants: list[tuple[int, float]] = []
        self.demand_per_s = 0.0
        self.demand_at = now
        self.denied_until: dict[str, float] = {}

    def record_demand(self, now: float) -> None:
        """Count a request of the account."""
        elapsed = max(0.0, now - self.demand_at) / DEMAND_DECAY_MS
        kept = max(0.0, 1.0 - elapsed)
        self.demand_per_s = self.demand_per_s * kept + 1.0
        self.demand_at = now

    def wanted(self, waiting: int) -> int:
        """Return how many requests to ask for.

        Args:
            waiting: requests that wait for a grant now.
        """
        expected = self.demand_per_s * BATCH_MS / MS_PER_S
        return min(MAX_WANTED, max(1, waiting, int(expected)))

    def add(self, count: int, now: float) -> None:
        """Add what a grantor granted."""
        if count > 0:
            self.grants.append((count, now + GRANT_TTL_MS))

    def take(self, now: float) -> bool:
        """Use one grant; return False when there is none in force."""
        while self.grants:
            count, ends_at = self.grants[0]
            if now >= ends_at:
                self.grants.pop(0)
                continue
            if count > 1:
                self.grants[0] = count - 1, ends_at
            else:
                self.grants.pop(0)
            return True
        return False


def choose_grantors(
    account: str, hosts: Iterable[Host], own_zone: str
) -> list[str]:
    """Return the grantors of an account, the own zone's first.

    Args:
        account: name of the account.
        hosts: all hosts that can be asked.
        own_zone: availability zone of the host that asks.
    """
    by_zone: dict[str, list[str]] = {}
    for host in hosts:
        by_zone.setdefault(host.availability_zone, []).append(host.name)
    ordered = sorted(by_zone, key=lambda zone: (zone != own_zone, zone))
    return [
        rank_by_rendezvous(f"quota|{account}", by_zone[zone], 1)[0]
        for zone in ordered
    ]


def retry_after_ms(
    denied_until: Mapping[str, float], now: float, spread: float
) -> float:
    """Return when a denied client should come back.

    Args:
        denied_until: by grantor, the time until which it is not asked.
        now: current time.
        spread: drawn from 0 to 1 for each client.
    """
    waits = [at - now for at in denied_until.values() if at > now]
    wait_ms = max(MIN_WAIT_MS, min(waits, default=MIN_WAIT_MS))
    return wait_ms * (1.0 + 0.5 * spread)


def alone_bucket(per_s: float, hosts: int, now: float) -> TokenBucket:
    """Return what a host grants itself when it reaches no grantor."""
    rate = ALONE_SHARE * per_s / max(1, hosts)
    return TokenBucket(rate, 1.0, 0.0, now)
