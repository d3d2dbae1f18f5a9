"""Tells other hosts what probes said, and hears what theirs did.

Answers heavy load on few slots: a host alone may probe an upstream a few
times a second, which is blind where speed and queues change within a tenth of
it. What one host learned when it placed a request helps all others place the
next, and the more requests there are the fresher everybody's view is.

Datagrams carry it: what is lost is replaced by the next, and nobody waits for
anybody.
"""

import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import Any
from typing import cast

from wigeongw.adapters import sighting_codec
from wigeongw.adapters.sighting_codec import Ended
from wigeongw.adapters.sighting_codec import Seen
from wigeongw.adapters.sighting_codec import Sent
from wigeongw.adapters.sighting_codec import SightingError
from wigeongw.adapters.sighting_codec import Sightings
from wigeongw.adapters.sighting_codec import Silent
from wigeongw.core.addresses import split_address
from wigeongw.core.clock import seconds
from wigeongw.gateway.state import HostState
from wigeongw.gateway.target_state import TargetState

# What is learned within this time travels together.
GATHER_MS = 15.0
# Where slots are scarce hosts tell at once where they send, so that the next
# one sees a slot taken before its upstream can say so.
GATHER_SENT_MS = 1.0
SCARCE_BUSY = 0.4
# Hosts in other availability zones hear all of several such times at once:
# they seldom send here and each byte between zones is paid for.
FAR_EVERY = 4
# Beyond this many, far hosts hear of silent upstreams only: each has enough
# upstreams near by, and what all would tell all grows with their square.
FAR_MOST = 32


