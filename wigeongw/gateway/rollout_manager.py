"""Steps orders to change a service's version, where this host manages them.

Every other host tells the manager what it saw. What is decided is in
``decisions/rollout.py``; the status in the store is the only state.
"""

import asyncio
from collections import defaultdict
from collections.abc import Hashable

from wigeongw.adapters.notice_codec import Notice
from wigeongw.adapters.notice_codec import VersionAnswers
from wigeongw.adapters.notice_codec import VersionRejected
from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.core.clock import seconds
from wigeongw.core.site import RolloutOrder
from wigeongw.core.site import RolloutStatus
from wigeongw.decisions import rollout
from wigeongw.decisions.rollout import AnswerCounts
from wigeongw.decisions.rollout import Phase
from wigeongw.decisions.rollout import RecentAnswers
from wigeongw.decisions.rollout import VersionComparison
from wigeongw.gateway.notice_exchange import NoticeExchange
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.catalog import CatalogError
from wigeongw.ports.catalog import StatusStore

STEP_INTERVAL_MS = 250.0
STORE_CALL_TIMEOUT_MS = 1_000.0
RETRY_DELAY_MS = 500.0
MAX_REPORTS = 20_000
MAX_BOOT = 0xFFFF_FFFF

# Hashes of service and route, and whether the version is the new one.
CountKey = tuple[int, int, bool]


