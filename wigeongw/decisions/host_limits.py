"""Local rate limits of a host, derived from limits for the whole site.

Each host applies a fixed share of a site limit. The share is computed from
the largest number of hosts that may be live, so that the sum over all hosts
stays within the limit without coordination, even when hosts disagree about
which hosts are live. The cost is that part of the limit remains unused.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import math
import random

from wigeongw.core.clock import MS_PER_S
from wigeongw.core.identifiers import rank_by_rendezvous
from wigeongw.core.site import Service
from wigeongw.core.site import SiteLimits

# Hosts that may exist in addition to those that this host knows, as a share
# of the known hosts.
SPARE_HOSTS_RATIO = 0.2
# Share of the probe limit for the hosts in the availability zone of an
# upstream. They send most of its requests and therefore need most probes.
SAME_ZONE_PROBE_SHARE = 0.7
# Maximum capacity of the token bucket for probes.
MAX_PROBE_BURST = 2.0
# Maximum number of hosts that send requests to a cold upstream. Each of them
# may have saved one token, and all of these may be spent in the same second.
MAX_COLD_HOSTS = 6
# Share of the cold start rate limit that is distributed to the hosts.
COLD_RATE_SHARE = 0.9
# Share of the retry limit that is distributed to the hosts. The rest covers
# two differences: the limit counts requests at the clients, not at the hosts,
# and a restarted host begins with a full bucket.
RETRY_LIMIT_SHARE = 0.75
# Maximum capacity of the token bucket for extra attempts.
MAX_RETRY_BURST = 4.0
# Time constant of the exponential decay of tokens earned by requests. Tokens
# can be saved because many requests fail at once when an upstream crashes.
# The window of the retry limit is several times as long.
EARNED_DECAY_MS = 3_000.0
# Tokens that hedging of late requests leaves for retries of failed requests.
# A late request may still receive its response, a failed one is lost without
# a retry.
FAILED_RETRY_RESERVE = 1.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket.

    Attributes:
        rate: tokens added per second.
        capacity: the maximum number of tokens.
        tokens: tokens available at ``at_ms``.
        at_ms: time of the last refill, monotonic milliseconds.
    """

    rate: float
    capacity: float
    tokens: float
    at_ms: float

    def refill(self, now: float) -> float:
        """Add the tokens accrued until now and return the number available."""
        accrued = max(0.0, now - self.at_ms) / MS_PER_S * self.rate
        self.tokens = min(self.capacity, self.tokens + accrued)
        self.at_ms = now
        return self.tokens

    def take(self, now: float) -> bool:
        """Take one token; return False when none is available."""
        if self.refill(now) < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def carry_over_to(self, successor: "TokenBucket") -> "TokenBucket":
        """Limit the tokens of a replacement bucket to those left in this one.

        Args:
            successor: the bucket that replaces this one; modified in place.

        Returns:
            The replacement bucket.
        """
        self.refill(successor.at_ms)
        successor.tokens = min(self.tokens, successor.capacity)
        return successor


def max_live_hosts(known: int) -> int:
    """Return the maximum number of live hosts for a number of known hosts."""
    return max(1, math.ceil(known * (1.0 + SPARE_HOSTS_RATIO)))


def probe_bucket(
    bounds: SiteLimits,
    same_zone_hosts: int,
    other_hosts: int,
    same_zone: bool,
    now: float,
) -> TokenBucket:
    """Create the token bucket of this host for probes of one upstream.

    All hosts together stay within the site limit in any second, because each
    host spends at most its rate plus one full bucket per second.

    Args:
        bounds: limits of the site.
        same_zone_hosts: number of hosts in the availability zone of the
            upstream.
        other_hosts: number of all other hosts.
        same_zone: whether this host is in the availability zone of the
            upstream.
        now: monotonic clock in milliseconds.
    """
    if not same_zone_hosts or not other_hosts:
        share, hosts = 1.0, same_zone_hosts + other_hosts
    elif same_zone:
        share, hosts = SAME_ZONE_PROBE_SHARE, same_zone_hosts
    else:
        share, hosts = 1.0 - SAME_ZONE_PROBE_SHARE, other_hosts
    per_host = bounds.probes_per_s * share / max_live_hosts(hosts)
    burst = max(1.0, min(MAX_PROBE_BURST, per_host / 3.0))
    return TokenBucket(
        max(per_host / 2.0, per_host - burst), burst, burst, now
    )


