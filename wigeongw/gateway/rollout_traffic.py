"""Which version of a service requests go to while another is brought in."""

from collections.abc import Collection
import enum
import random

from wigeongw.core.clock import Clock
from wigeongw.core.site import RolloutOrder
from wigeongw.core.site import RolloutStatus
from wigeongw.core.site import Target
from wigeongw.decisions import rollout
from wigeongw.decisions.rollout import AnswerCounts
from wigeongw.decisions.rollout import Phase
from wigeongw.decisions.site_view import SiteView

COUNTED_PHASES = frozenset((Phase.CANARY, Phase.HALF, Phase.FULL))


class VersionChoice(enum.Enum):
    """The upstreams of a service that a request may go to."""

    ANY = "any"
    CANARY = "canary"
    OLD = "old"
    NEW = "new"


class RolloutTraffic:
    """The orders that this host knows, and what it saw of their versions.

    Attributes:
        orders: the last order of each service.
        statuses: the highest status known of each of them.
        learned_at: when this host learned of an order, by service and
            version, monotonic milliseconds.
        rejected: services and versions that were found bad.
        canaries: identities of the upstreams that get a canary's requests.
        counts: this host's answers while an order runs, by service, route and
            whether the version is the new one.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.orders: dict[str, RolloutOrder] = {}
        self.statuses: dict[str, RolloutStatus] = {}
        self.learned_at: dict[tuple[str, str], float] = {}
        self.rejected: set[tuple[str, str]] = set()
        self.canaries: frozenset[str] = frozenset()
        self.counts: dict[tuple[str, str, bool], AnswerCounts] = {}

    def update(self, view: SiteView) -> None:
        """Apply the orders, statuses and upstreams of a view."""
        for service, order in view.orders.items():
            known = self.orders.get(service)
            if known is None or known.version != order.version:
                self._forget_counts(service)
                key = service, order.version
                self.learned_at.setdefault(key, self.clock.now())
        self.orders = view.orders
        for status in view.statuses.values():
            self.learn_status(status)
        self._choose_canaries(view.targets.values())

    def learn_status(self, status: RolloutStatus) -> None:
        """Apply a status, unless a later phase of the order is known."""
        known = self.statuses.get(status.service)
        is_same = known is not None and known.version == status.version
        if is_same and known is not None and known.phase >= status.phase:
            return
        self.statuses[status.service] = status

    def reject(self, service: str, version: str) -> None:
        """Send nothing more to a version that was found bad."""
        self.rejected.add((service, version))

    def phase(self, service: str) -> Phase | None:
        """Return how far the order of a service has come; None without one."""
        order = self.orders.get(service)
        if order is None:
            return None
        if (service, order.version) in self.rejected:
            return Phase.ROLLED_BACK
        status = self.statuses.get(service)
        if status is None or status.version != order.version:
            return Phase.WAITING
        return Phase(status.phase)

    def is_new(self, target: Target) -> bool:
        """Return whether an upstream has the version that was ordered."""
        order = self.orders.get(target.service)
        return order is not None and target.version == order.version

    def is_barred(self, target: Target) -> bool:
        """Return whether an upstream's version may get no requests now."""
        if not self.orders:
            return False
        phase = self.phase(target.service)
        if phase is None or phase is Phase.HALF:
            return False
        if not self.is_new(target):
            return phase is Phase.COMPLETE
        if phase is Phase.CANARY:
            return target.identity not in self.canaries
        return rollout.new_share(phase) == 0.0

    def is_canary(self, target: Target) -> bool:
        """Return whether an upstream gets only a canary's requests."""
        return bool(self.orders) and target.identity in self.canaries

    def is_old_in_full(self, target: Target) -> bool:
        """Return whether an upstream only finishes what it has."""
        if not self.orders or self.is_new(target):
            return False
        return self.phase(target.service) is Phase.FULL

    def choose(self, service: str) -> VersionChoice:
        """Choose the upstreams for the first send of a request."""
        if service not in self.orders:
            return VersionChoice.ANY
        phase = self.phase(service)
        if phase is Phase.CANARY:
            is_canary = self.rng.random() < rollout.CANARY_SHARE
            return VersionChoice.CANARY if is_canary else VersionChoice.ANY
        if phase is Phase.HALF:
            is_new = self.rng.random() < rollout.HALF_SHARE
            return VersionChoice.NEW if is_new else VersionChoice.OLD
        return VersionChoice.ANY

    def allows(self, choice: VersionChoice, target: Target) -> bool:
        """Return whether a choice includes an upstream."""
        if choice is VersionChoice.NEW:
            return self.is_new(target)
        return choice is not VersionChoice.OLD or not self.is_new(target)

    def record(
        self, target: Target, route: str, failed: bool, slow: bool
    ) -> None:
        """Count an answer while an order of its service runs."""
        if target.service not in self.orders:
            return
        if self.phase(target.service) not in COUNTED_PHASES:
            return
        key = target.service, route, self.is_new(target)
        one = AnswerCounts(1, int(failed), int(slow))
        self.counts[key] = self.counts.get(key, AnswerCounts()) + one

    def _forget_counts(self, service: str) -> None:
        self.counts = {
            key: counts
            for key, counts in self.counts.items()
            if key[0] != service
        }

    def _choose_canaries(self, targets: Collection[Target]) -> None:
        canaries: set[str] = set()
        for service in self.orders:
            if self.phase(service) is Phase.CANARY:
                names = (
                    target.identity
                    for target in targets
                    if target.service == service
                    and self.is_new(target)
                    and not target.draining
                )
                canaries |= rollout.choose_canaries(service, names)
        self.canaries = frozenset(canaries)
