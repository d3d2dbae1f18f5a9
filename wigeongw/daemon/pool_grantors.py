"""Grantors of the pools whose permits one entry host grants."""

from collections.abc import Mapping
import random

from wigeongw.core.identifiers import pool_service
from wigeongw.core.identifiers import pool_zone
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.decision_log import PLACE
from wigeongw.decisions import site_state as sites
from wigeongw.decisions import trace
from wigeongw.decisions.grantor import Grantor
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.site_state import SiteState
from wigeongw.settings.schema import Settings

INCARNATION_BITS = 30
# After a longer time without a timer, messages that came in a pause of the
# process may be read before the timers run. Less than FENCE_MARGIN_MS.
MAX_FENCE_CHECK_AGE_MS = 100.0


class PoolGrantors:
    """Owns the grantors and tells them of the site and of their fences.

    Each call gets the current state of the site, which says whether this host
    holds their fences. Times are monotonic milliseconds.

    Attributes:
        by_pool: the grantors.
        fences_checked_at: when the fences were last checked.
        write_trace: called with each line of the decision trace; None when no
            trace is written.
    """

    def __init__(
        self,
        rng: random.Random,
        decision_log: DecisionLog,
        write_trace: trace.WriteLine | None,
    ) -> None:
        self.rng = rng
        self.decision_log = decision_log
        self.write_trace = write_trace
        self.by_pool: dict[str, Grantor] = {}
        self.fences_checked_at = float("-inf")

    def update(
        self,
        site: SiteState,
        settings: Settings,
        grantors_by_pool: Mapping[str, str | None],
        now: float,
    ) -> list[ToHolder]:
        """Add, remove and update grantors for a new state of the site.

        Args:
            site: the new state.
            settings: its settings.
            grantors_by_pool: entry host that grants the permits of each pool.
            now: current time.
        """
        own_pools = {
            pool
            for pool, host in grantors_by_pool.items()
            if host == site.me.name
        }
        are_fences_exclusive = sites.are_fences_exclusive(site, now)
        for pool in [pool for pool in self.by_pool if pool not in own_pools]:
            del self.by_pool[pool]
            self._log_placement(site, pool, "given-up")
        messages: list[ToHolder] = []
        for pool in sorted(own_pools):
            if pool not in self.by_pool:
                takeover = sites.takeover(
                    site, pool, self.rng.getrandbits(INCARNATION_BITS), now
                )
                self.by_pool[pool] = self._new_grantor(
                    pool, settings, takeover, now
                )
                self._log_placement(site, pool, "taken-up")
            grantor = self.by_pool[pool]
            grantor.set_rules(settings.permits, settings.cold_start)
            grantor.set_fenced(
                sites.owns_fence(site, pool, are_fences_exclusive), now
            )
            messages.extend(grantor.set_open(sites.is_open(site, pool), now))
            slots = settings.services[pool_service(pool)].slots
            upstreams = sites.upstreams_of(site, pool)
            messages.extend(grantor.set_upstreams(upstreams, slots, now))
        return messages

    def deliver(
        self, site: SiteState, host: str, message: HolderMessage, now: float
    ) -> list[ToHolder]:
        """Pass a message of a holder to the grantor of its pool.

        Returns:
            The replies; none when the grantor of the pool is on another host.
        """
        grantor = self.by_pool.get(message.pool)
        if grantor is None:
            return []
        self._check_fences_after_pause(site, now)
        if isinstance(message, Ask):
            return grantor.ask(host, message, now)
        if isinstance(message, Return):
            return grantor.take_back(host, message, now)
        if isinstance(message, Renew):
            return grantor.renew(host, message, now)
        if isinstance(message, Cancel):
            return grantor.cancel(host, message)
        assert isinstance(message, Register)
        return grantor.register(host, message, now)

    def measured(
        self,
        site: SiteState,
        pool: str,
        upstream: str,
        start: str,
        now: float,
    ) -> list[ToHolder]:
        """Pass the start identity from a load report to the grantor."""
        grantor = self.by_pool.get(pool)
        if grantor is None:
            return []
        self._check_fences_after_pause(site, now)
        return grantor.measured(upstream, start, now)

    def lost(self, host: str) -> None:
        """Tell all grantors that the stream to a holder was closed."""
        for grantor in self.by_pool.values():
            grantor.lost(host)

    def tick(self, site: SiteState, now: float) -> list[ToHolder]:
        """Process the timers of all grantors once."""
        self._check_fences(site, now)
        return [
            message
            for grantor in self.by_pool.values()
            for message in grantor.tick(now)
        ]

    def has_queued(self) -> bool:
        """Return whether any ask is queued."""
        return any(grantor.queue for grantor in self.by_pool.values())

    def views(self) -> tuple[UpstreamView, ...]:
        """Return the state of all upstreams whose permits are granted."""
        return tuple(
            view
            for grantor in self.by_pool.values()
            for view in grantor.views()
        )

    def _check_fences(self, site: SiteState, now: float) -> None:
        """Tell all grantors whether this host still holds their fences."""
        self.fences_checked_at = now
        are_fences_exclusive = sites.are_fences_exclusive(site, now)
        for pool, grantor in self.by_pool.items():
            grantor.set_fenced(
                sites.owns_fence(site, pool, are_fences_exclusive), now
            )

    def _check_fences_after_pause(self, site: SiteState, now: float) -> None:
        """Check the fences if no timer has done so for a while."""
        if now - self.fences_checked_at > MAX_FENCE_CHECK_AGE_MS:
            self._check_fences(site, now)

    def _new_grantor(
        self, pool: str, settings: Settings, takeover: Takeover, now: float
    ) -> Grantor:
        permits, cold_start = settings.permits, settings.cold_start
        if self.write_trace is None:
            return Grantor(pool, permits, cold_start, takeover, now)
        grantor: Grantor = trace.traced_grantor(
            pool, permits, cold_start, takeover, now, self.write_trace
        )
        return grantor

    def _log_placement(self, site: SiteState, pool: str, reason: str) -> None:
        self.decision_log.add(
            PLACE,
            pool,
            pool_service(pool),
            site.me.name,
            pool_zone(pool),
            site.revision,
            reason,
        )
