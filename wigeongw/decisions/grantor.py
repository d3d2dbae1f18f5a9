"""Shares out the permits of one pool.

One entry host at a time is the grantor of a pool. It knows every permit that
is out, queues asks first come first served and binds one to an upstream only
when a slot is free. It hands out permits for cold upstreams only while it is
fenced, that is while no other entry host can believe to be the grantor, and
once every holder that may still have a request there has told it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from wigeongw.core.records import HostState
from wigeongw.core.records import Upstream
from wigeongw.decisions import ramp as ramps
from wigeongw.decisions.ask_queue import AskQueue
from wigeongw.decisions.ask_queue import QueuedAsk
from wigeongw.decisions.messages import Ask
from wigeongw.decisions.messages import Cancel
from wigeongw.decisions.messages import Grant
from wigeongw.decisions.messages import Pressure
from wigeongw.decisions.messages import Register
from wigeongw.decisions.messages import Registered
from wigeongw.decisions.messages import Renew
from wigeongw.decisions.messages import Renewed
from wigeongw.decisions.messages import Return
from wigeongw.decisions.messages import Revoke
from wigeongw.decisions.messages import ToHolder
from wigeongw.decisions.messages import Verdict
from wigeongw.decisions.ramp import Ramp
from wigeongw.settings.model import ColdStartSettings
from wigeongw.settings.model import PermitSettings

PRESSURE_EVERY_MS = 10.0
CHECK_EVERY_MS = 50.0
SERIAL_BITS = 32


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """What the grantor of an upstream tells the other entry hosts of it.

    Attributes:
        limit: requests allowed in flight.
        start: the upstream's start identity, empty when not known.
        seen_at: when the grantor last knew, monotonic milliseconds here.
    """

    pool: str
    upstream: str
    warm: bool
    limit: int
    start: str
    seen_at: float


@dataclass(slots=True)
class Slot:
    """The grantor's account of one upstream."""

    upstream: Upstream
    ramp: Ramp
    start: str = ""
    in_use: int = 0
    seen_at: float = 0.0
    asked_at: float = float("-inf")


@dataclass(slots=True)
class Permit:
    """A permit that is out.

    Attributes:
        lasts_until: when it is taken for lost unless renewed.
        ends_at: when the request with it is over at the latest.
    """

    holder: str
    upstream: str
    lasts_until: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class Takeover:
    """What a new grantor starts from.

    Attributes:
        incarnation: random, so that permit numbers never repeat.
        known: the last view of each upstream, from heartbeats.
        unheard: holders that may have requests in flight, with the time
            until which that is possible. Permits for warm upstreams are
            handed out once all have registered, or a lifetime has passed.
    """

    incarnation: int
    known: Mapping[str, UpstreamView] = field(default_factory=dict)
    unheard: Mapping[str, float] = field(default_factory=dict)