class SightingExchange(asyncio.DatagramProtocol):
    """Owns the datagram socket of a host."""

    def __init__(self, state: HostState) -> None:
        self.state = state
        self.transport: asyncio.DatagramTransport | None = None
        self.by_key: dict[int, TargetState] = {}
        self.near: list[tuple[str, int]] = []
        self.far: list[tuple[str, int]] = []
        self.senders: frozenset[str] = frozenset()
        self.worked_out_for: tuple[Any, Any] = (None, None)
        self.fresh: dict[str, TargetState] = {}
        self.answered: dict[str, TargetState] = {}
        self.for_far: dict[str, TargetState] = {}
        self.sent: list[tuple[int, float]] = []
        self.silent: dict[int, float] = {}
        self.flush_at: asyncio.TimerHandle | None = None
        self.turn = 0

    async def open(self, address: str, stack: AsyncExitStack) -> None:
        """Open the socket; the stack closes it.

        Raises:
            OSError: when the address cannot be had.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )
        stack.callback(self.close)

    def close(self) -> None:
        """Close the socket."""
        if self.flush_at is not None:
            self.flush_at.cancel()
        if self.transport is not None:
            self.transport.close()

    def note(self, target: TargetState) -> None:
        """Tell others soon what a probe said of an upstream."""
        self.fresh[target.target.identity] = target
        self._flush_within(GATHER_MS)

    def note_answer(self, target: TargetState) -> None:
        """Tell hosts near by what an answer said, if slots are scarce."""
        if self._is_scarce(target):
            self.answered[target.target.identity] = target
            self._flush_within(GATHER_MS)

    def note_sent(self, target: TargetState) -> None:
        """Tell others where a request goes, if slots are scarce there."""
        if not self._is_scarce(target):
            return
        key = sighting_codec.key_of(target.target.identity)
        self.sent.append((key, self.state.clock.now()))
        self._flush_within(GATHER_SENT_MS)

    def note_silent(self, target: TargetState, probed_at: float) -> None:
        """Tell others soon that an upstream did not answer a probe."""
        key = sighting_codec.key_of(target.target.identity)
        self.silent[key] = probed_at
        self._flush_within(GATHER_MS)

    # The socket's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Take in what another host saw."""
        self._work_out()
        if addr[0] not in self.senders:
            return
        try:
            heard = sighting_codec.decode(data, self.state.clock.now())
        except SightingError as error:
            self.state.log.add("sight", event="unreadable", cause=str(error))
            return
        self._take(heard)

    def error_received(self, exc: Exception) -> None:
        """Count what the network says of lost datagrams."""
        self.state.metrics.count("sightings_unsent_total")

    # Inside

    def _flush_within(self, most_ms: float) -> None:
        if self.transport is None:
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds(most_ms)
        if self.flush_at is not None:
            if self.flush_at.when() <= due:
                return
            self.flush_at.cancel()
        self.flush_at = loop.call_at(due, self._flush)

    def _take(self, heard: Sightings) -> None:
        now = self.state.clock.now()
        self.state.metrics.count("sightings_heard_total")
        for seen in heard.seen:
            target = self.by_key.get(seen.key)
            if target is not None:
                target.take(seen.sample)
        for sent in heard.sent:
            target = self.by_key.get(sent.key)
            if target is not None:
                target.note_others(now - sent.age_ms)
        for silent in heard.silent:
            target = self.by_key.get(silent.key)
            if target is not None:
                target.heard_silent = now - silent.age_ms
        for ended in heard.ended:
            target = self.by_key.get(ended.key)
            if target is None:
                continue
            for _ in range(ended.failed):
                target.risk.learn(True, now)
            for _ in range(ended.good):
                target.risk.learn(False, now)

    def _flush(self) -> None:
        self.flush_at = None
        self._work_out()
        now = self.state.clock.now()
        sent = tuple(Sent(key, now - at) for key, at in self.sent)
        self.sent = []
        silent = tuple(Silent(k, now - at) for k, at in self.silent.items())
        self.silent = {}
        self.for_far.update(self.fresh)
        seen = self._seen(self.fresh, now) + self._answered(now)
        self.fresh = {}
        self.answered = {}
        self._send(Sightings(seen, self._ended(), sent, silent), self.near)
        seen = ()
        self.turn += 1
        if self.turn % FAR_EVERY == 0:
            seen = self._seen(self.for_far, now)
            self.for_far = {}
        if len(self.far) > FAR_MOST:
            seen, sent = (), ()
        self._send(Sightings(seen, (), sent, silent), self.far)

    def _seen(
        self, targets: dict[str, TargetState], now: float
    ) -> tuple[Seen, ...]:
        found = []
        for identity, target in targets.items():
            sample = target.probed
            if sample is not None:
                key = sighting_codec.key_of(identity)
                found.append(Seen(key, now - sample.at_ms, sample))
        return tuple(found)

    def _answered(self, now: float) -> tuple[Seen, ...]:
        found = []
        for identity, target in self.answered.items():
            sample = target.sample
            if sample is not None and sample is not target.probed:
                key = sighting_codec.key_of(identity)
                found.append(Seen(key, now - sample.at_ms, sample))
        return tuple(found)

    def _is_scarce(self, target: TargetState) -> bool:
        return self.state.busy_at(target.target.service) >= SCARCE_BUSY

    def _send(
        self, sightings: Sightings, to: Iterable[tuple[str, int]]
    ) -> None:
        if self.transport is None or sightings.empty:
            return
        data = sighting_codec.encode(sightings)
        for address in to:
            self.transport.sendto(data, address)

    def _ended(self) -> tuple[Ended, ...]:
        """Return and forget how requests of this host ended."""
        found = []
        for state in self.state.targets.values():
            if state.good or state.failed:
                key = sighting_codec.key_of(state.target.identity)
                found.append(Ended(key, state.good, state.failed))
                state.good = state.failed = 0
        return tuple(found)

    def _work_out(self) -> None:
        """Work out whom to tell and whom to hear, when views change."""
        view = self.state.view
        basis = (view.hosts, view.targets)
        known = self.worked_out_for
        if known[0] is basis[0] and known[1] is basis[1]:
            return
        self.worked_out_for = basis
        me = self.state.me
        others = [
            h for h in view.hosts.values() if h.name != me.name and h.peer
        ]
        near = [
            h for h in others if h.availability_zone == me.availability_zone
        ]
        self.near = [split_address(h.peer) for h in near]
        self.far = [split_address(h.peer) for h in others if h not in near]
        self.senders = frozenset(split_address(h.peer)[0] for h in others)
        self.by_key = {
            sighting_codec.key_of(identity): state
            for identity, state in self.state.targets.items()
        }
