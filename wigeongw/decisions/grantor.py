"""Grantor of one pool: issues the permits for the pool's upstreams.

One entry host at a time is the grantor of a pool. It tracks every outstanding
permit, queues asks in order of arrival and assigns an ask to an upstream when
a slot is free. It issues permits for cold upstreams only while it holds the
pool's fence, so that no other entry host can act as the grantor, and only
after every holder that may have requests in flight has registered them or the
deadline of those requests has passed.
"""

from collections.abc import Iterable

from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream
from wigeongw.decisions import upstream_tracking
from wigeongw.decisions import warm_up
from wigeongw.decisions.ask_queue import AskQueue
from wigeongw.decisions.ask_queue import QueuedAsk
from wigeongw.decisions.grantor_state import Permit
from wigeongw.decisions.grantor_state import Takeover
from wigeongw.decisions.grantor_state import TrackedUpstream
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import LimitReport
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Registered
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Renewed
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Revoke
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.permit_recall import next_pace
from wigeongw.decisions.permit_recall import next_recall
from wigeongw.decisions.permit_recall import Recall
from wigeongw.decisions.permit_recall import RecallPace
from wigeongw.decisions.rate_limit import GrantTerms
from wigeongw.decisions.rate_limit import LimitGrantor
from wigeongw.settings.schema import ColdStartSettings
from wigeongw.settings.schema import PermitSettings

PRESSURE_INTERVAL_MS = 10.0
EXPIRY_CHECK_INTERVAL_MS = 50.0
# Low bits of a permit number; the high bits hold the grantor's incarnation.
SERIAL_BITS = 32