def cold_bucket(
    bounds: SiteLimits,
    service: Service,
    hosts: int,
    now: float,
    rng: random.Random,
) -> TokenBucket:
    """Create the token bucket of this host for requests to a cold upstream.

    The bucket starts with a random fraction of a token, so that hosts that
    discover a cold upstream at the same time do not all send at once.

    Args:
        bounds: limits of the site.
        service: the service of the upstream.
        hosts: number of hosts that send to the upstream while it is cold,
            including this host; 0 when this host is not one of them.
        now: monotonic clock in milliseconds.
        rng: draws the initial fraction of a token.
    """
    if not hosts:
        return TokenBucket(0.0, 0.0, 0.0, now)
    max_hosts = max_live_hosts(hosts)
    allowed_rate = (
        service.cold_per_s * bounds.cold_rate_factor * COLD_RATE_SHARE
    )
    saved_tokens = float(max_hosts)
    rate = (
        min(allowed_rate, allowed_rate + bounds.cold_rate_slack - saved_tokens)
        / max_hosts
    )
    return TokenBucket(max(0.0, rate), 1.0, rng.random() * 0.9, now)


def cold_hosts(upstream: str, hosts: Iterable[str]) -> list[str]:
    """Choose the hosts that send to an upstream while it is cold.

    Hosts in the same availability zone send most of its requests; all others
    wait until it is warm. With fewer hosts, each receives a larger share of
    the rate limit.

    Args:
        upstream: identity of the upstream.
        hosts: names of the hosts in the availability zone of the upstream.
    """
    return rank_by_rendezvous(upstream, hosts, MAX_COLD_HOSTS)


class HostRetryBudget:
    """Budget of this host for extra attempts at one service.

    Extra attempts are retries of failed requests and hedged requests. Tokens
    come from two sources: each client request earns a fraction of a token
    that decays over time, and a token bucket refills at a constant rate.
    """

    def __init__(self, bounds: SiteLimits, hosts: int, now: float) -> None:
        per_host = (
            bounds.retry_slack * RETRY_LIMIT_SHARE / max_live_hosts(hosts)
        )
        capacity = max(1.0, min(MAX_RETRY_BURST, per_host / 2.0))
        window_s = bounds.retry_window_ms / MS_PER_S
        rate = max(0.0, per_host - capacity) / window_s
        self.ratio = bounds.retry_ratio * RETRY_LIMIT_SHARE
        self.bucket = TokenBucket(rate, capacity, capacity / 2.0, now)
        self.earned = 0.0
        self.earned_at = now

    def earn(self, now: float) -> None:
        """Add the tokens that one client request earns."""
        self._decay_earned(now)
        self.earned += self.ratio

    def spend(self, now: float, reserve: float = 0.0) -> bool:
        """Take one token for an extra attempt.

        Args:
            now: monotonic clock in milliseconds.
            reserve: number of tokens that must remain afterwards.

        Returns:
            False when there are not enough tokens.
        """
        if self.left(now) < 1.0 + reserve:
            return False
        self.earned -= 1.0
        if self.earned < 0.0:
            self.bucket.tokens += self.earned
            self.earned = 0.0
        return True

    def carry_over_to(self, successor: "HostRetryBudget") -> "HostRetryBudget":
        """Carry the remaining tokens over to a replacement budget.

        Args:
            successor: the budget that replaces this one; modified in place.

        Returns:
            The replacement budget.
        """
        successor.bucket = self.bucket.carry_over_to(successor.bucket)
        successor.earned, successor.earned_at = self.earned, self.earned_at
        return successor

    def left(self, now: float) -> float:
        """Return the number of tokens available."""
        self._decay_earned(now)
        return self.earned + self.bucket.refill(now)

    def _decay_earned(self, now: float) -> None:
        elapsed = max(0.0, now - self.earned_at) / EARNED_DECAY_MS
        self.earned *= math.exp(-elapsed)
        self.earned_at = now