class RolloutManager:
    """Tells or takes the counts of answers, and writes the phases.

    Attributes:
        boot: tells this start of the host from others in its reports.
        reports: the last totals of each host, by host, start, version and
            what they count.
        verified: by service, what the store is known to have: version, phase
            and the store's era.
        retry_at: when the store is called again after a failure.
        recent: the answers of the last steps, by service and version.
    """

    def __init__(
        self,
        state: GatewayState,
        notices: NoticeExchange,
        statuses: StatusStore | None,
    ) -> None:
        self.state = state
        self.notices = notices
        self.statuses = statuses
        self.boot = state.rng.randrange(MAX_BOOT)
        self.reports: dict[tuple[int, int, int, CountKey], AnswerCounts] = {}
        self.verified: dict[str, tuple[str, Phase, int]] = {}
        self.retry_at = float("-inf")
        self.recent: dict[tuple[str, str], RecentAnswers] = {}
        notices.handlers[VersionAnswers] = self._on_answers
        notices.handlers[VersionRejected] = self._on_rejected

    async def run(self) -> None:
        """Step the orders of this host and report for others."""
        while True:
            await asyncio.sleep(seconds(STEP_INTERVAL_MS))
            await self.step()

    async def step(self) -> None:
        """Do once what ``run`` repeats."""
        for service, order in list(self.state.rollouts.orders.items()):
            manager = rollout.choose_manager(service, self.state.view.hosts)
            if manager == self.state.host_config.name:
                await self._manage(order)
            elif manager is not None:
                self._report(order, manager)

    def _report(self, order: RolloutOrder, manager: str) -> None:
        """Tell the manager this host's totals, while the order runs."""
        phase = self.state.rollouts.phase(order.service)
        if phase is None or phase.is_final:
            return
        notices: list[Notice] = [
            self._own_answers(order, key, counts)
            for key, counts in self.state.rollouts.counts.items()
            if key[0] == order.service
        ]
        self.notices.tell_host(manager, notices)

    def _own_answers(
        self,
        order: RolloutOrder,
        key: tuple[str, str, bool],
        counts: AnswerCounts,
    ) -> VersionAnswers:
        service, route, is_new = key
        return VersionAnswers(
            hash_identity(self.state.host_config.name),
            self.boot,
            hash_identity(order.version),
            hash_identity(service),
            hash_identity(route),
            is_new,
            counts.total,
            counts.failed,
            counts.slow,
        )

    def _on_answers(self, notice: Notice) -> None:
        assert isinstance(notice, VersionAnswers)
        if len(self.reports) >= MAX_REPORTS:
            self.reports.clear()
        key: CountKey = notice.service, notice.route, notice.is_new
        owner = notice.host, notice.boot, notice.version, key
        known = self.reports.get(owner, AnswerCounts())
        if notice.total >= known.total:
            self.reports[owner] = AnswerCounts(
                notice.total, notice.failed, notice.slow
            )

    def _on_rejected(self, notice: Notice) -> None:
        assert isinstance(notice, VersionRejected)
        for order in self.state.rollouts.orders.values():
            is_meant = notice == _rejection(order)
            if is_meant and self._reject(order):
                self._log(order, "told", Phase.ROLLED_BACK)

    def _reject(self, order: RolloutOrder) -> bool:
        """Stop using a version; return whether it was used until now."""
        if (order.service, order.version) in self.state.rollouts.rejected:
            return False
        self.state.rollouts.reject(order.service, order.version)
        self.state.apply_rollouts()
        return True

    # Managing

    async def _manage(self, order: RolloutOrder) -> None:
        now = self.state.clock.now()
        phase = self.state.rollouts.phase(order.service)
        if phase is None or self.statuses is None:
            return
        recent = self.recent.setdefault(
            (order.service, order.version), RecentAnswers()
        )
        due = rollout.next_phase(
            phase,
            self._elapsed_ms(order),
            order.duration_ms,
            recent.add(self._comparisons(order)),
            self._slot_share(order),
        )
        if due is Phase.ROLLED_BACK and self._reject(order):
            self.notices.tell_all(_rejection(order))
        wanted = order.version, due, self.state.store_era
        is_stored = self.verified.get(order.service) == wanted
        if due is Phase.WAITING or is_stored or now < self.retry_at:
            return
        try:
            async with asyncio.timeout(seconds(STORE_CALL_TIMEOUT_MS)):
                is_written = await self._write(order, due)
        except (CatalogError, TimeoutError) as error:
            self.retry_at = now + RETRY_DELAY_MS
            self._log(order, "write_failed", due, repr(error))
            return
        if is_written:
            self.verified[order.service] = wanted
            self._log(order, "verified" if due is phase else "phase", due)

    async def _write(self, order: RolloutOrder, due: Phase) -> bool:
        """Write a phase, unless the store has it or a later one.

        Returns:
            Whether the store has it now.
        """
        assert self.statuses is not None
        stored = await self.statuses.read_status(order.service)
        status = stored.status
        self.state.metrics.count("rollout_store_calls_total", "read")
        if (
            status is None
            or status.version != order.version
            or status.phase < due
        ):
            ordered_at_ms = self.state.clock.wall() - self._elapsed_ms(order)
            status = RolloutStatus(
                order.service, order.version, int(due), ordered_at_ms
            )
            self.state.metrics.count("rollout_store_calls_total", "write")
            if not await self.statuses.write_status(status, stored):
                return False
        self.state.rollouts.learn_status(status)
        self.state.apply_rollouts()
        return True

    def _elapsed_ms(self, order: RolloutOrder) -> float:
        """Return the time since the order, as far as hosts know it."""
        traffic = self.state.rollouts
        learned_at = traffic.learned_at[order.service, order.version]
        elapsed_ms = self.state.clock.now() - learned_at
        status = traffic.statuses.get(order.service)
        if status is not None and status.version == order.version:
            wall_ms = self.state.clock.wall() - status.ordered_at_ms
            elapsed_ms = max(elapsed_ms, min(wall_ms, order.duration_ms))
        return elapsed_ms

    def _slot_share(self, order: RolloutOrder) -> float:
        """Return the slots of the new upstreams relative to the old ones'."""
        slots = {True: 0, False: 0}
        states = self.state.targets_by_service.get(order.service, [])
        for state in states:
            if not state.target.draining and not state.is_leaving:
                is_new = self.state.rollouts.is_new(state.target)
                slots[is_new] += state.target.slots
        return slots[True] / max(1, slots[False])

    def _comparisons(
        self, order: RolloutOrder
    ) -> dict[Hashable, VersionComparison]:
        """Return the answers of all hosts by route; by 0 those of all."""
        totals: dict[tuple[int, bool], AnswerCounts] = defaultdict(
            AnswerCounts
        )
        service = hash_identity(order.service)
        version = hash_identity(order.version)
        counted = [
            (key, counts)
            for (_, _, of, key), counts in self.reports.items()
            if of == version
        ]
        for own, counts in self.state.rollouts.counts.items():
            key = hash_identity(own[0]), hash_identity(own[1]), own[2]
            counted.append((key, counts))
        for (of_service, route, is_new), counts in counted:
            if of_service == service:
                totals[route, is_new] += counts
                totals[0, is_new] += counts
        routes = {route for route, _ in totals}
        return {
            route: VersionComparison(totals[route, False], totals[route, True])
            for route in routes
        }

    def _log(
        self,
        order: RolloutOrder,
        event: str,
        phase: Phase,
        cause: str | None = None,
    ) -> None:
        seen = self._comparisons(order).get(
            0, VersionComparison(AnswerCounts(), AnswerCounts())
        )
        self.state.metrics.count("rollout_events_total", event, phase.name)
        self.state.log.add(
            "rollout",
            event=event,
            service=order.service,
            version=order.version,
            phase=phase.name.lower(),
            elapsed_ms=self._elapsed_ms(order),
            new=seen.new.total,
            new_failed=seen.new.failed,
            new_slow=seen.new.slow,
            old=seen.old.total,
            old_failed=seen.old.failed,
            old_slow=seen.old.slow,
            cause=cause,
        )


def _rejection(order: RolloutOrder) -> VersionRejected:
    return VersionRejected(
        hash_identity(order.service), hash_identity(order.version)
    )