class Grantor:
    """State machine that issues the permits of one pool.

    The caller passes the current time as `now`, in monotonic milliseconds,
    and delivers the returned messages.

    Attributes:
        upstreams: slots and warm-up state of each upstream, by name.
        permits: outstanding permits, by number.
        holders: holders that are connected.
        unheard: see Takeover.
        warm_grants_from: permits of the previous grantor have expired by
            then, and permits for warm upstreams may be issued.
        cold_grants_from: the same for cold upstreams; later when the fence
            was acquired later.
        baseline_ms: decayed mean service time in the pool; 0 until known.
    """

    def __init__(
        self,
        pool: str,
        rules: PermitSettings,
        cold_start: ColdStartSettings,
        takeover: Takeover,
        now: float,
    ) -> None:
        self.pool = pool
        self.rules = rules
        self.cold_start = cold_start
        self.upstreams: dict[str, TrackedUpstream] = {}
        self.permits: dict[int, Permit] = {}
        self.queue = AskQueue()
        self.known = dict(takeover.known)
        self.unheard = dict(takeover.unheard)
        self.warm_grants_from = now + rules.lifetime_ms + rules.margin_ms
        self.cold_grants_from = self.warm_grants_from
        self.fenced = False
        self.is_open = True
        self.baseline_ms = 0.0
        self.last_permit_number = takeover.incarnation << SERIAL_BITS
        self.pressure_sent_at = float("-inf")
        self.expiry_checked_at = float("-inf")
        self.recall_checked_at = float("-inf")
        self.recall_pace = RecallPace()
        self.last_recall: Recall | None = None
        self.holders: set[str] = set()

    # Updates of settings, upstreams and fences

    def set_rules(
        self, rules: PermitSettings, cold_start: ColdStartSettings
    ) -> None:
        """Replace the permit and cold start settings."""
        self.rules = rules
        self.cold_start = cold_start

    def set_upstreams(
        self, upstreams: Iterable[Upstream], slots: int, now: float
    ) -> list[ToHolder]:
        """Update the pool's upstreams.

        A new upstream starts cold unless a view of it as warm is known.

        Args:
            upstreams: all upstreams of the pool.
            slots: concurrent requests of one warm upstream.
            now: current time.

        Returns:
            Revocations for upstreams that are gone or leaving, and grants.
        """
        by_name = {u.name: u for u in upstreams}
        messages: list[ToHolder] = []
        for name in [n for n in self.upstreams if n not in by_name]:
            del self.upstreams[name]
            messages.extend(self._revocations(name))
        for name, upstream in by_name.items():
            tracked = self.upstreams.get(name)
            if tracked is None:
                self.upstreams[name] = self._track_upstream(
                    upstream, slots, now
                )
                continue
            is_leaving = upstream.state is HostState.LEAVING
            if is_leaving and tracked.upstream.state is HostState.LIVE:
                messages.extend(self._revocations(name))
            tracked.upstream = upstream
            if tracked.ramp.slots != slots:
                tracked.ramp = warm_up.cold(slots, self.cold_start)
        return messages + self._grant_queued(now)

    def set_fenced(self, fenced: bool, now: float) -> None:
        """Record whether this entry host holds the pool's fence.

        Acquiring the fence restarts the wait before permits for cold
        upstreams are issued: permits of the previous grantor must expire
        first.
        """
        if fenced and not self.fenced:
            wait_ms = self.rules.lifetime_ms + self.rules.margin_ms
            self.cold_grants_from = max(self.cold_grants_from, now + wait_ms)
        self.fenced = fenced

    def set_open(self, is_open: bool, now: float) -> list[ToHolder]:
        """Record whether the pool's availability zone is in service.

        Taking the zone out of service turns all its upstreams cold; they
        warm up again after the zone is back in service.
        """
        if is_open == self.is_open:
            return []
        self.is_open = is_open
        messages: list[ToHolder] = []
        for name, tracked in self.upstreams.items():
            tracked.ramp = warm_up.cold(tracked.ramp.slots, self.cold_start)
            messages.extend(self._revocations(name))
        return messages + self._grant_queued(now)

    def views(self) -> list[UpstreamView]:
        """Return the state of each upstream to announce in heartbeats."""
        return [
            upstream_tracking.view_of(self.pool, tracked)
            for tracked in self.upstreams.values()
        ]

    # Messages from holders

    def ask(self, holder: str, ask: Ask, now: float) -> list[ToHolder]:
        """Queue an ask and issue permits for free slots.

        If asks remain queued, holders are told to return idle permits, at
        most once per PRESSURE_INTERVAL_MS.
        """
        self.holders.add(holder)
        self.queue.add(QueuedAsk(holder, ask, now + ask.ends_in_ms, now))
        messages = self._grant_queued(now)
        if self.queue and now - self.pressure_sent_at >= PRESSURE_INTERVAL_MS:
            self.pressure_sent_at = now
            messages.extend(self._pressure_messages(now))
        return messages

    def cancel(self, holder: str, cancel: Cancel) -> list[ToHolder]:
        """Remove an ask if it is still queued."""
        self.queue.remove(holder, cancel.number)
        return []

    def take_back(
        self, holder: str, returned: Return, now: float
    ) -> list[ToHolder]:
        """Free the slot of a returned permit and apply its outcome.

        A report with an unknown permit number, such as 0, frees no slot.
        """
        permit = self.permits.pop(returned.permit, None)
        messages: list[ToHolder] = []
        if returned.verdict is not Verdict.UNUSED:
            messages = self._apply_outcome(returned, now)
        if permit is not None:
            self._free_slot(permit)
        return messages + self._grant_queued(now)

    def renew(self, holder: str, renew: Renew, now: float) -> list[ToHolder]:
        """Extend the holder's permits that are known and still valid."""
        renewed: list[int] = []
        expires_at = now + self.rules.lifetime_ms + self.rules.margin_ms
        for number in renew.permits:
            permit = self.permits.get(number)
            if permit is None or permit.holder != holder:
                continue
            if not self._may_hold(permit.upstream, now):
                continue
            permit.expires_at = expires_at
            renewed.append(number)
        confirmation = Renewed(self.pool, renew.serial, tuple(renewed))
        return [ToHolder(holder, confirmation)]

    def register(
        self, holder: str, register: Register, now: float
    ) -> list[ToHolder]:
        """Record the requests that a holder has in flight in this pool."""
        self.holders.add(holder)
        self.unheard.pop(holder, None)
        expires_at = now + self.rules.lifetime_ms + self.rules.margin_ms
        for reported in register.permits:
            if reported.permit in self.permits:
                continue
            ends_at = now + reported.ends_in_ms
            self.permits[reported.permit] = Permit(
                holder, reported.upstream, expires_at, ends_at
            )
            if reported.upstream in self.upstreams:
                self.upstreams[reported.upstream].in_use += 1
        confirmed = ToHolder(holder, Registered(self.pool))
        return [confirmed, *self._grant_queued(now)]

    def lost(self, holder: str) -> None:
        """Drop the queued asks of a holder that disconnected."""
        self.holders.discard(holder)
        self.queue.remove_holder(holder)

    def tick(self, now: float) -> list[ToHolder]:
        """Reclaim expired permits, drop expired asks and issue permits.

        If a cold upstream could take a request and nobody asks, one holder is
        told to ask again.

        The slot of an expired permit is free at once if the upstream is
        warm. If it is cold, the slot stays taken until the deadline of the
        permit's request has passed.
        """
        if now - self.expiry_checked_at >= EXPIRY_CHECK_INTERVAL_MS:
            self.expiry_checked_at = now
            for number in [
                n for n, p in self.permits.items() if self._is_expired(p, now)
            ]:
                self._free_slot(self.permits.pop(number))
            self.queue.remove_expired(now)
        return self._grant_queued(now) + self._recall_for_cold(now)

    def next_to_measure(self, before: float) -> Upstream | None:
        """Return the upstream whose load was checked the longest ago.

        Args:
            before: upstreams checked at or after this time are skipped.

        Returns:
            None if no upstream is due or the zone is out of service.
        """
        due = [s for s in self.upstreams.values() if s.checked_at < before]
        if not due or not self.is_open:
            return None
        return min(due, key=lambda s: s.checked_at).upstream

    def asked(self, name: str, now: float) -> None:
        """Record that a load report is being requested from an upstream."""
        if name in self.upstreams:
            self.upstreams[name].checked_at = now

    def measured(self, name: str, start: str, now: float) -> list[ToHolder]:
        """Process a load report of an upstream.

        Args:
            name: the upstream.
            start: its start identity; empty if unknown.
            now: current time.
        """
        tracked = self.upstreams.get(name)
        if tracked is None:
            return []
        tracked.seen_at = now
        return self._note_start(tracked, start)

    # Internals

    def _track_upstream(
        self, upstream: Upstream, slots: int, now: float
    ) -> TrackedUpstream:
        """Return the initial state of an upstream from its last view."""
        view = self.known.get(upstream.name)
        if view is not None and view.pool != self.pool:
            view = None
        tracked = upstream_tracking.track(
            upstream, slots, view, self.cold_start
        )
        tracked.in_use = sum(
            p.upstream == upstream.name for p in self.permits.values()
        )
        if view is not None and view.rate_limit_per_s is not None:
            terms = self._grant_terms(view.rate_limit_per_s)
            tracked.rate_limit = LimitGrantor(terms, False, now)
        return tracked

    def _grant_terms(self, per_s: float) -> GrantTerms:
        """Return this grantor's part of a rate limit.

        Without the fence another host may grant permits of the pool, too.
        """
        return GrantTerms(per_s, 1, may_be_replaced=not self.fenced)

    def _is_expired(self, permit: Permit, now: float) -> bool:
        """Return whether the slot of a permit can be reclaimed."""
        if now < permit.expires_at:
            return False
        tracked = self.upstreams.get(permit.upstream)
        if tracked is None or tracked.ramp.warm:
            return True
        return now >= max(permit.expires_at, permit.ends_at)

    def _free_slot(self, permit: Permit) -> None:
        """Free the slot that a permit took, if its upstream exists."""
        tracked = self.upstreams.get(permit.upstream)
        if tracked is not None and tracked.in_use > 0:
            tracked.in_use -= 1

    def _apply_outcome(self, returned: Return, now: float) -> list[ToHolder]:
        """Update an upstream's warm-up from the result of a request."""
        tracked = self.upstreams.get(returned.upstream)
        if tracked is None:
            return []
        tracked.seen_at = now
        tracked.checked_at = now
        was_warm = tracked.ramp.warm
        tracked.ramp = upstream_tracking.ramp_after(
            tracked, returned, self.cold_start, self.baseline_ms, now
        )
        is_usual = was_warm or not self.baseline_ms
        if returned.verdict is Verdict.GOOD and is_usual:
            self.baseline_ms = warm_up.update_baseline_ms(
                self.baseline_ms, returned.served_ms
            )
        messages = self._note_start(tracked, returned.start)
        if returned.limit is not None:
            messages.extend(
                self._note_rate_limit(tracked, returned.limit, now)
            )
        if was_warm and not tracked.ramp.warm:
            messages.extend(self._revocations(returned.upstream))
        return messages

    def _note_start(
        self, tracked: TrackedUpstream, start: str
    ) -> list[ToHolder]:
        """Turn an upstream cold if its start identity changed."""
        if not upstream_tracking.note_start(tracked, start, self.cold_start):
            return []
        return self._revocations(tracked.upstream.name)

    def _note_rate_limit(
        self, tracked: TrackedUpstream, limit: LimitReport, now: float
    ) -> list[ToHolder]:
        """Apply what a response said about the upstream's rate limit."""
        terms = None
        if limit.per_s is not None:
            terms = self._grant_terms(limit.per_s)
        if not upstream_tracking.note_rate_limit(tracked, terms, now):
            return []
        return self._revocations(tracked.upstream.name)

    def _revocations(self, upstream: str) -> list[ToHolder]:
        """Return a message to each holder to drop an upstream's permits."""
        message = Revoke(self.pool, upstream)
        return [ToHolder(h, message) for h in sorted(self.holders)]

    def _may_hold(self, name: str, now: float) -> bool:
        """Return whether holders may keep permits for an upstream."""
        tracked = self.upstreams.get(name)
        if tracked is None or not self.is_open:
            return False
        if tracked.upstream.state is HostState.LEAVING:
            return False
        return tracked.ramp.warm or self._may_grant_cold(now)

    def _may_grant_warm(self, now: float) -> bool:
        """Return whether permits for warm upstreams may be issued.

        All permits of the previous grantor must be registered or expired.
        """
        return now >= self.warm_grants_from or not self.unheard

    def _may_grant_cold(self, now: float) -> bool:
        """Return whether permits for cold upstreams may be issued.

        This host must hold the fence, permits of the previous grantor must
        have expired, and each holder must have registered its requests or
        their deadlines must have passed.
        """
        if not self.fenced or now < self.cold_grants_from:
            return False
        self.unheard = {h: t for h, t in self.unheard.items() if now < t}
        return not self.unheard

    def _grant_queued(self, now: float) -> list[ToHolder]:
        """Issue permits to queued asks, oldest first."""
        if not self.queue or not self.is_open or not self._may_grant_warm(now):
            return []
        messages: list[ToHolder] = []
        available = self._available_upstreams(now)
        if not available:
            return messages
        for position, queued in self.queue.in_order():
            if not available:
                break
            tracked = self._choose_upstream(queued.ask, available)
            if tracked is None:
                continue
            self.queue.remove_at(position)
            messages.append(self._grant(queued, tracked, now))
            if not self._has_room(tracked, now):
                available.remove(tracked)
        return messages

    def _pressure_messages(self, now: float) -> list[ToHolder]:
        """Return a message to each permit holder to return idle permits."""
        permit_holders = {
            p.holder for p in self.permits.values()
        } & self.holders
        pressure = Pressure(self.pool, self.queue.oldest_wait_ms(now))
        return [ToHolder(h, pressure) for h in sorted(permit_holders)]

    def _recall_for_cold(self, now: float) -> list[ToHolder]:
        """Return a revocation if a cold upstream waits for requests.

        The less often, the longer the upstream has made no progress.
        """
        if self.queue or not self.is_open:
            return []
        if now - self.recall_checked_at < self.recall_pace.interval_ms:
            return []
        self.recall_checked_at = now
        cold = {
            name: (tracked.ramp.limit, tracked.ramp.good)
            for name, tracked in self.upstreams.items()
            if not tracked.ramp.warm
        }
        if not cold:
            self.recall_pace = RecallPace()
        if all(s.ramp.warm for s in self._available_upstreams(now)):
            return []
        held = (
            Recall(p.holder, p.upstream)
            for p in self.permits.values()
            if p.holder in self.holders and self._is_warm(p.upstream)
        )
        chosen = next_recall(held, self.last_recall)
        if chosen is None:
            return []
        self.last_recall = chosen
        self.recall_pace = next_pace(self.recall_pace, cold)
        revoke = Revoke(self.pool, chosen.upstream)
        return [ToHolder(chosen.holder, revoke)]

    def _is_warm(self, name: str) -> bool:
        """Return whether an upstream of the pool is warm."""
        tracked = self.upstreams.get(name)
        return tracked is not None and tracked.ramp.warm

    def _available_upstreams(self, now: float) -> list[TrackedUpstream]:
        """Return the upstreams with a slot that may be granted now."""
        may_grant_cold = self._may_grant_cold(now)
        return [
            s
            for s in self.upstreams.values()
            if self._has_room(s, now)
            and s.upstream.state is HostState.LIVE
            and now >= s.ramp.closed_until
            and (s.ramp.warm or may_grant_cold)
        ]

    @staticmethod
    def _has_room(tracked: TrackedUpstream, now: float) -> bool:
        """Return whether slots and rate limit allow one more request."""
        if tracked.in_use >= tracked.ramp.limit:
            return False
        return tracked.rate_limit is None or tracked.rate_limit.has_grant(now)

    def _choose_upstream(
        self, ask: Ask, available: list[TrackedUpstream]
    ) -> TrackedUpstream | None:
        """Choose the least utilized upstream; the faster one on a tie."""
        eligible = [s for s in available if s.upstream.name not in ask.avoid]
        if not eligible:
            return None
        return min(
            eligible, key=lambda s: (s.in_use / s.ramp.limit, s.ramp.recent_ms)
        )

    def _grant(
        self, queued: QueuedAsk, tracked: TrackedUpstream, now: float
    ) -> ToHolder:
        """Record a new permit and return the message that grants it."""
        self.last_permit_number += 1
        name = tracked.upstream.name
        expires_at = now + self.rules.lifetime_ms + self.rules.margin_ms
        self.permits[self.last_permit_number] = Permit(
            queued.holder, name, expires_at, queued.ends_at
        )
        tracked.in_use += 1
        if tracked.rate_limit is not None:
            terms = self._grant_terms(tracked.rate_limit.terms.per_s)
            tracked.rate_limit.grant(terms, now)
        grant = Grant(
            self.pool,
            queued.ask.number,
            self.last_permit_number,
            name,
            not tracked.ramp.warm,
            bool(self.queue),
            self.queue.oldest_wait_ms(now),
            tracked.rate_limit is not None,
        )
        return ToHolder(queued.holder, grant)
