"""Each host's part of bounds that hold over all hosts together.

A part is fixed by the largest number of hosts that may be live, so the sum
holds under every split of views and needs no agreement. Underspending is the
price.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import math
import random

from wigeongw.core.clock import MS_PER_S
from wigeongw.core.identity import rendezvous
from wigeongw.core.site import Bounds
from wigeongw.core.site import Service

# Hosts that may be added or be missing from this host's view.
SPARE_HOSTS_RATIO = 0.2
# The hosts beside an upstream place most of its requests, so most of the
# probes are theirs.
NEAR_PART = 0.7
NEAR_BURST = 2.0
# How many hosts send to an upstream while it is cold. Each may have a request
# saved up, and all of these may come in the same second.
COLD_HOSTS = 6
# Of the rate that the bound allows the part that is dealt out.
COLD_PART = 0.9
# Of the retry bound the part that is dealt out; requests are counted by
# clients, not by hosts, and restarted hosts begin with a full bucket.
RETRY_PART = 0.75
RETRY_BURST_MOST = 4.0
# What requests earn can be saved up this long, since many fail at once when
# an upstream dies; the bound looks at windows several times as long.
EARNED_LASTS_MS = 3_000.0
# Further sends that late requests leave for failed ones: a late request may
# still be answered, a failed one is lost without a further send.
KEPT_FOR_FAILED = 1.0


@dataclass(slots=True)
class Bucket:
    """A token bucket.

    Attributes:
        rate: tokens a second.
        most: tokens that may be saved up.
    """

    rate: float
    most: float
    tokens: float
    at_ms: float

    def refill(self, now: float) -> float:
        """Add what has accrued and return the tokens there are."""
        gained = max(0.0, now - self.at_ms) / MS_PER_S * self.rate
        self.tokens = min(self.most, self.tokens + gained)
        self.at_ms = now
        return self.tokens

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        if self.refill(now) < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def dealt_anew(self, part: "Bucket") -> "Bucket":
        """Return a new part that holds no more than this one has left."""
        self.refill(part.at_ms)
        part.tokens = min(self.tokens, part.most)
        return part


def hosts_most(known: int) -> int:
    """Return how many hosts may be live when this many are known."""
    return max(1, math.ceil(known * (1.0 + SPARE_HOSTS_RATIO)))


def probe_bucket(
    bounds: Bounds, near_hosts: int, far_hosts: int, near: bool, now: float
) -> Bucket:
    """Build this host's bucket for probes of one upstream.

    In any second all hosts together stay within the bound: each spends at
    most its rate and one full bucket.

    Args:
        bounds: of the site.
        near_hosts: hosts in the upstream's availability zone.
        far_hosts: all others.
        near: this host is one of the former.
        now: monotonic clock.
    """
    if not near_hosts or not far_hosts:
        part, hosts = 1.0, near_hosts + far_hosts
    elif near:
        part, hosts = NEAR_PART, near_hosts
    else:
        part, hosts = 1.0 - NEAR_PART, far_hosts
    each = bounds.probes_per_s * part / hosts_most(hosts)
    burst = max(1.0, min(NEAR_BURST, each / 3.0))
    return Bucket(max(each / 2.0, each - burst), burst, burst, now)


def cold_bucket(
    bounds: Bounds,
    service: Service,
    hosts: int,
    now: float,
    rng: random.Random,
) -> Bucket:
    """Build this host's bucket for requests to one cold upstream.

    It starts with a random part of a token, so that hosts which meet a cold
    upstream at the same moment do not all send at once.

    Args:
        bounds: of the site.
        service: the upstream's.
        hosts: that send to it while it is cold, this one among them; 0 when
            this one does not.
        now: monotonic clock.
        rng: draws the part of a token.
    """
    if not hosts:
        return Bucket(0.0, 0.0, 0.0, now)
    sharing = hosts_most(hosts)
    sustained = service.cold_per_s * bounds.cold_over * COLD_PART
    saved = float(sharing)
    rate = min(sustained, sustained + bounds.cold_slack - saved) / sharing
    return Bucket(max(0.0, rate), 1.0, rng.random() * 0.9, now)


def cold_hosts(upstream: str, near: Iterable[str]) -> list[str]:
    """Name the hosts that send to an upstream while it is cold.

    Hosts near by place most of its requests; the others wait until it is
    warm. Fewer hosts leave more of the bound to each.

    Args:
        upstream: its identity.
        near: names of the hosts near by.
    """
    return rendezvous(upstream, near, COLD_HOSTS)


class RetryShare:
    """This host's part of the further sends to one service."""

    def __init__(self, bounds: Bounds, hosts: int, now: float) -> None:
        each = bounds.retry_slack * RETRY_PART / hosts_most(hosts)
        most = max(1.0, min(RETRY_BURST_MOST, each / 2.0))
        window_s = bounds.retry_window_ms / MS_PER_S
        rate = max(0.0, each - most) / window_s
        self.ratio = bounds.retry_ratio * RETRY_PART
        self.bucket = Bucket(rate, most, most / 2.0, now)
        self.earned = 0.0
        self.earned_at = now

    def earn(self, now: float) -> None:
        """Count a request of a client."""
        self._fade(now)
        self.earned += self.ratio

    def spend(self, now: float, keep: float = 0.0) -> bool:
        """Pay for a further send.

        Args:
            now: monotonic clock.
            keep: what must be left afterwards.

        Returns:
            False when there is not enough left.
        """
        if self.left(now) < 1.0 + keep:
            return False
        self.earned -= 1.0
        if self.earned < 0.0:
            self.bucket.tokens += self.earned
            self.earned = 0.0
        return True

    def dealt_anew(self, part: "RetryShare") -> "RetryShare":
        """Return a new part that holds no more than this one has left."""
        part.bucket = self.bucket.dealt_anew(part.bucket)
        part.earned, part.earned_at = self.earned, self.earned_at
        return part

    def left(self, now: float) -> float:
        """Return how many further sends are paid for."""
        self._fade(now)
        return self.earned + self.bucket.refill(now)

    def _fade(self, now: float) -> None:
        gone = max(0.0, now - self.earned_at) / EARNED_LASTS_MS
        self.earned *= math.exp(-gone)
        self.earned_at = now