class Grantor:
    """The grantor of one pool; every method takes the time in ms."""

    def __init__(
        self,
        pool: str,
        rules: PermitSettings,
        cold: ColdStartSettings,
        takeover: Takeover,
        now: float,
    ) -> None:
        self.pool = pool
        self.rules = rules
        self.cold = cold
        self.slots: dict[str, Slot] = {}
        self.permits: dict[int, Permit] = {}
        self.queue = AskQueue()
        self.known = dict(takeover.known)
        self.unheard = dict(takeover.unheard)
        self.opens_at = now + rules.lifetime_ms + rules.margin_ms
        self.cold_opens_at = self.opens_at
        self.fenced = False
        self.open = True
        self.usual_ms = 0.0
        self.serial = takeover.incarnation << SERIAL_BITS
        self.pressed_at = float("-inf")
        self.checked_at = float("-inf")
        self.holders: set[str] = set()

    # Views of the world

    def set_rules(
        self, rules: PermitSettings, cold: ColdStartSettings
    ) -> None:
        """Take in changed settings."""
        self.rules = rules
        self.cold = cold

    def set_upstreams(
        self, upstreams: Iterable[Upstream], slots: int, now: float
    ) -> list[ToHolder]:
        """Take in which upstreams the pool has; new ones start cold."""
        wanted = {u.name: u for u in upstreams}
        out: list[ToHolder] = []
        for name in [n for n in self.slots if n not in wanted]:
            del self.slots[name]
            out.extend(self._revoke(name))
        for name, upstream in wanted.items():
            slot = self.slots.get(name)
            if slot is None:
                self.slots[name] = self._new_slot(upstream, slots)
                continue
            left = upstream.state is HostState.LEAVING
            if left and slot.upstream.state is HostState.LIVE:
                out.extend(self._revoke(name))
            slot.upstream = upstream
            if slot.ramp.slots != slots:
                slot.ramp = ramps.cold(slots, self.cold)
        return out + self._serve(now)

    def set_fenced(self, fenced: bool, now: float) -> None:
        """Take in whether no other grantor can be believed.

        A fence that comes anew starts the wait for cold upstreams again:
        permits of the grantor before must have run out first.
        """
        if fenced and not self.fenced:
            wait = self.rules.lifetime_ms + self.rules.margin_ms
            self.cold_opens_at = max(self.cold_opens_at, now + wait)
        self.fenced = fenced

    def set_open(self, is_open: bool, now: float) -> list[ToHolder]:
        """Take in whether the pool's availability zone is in service.

        Every upstream is cold from the moment it goes out until it has come
        back and warmed up again.
        """
        if is_open == self.open:
            return []
        self.open = is_open
        out: list[ToHolder] = []
        for name, slot in self.slots.items():
            slot.ramp = ramps.cold(slot.ramp.slots, self.cold)
            out.extend(self._revoke(name))
        return out + self._serve(now)

    def views(self) -> list[UpstreamView]:
        """Return the state of each upstream, for heartbeats."""
        return [
            UpstreamView(
                self.pool,
                name,
                slot.ramp.warm,
                slot.ramp.limit,
                slot.start,
                slot.seen_at,
            )
            for name, slot in self.slots.items()
        ]

    # Messages from holders

    def ask(self, holder: str, ask: Ask, now: float) -> list[ToHolder]:
        """Queue an ask and hand out what is free."""
        self.holders.add(holder)
        self.queue.add(QueuedAsk(holder, ask, now + ask.ends_in_ms, now))
        out = self._serve(now)
        if self.queue and now - self.pressed_at >= PRESSURE_EVERY_MS:
            self.pressed_at = now
            out.extend(self._press(now))
        return out

    def cancel(self, holder: str, cancel: Cancel) -> list[ToHolder]:
        """Drop an ask that is still queued."""
        self.queue.remove(holder, cancel.number)
        return []

    def take_back(
        self, holder: str, back: Return, now: float
    ) -> list[ToHolder]:
        """Take a permit back, with what its holder saw."""
        permit = self.permits.pop(back.permit, None)
        out: list[ToHolder] = []
        if back.verdict is not Verdict.UNUSED:
            out = self._learn(back, now)
        if permit is not None:
            self._release(permit)
        return out + self._serve(now)

    def renew(self, holder: str, renew: Renew, now: float) -> list[ToHolder]:
        """Prolong the permits that are known and still valid."""
        kept: list[int] = []
        lasts = now + self.rules.lifetime_ms + self.rules.margin_ms
        for number in renew.permits:
            permit = self.permits.get(number)
            if permit is None or permit.holder != holder:
                continue
            if not self._may_have(permit.upstream, now):
                continue
            permit.lasts_until = lasts
            kept.append(number)
        answer = Renewed(self.pool, renew.serial, tuple(kept))
        return [ToHolder(holder, answer)]

    def register(
        self, holder: str, register: Register, now: float
    ) -> list[ToHolder]:
        """Take in all that a holder has in flight here."""
        self.holders.add(holder)
        self.unheard.pop(holder, None)
        lasts = now + self.rules.lifetime_ms + self.rules.margin_ms
        for held in register.permits:
            if held.permit in self.permits:
                continue
            ends = now + held.ends_in_ms
            self.permits[held.permit] = Permit(
                holder, held.upstream, lasts, ends
            )
            if held.upstream in self.slots:
                self.slots[held.upstream].in_use += 1
        confirmed = ToHolder(holder, Registered(self.pool))
        return [confirmed, *self._serve(now)]

    def lost(self, holder: str) -> None:
        """Forget the queued asks of a holder whose stream broke."""
        self.holders.discard(holder)
        self.queue.remove_holder(holder)

    def tick(self, now: float) -> list[ToHolder]:
        """Reclaim what was lost and serve what waits.

        A lost permit for a warm upstream is free again after its lifetime;
        one for a cold upstream only when its request must be over.
        """
        if now - self.checked_at >= CHECK_EVERY_MS:
            self.checked_at = now
            for number in [
                n for n, p in self.permits.items() if self._is_lost(p, now)
            ]:
                self._release(self.permits.pop(number))
            self.queue.remove_ended(now)
        return self._serve(now)

    def next_to_measure(self, before: float) -> Upstream | None:
        """Return the upstream about which least is known.

        Args:
            before: what was known or asked after this time is fresh enough.
        """
        doubtful = [s for s in self.slots.values() if s.asked_at < before]
        if not doubtful or not self.open:
            return None
        return min(doubtful, key=lambda s: s.asked_at).upstream

    def asked(self, name: str, now: float) -> None:
        """Note that an upstream is being asked for a report."""
        if name in self.slots:
            self.slots[name].asked_at = now

    def measured(self, name: str, start: str, now: float) -> list[ToHolder]:
        """Take in an upstream's own report."""
        slot = self.slots.get(name)
        if slot is None:
            return []
        slot.seen_at = now
        return self._note_start(slot, start)

    # Inside

    def _new_slot(self, upstream: Upstream, slots: int) -> Slot:
        view = self.known.get(upstream.name)
        ramp = ramps.cold(slots, self.cold)
        start = ""
        seen_at = 0.0
        if view is not None and view.pool == self.pool:
            start = view.start
            seen_at = view.seen_at
            if view.warm:
                ramp = ramps.warm(slots)
        in_use = sum(
            p.upstream == upstream.name for p in self.permits.values()
        )
        return Slot(upstream, ramp, start, in_use, seen_at)

    def _is_lost(self, permit: Permit, now: float) -> bool:
        if now < permit.lasts_until:
            return False
        slot = self.slots.get(permit.upstream)
        if slot is None or slot.ramp.warm:
            return True
        return now >= max(permit.lasts_until, permit.ends_at)

    def _release(self, permit: Permit) -> None:
        slot = self.slots.get(permit.upstream)
        if slot is not None and slot.in_use > 0:
            slot.in_use -= 1

    def _learn(self, back: Return, now: float) -> list[ToHolder]:
        slot = self.slots.get(back.upstream)
        if slot is None:
            return []
        slot.seen_at = now
        slot.asked_at = now
        before = slot.ramp
        if back.verdict is Verdict.GOOD:
            slot.ramp = ramps.after_good(
                before, self.cold, back.served_ms, self.usual_ms
            )
            if before.warm or not self.usual_ms:
                self.usual_ms = ramps.usual(self.usual_ms, back.served_ms)
        elif back.verdict is Verdict.SHED:
            slot.ramp = ramps.after_shed(before, self.cold, now, slot.in_use)
        elif back.verdict is Verdict.UNREACHABLE:
            slot.ramp = ramps.after_unreachable(before, self.cold, now)
        elif back.verdict is Verdict.RESTARTED:
            slot.ramp = ramps.cold(before.slots, self.cold)
        out = self._note_start(slot, back.start)
        if before.warm and not slot.ramp.warm:
            out.extend(self._revoke(back.upstream))
        return out

    def _note_start(self, slot: Slot, start: str) -> list[ToHolder]:
        """Turn an upstream cold when its start identity changed."""
        if not start or start == slot.start:
            return []
        known_before = slot.start
        slot.start = start
        if not known_before:
            return []
        was_warm = slot.ramp.warm
        slot.ramp = ramps.cold(slot.ramp.slots, self.cold)
        return self._revoke(slot.upstream.name) if was_warm else []

    def _revoke(self, upstream: str) -> list[ToHolder]:
        message = Revoke(self.pool, upstream)
        return [ToHolder(h, message) for h in sorted(self.holders)]

    def _may_have(self, name: str, now: float) -> bool:
        """Whether requests may be in flight on an upstream at all."""
        slot = self.slots.get(name)
        if slot is None or not self.open:
            return False
        if slot.upstream.state is HostState.LEAVING:
            return False
        return slot.ramp.warm or self._cold_allowed(now)

    def _warm_allowed(self, now: float) -> bool:
        """Whether all permits of the grantor before are accounted for."""
        return now >= self.opens_at or not self.unheard

    def _cold_allowed(self, now: float) -> bool:
        if not self.fenced or now < self.cold_opens_at:
            return False
        self.unheard = {h: t for h, t in self.unheard.items() if now < t}
        return not self.unheard

    def _serve(self, now: float) -> list[ToHolder]:
        if not self.queue or not self.open or not self._warm_allowed(now):
            return []
        out: list[ToHolder] = []
        free = self._free_slots(now)
        if not free:
            return out
        for place, queued in self.queue.in_order():
            if not free:
                break
            slot = self._pick(queued.ask, free)
            if slot is None:
                continue
            self.queue.take(place)
            out.append(self._grant(queued, slot, now))
            if slot.in_use >= slot.ramp.limit:
                free.remove(slot)
        return out

    def _press(self, now: float) -> list[ToHolder]:
        """Ask those who hold permits for the idle ones."""
        holding = {p.holder for p in self.permits.values()} & self.holders
        pressure = Pressure(self.pool, self.queue.queued_ms(now))
        return [ToHolder(h, pressure) for h in sorted(holding)]

    def _free_slots(self, now: float) -> list[Slot]:
        cold_allowed = self._cold_allowed(now)
        return [
            s
            for s in self.slots.values()
            if s.in_use < s.ramp.limit
            and s.upstream.state is HostState.LIVE
            and now >= s.ramp.closed_until
            and (s.ramp.warm or cold_allowed)
        ]

    def _pick(self, ask: Ask, free: list[Slot]) -> Slot | None:
        """Choose the emptiest upstream, the quicker one among equals."""
        able = [s for s in free if s.upstream.name not in ask.avoid]
        if not able:
            return None
        return min(
            able, key=lambda s: (s.in_use / s.ramp.limit, s.ramp.recent_ms)
        )

    def _grant(self, queued: QueuedAsk, slot: Slot, now: float) -> ToHolder:
        self.serial += 1
        name = slot.upstream.name
        lasts = now + self.rules.lifetime_ms + self.rules.margin_ms
        self.permits[self.serial] = Permit(
            queued.holder, name, lasts, queued.ends_at
        )
        slot.in_use += 1
        grant = Grant(
            self.pool,
            queued.ask.number,
            self.serial,
            name,
            not slot.ramp.warm,
            bool(self.queue),
            self.queue.queued_ms(now),
        )
        return ToHolder(queued.holder, grant)
