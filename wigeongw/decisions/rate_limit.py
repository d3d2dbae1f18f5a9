"""Keeps the request rate that an upstream accepts from all hosts together.

Answers the load of upstreams in need, which name the requests per second that
they take from all hosts together. That can be less than one request for each
host and window, so fixed parts for the hosts would be useless. Instead, two
hosts, the grantors of the upstream, grant single requests to all others, each
from a token bucket. The buckets add up to less than the limit. A new grantor
starts with an empty bucket, and a grantor that may have been replaced without
knowing it grants at half of its rate. Hosts that disagree about the grantors
for a while therefore still keep the limit.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from wigeongw.core.clock import MS_PER_S
from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.decisions.host_limits import TokenBucket

# Hosts that grant requests to one upstream. With two, half of the rate remains
# in use while one of them is down.
MAX_GRANTORS = 2
# Share of the limit that is granted. The rest covers that a request arrives
# some milliseconds after its grant.
GRANTED_SHARE = 0.95
# Share of its rate at which a grantor grants that may have been replaced.
REPLACED_SHARE = 0.5
# A grantor that last heard of the store this long ago may have been replaced:
# its entry there expires at about that time.
MAX_VIEW_AGE_MS = 3_000.0
# Capacity of a bucket in tokens, plus seconds of the upstream's whole limit.
BURST_TOKENS = 1.5
BURST_S = 0.15
# An upstream that names less is still sent a request now and then, as its
# responses are the only sign that the limit has ended.
MIN_RATE_PER_S = 0.1
# After a change of the hosts another host may have granted requests until now.
SETTLING_MS = 4_000.0
# A request is sent within this time after it was granted, or not at all.
GRANT_TTL_MS = 250.0
# Limits on the time after which a host may ask again for a denied request.
MIN_WAIT_MS = 5.0
MAX_WAIT_MS = 1_000.0
# Added to a wait for each host that was denied since the last grant, as a
# share of the time until the next token: all would come back at once.
WAIT_STEP_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class GrantTerms:
    """What determines how many requests a grantor grants.

    Attributes:
        per_s: requests per second that the upstream accepts.
        grantors: number of hosts that grant requests to the upstream.
        may_be_replaced: whether other hosts may ask another grantor in its
            place, without this one knowing it.
    """

    per_s: float
    grantors: int
    may_be_replaced: bool = False

    @property
    def rate_per_s(self) -> float:
        """Requests per second that this grantor grants."""
        rate = GRANTED_SHARE * max(MIN_RATE_PER_S, self.per_s)
        rate /= max(1, self.grantors)
        return rate * REPLACED_SHARE if self.may_be_replaced else rate

    @property
    def capacity(self) -> float:
        """The maximum number of unused grants that this grantor keeps."""
        return (
            1.0
            if self.may_be_replaced
            else BURST_TOKENS + BURST_S * self.per_s
        )


@dataclass(frozen=True, slots=True)
class Admission:
    """Leave to send one request to an upstream.

    Attributes:
        granted_at: when a grantor granted it, monotonic milliseconds; None if
            the upstream named no limit.
    """

    granted_at: float | None = None

    def is_valid(self, is_limited: bool, now: float) -> bool:
        """Return whether the request may still be sent.

        Args:
            is_limited: whether the upstream names a limit now.
            now: monotonic clock in milliseconds.
        """
        if not is_limited:
            return True
        if self.granted_at is None:
            return False
        return now - self.granted_at <= GRANT_TTL_MS


class LimitGrantor:
    """Grants requests to one upstream.

    The caller passes the current time as `now`, in monotonic milliseconds.

    Attributes:
        terms: the terms of the latest decision.
        bucket: unused grants.
        denied: requests that were denied since the last grant.
    """

    def __init__(self, terms: GrantTerms, settled: bool, now: float) -> None:
        """Create a grantor.

        Args:
            terms: the terms of the first decision.
            settled: whether no other host can have granted requests until
                now. The first request is then granted at once.
            now: current time.
        """
        self.terms = terms
        self.bucket = _new_bucket(terms, now)
        self.bucket.tokens = 1.0 if settled else 0.0
        self.denied = 0

    def set_terms(self, terms: GrantTerms, now: float) -> None:
        """Apply changed terms; unused grants are kept up to the capacity."""
        if terms != self.terms:
            self.terms = terms
            self.bucket = self.bucket.carry_over_to(_new_bucket(terms, now))

    def has_grant(self, now: float) -> bool:
        """Return whether the next request would be granted."""
        return self.bucket.refill(now) >= 1.0

    def grant(self, terms: GrantTerms, now: float) -> float:
        """Decide about one request.

        Returns:
            0 when it is granted, else the milliseconds after which it is
            worth asking again.
        """
        self.set_terms(terms, now)
        if self.bucket.take(now):
            self.denied = 0
            return 0.0
        missing = 1.0 - self.bucket.tokens
        wait_ms = missing / self.bucket.rate * MS_PER_S
        wait_ms *= 1.0 + WAIT_STEP_SHARE * self.denied
        self.denied += 1
        return min(MAX_WAIT_MS, max(MIN_WAIT_MS, wait_ms))


def usable_slots(slots: int, per_s: float | None, work_ms: float) -> float:
    """Return how many slots of an upstream its rate limit leaves in use.

    Args:
        slots: concurrent requests of the upstream.
        per_s: its rate limit; None when it names none.
        work_ms: service time of one request.
    """
    if per_s is None:
        return float(slots)
    return min(float(slots), per_s * work_ms / MS_PER_S)


def choose_grantors(
    upstream: str, same_zone: Iterable[str], others: Iterable[str]
) -> list[str]:
    """Choose the hosts that grant requests to an upstream.

    Hosts in its availability zone go first, since they send most of its
    requests.

    Args:
        upstream: identity of the upstream.
        same_zone: names of the hosts in its availability zone.
        others: names of all other hosts.
    """
    local = rank_by_rendezvous(upstream, same_zone, MAX_GRANTORS)
    missing = MAX_GRANTORS - len(local)
    return local + rank_by_rendezvous(upstream, others, missing)


def order_grantors(
    grantors: Sequence[str],
    denied_until: Mapping[str, float],
    host: str,
    upstream: str,
    now: float,
) -> list[str]:
    """Return the grantors that a host may ask now, in the order to ask them.

    The host itself goes first, as it answers at once. All others are asked in
    an order that differs between hosts, so that both grantors get requests.

    Args:
        grantors: names of the grantors.
        denied_until: by grantor, the time until which it is not asked.
        host: name of the host that asks.
        upstream: identity of the upstream.
        now: monotonic clock in milliseconds.
    """
    available = [
        name for name in grantors if denied_until.get(name, now) <= now
    ]
    ranked = rank_by_rendezvous(f"{host}|{upstream}", available, MAX_GRANTORS)
    return sorted(ranked, key=lambda name: name != host)


def earliest_grant_ms(waits_ms: Sequence[float], ahead: int) -> float:
    """Estimate when a request may be sent if all upstreams are limited.

    Args:
        waits_ms: for each upstream, the time until a grantor may be asked.
        ahead: requests that are queued before it at this host.

    Returns:
        The time in milliseconds.
    """
    ordered = sorted(waits_ms)
    rounds, position = divmod(ahead, len(ordered))
    return ordered[position] + rounds * ordered[-1]


def _new_bucket(terms: GrantTerms, now: float) -> TokenBucket:
    return TokenBucket(terms.rate_per_s, terms.capacity, terms.capacity, now)
