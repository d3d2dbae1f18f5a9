"""Exchanges observations of upstreams between hosts, over UDP.

Under heavy load on few slots one host may probe an upstream only a few times a
second, while the speed and queue of an upstream change within a tenth of a
second. Hosts therefore share what they learn when they place requests. The
more requests there are, the fresher the view of every host is.

Datagrams suffice because the next one replaces a lost one and no host waits
for another.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

from wigeongw.adapters import observation_codec
from wigeongw.adapters.observation_codec import EndedRequests
from wigeongw.adapters.observation_codec import LimitedUpstream
from wigeongw.adapters.observation_codec import ObservationError
from wigeongw.adapters.observation_codec import Observations
from wigeongw.adapters.observation_codec import SeenLoad
from wigeongw.adapters.observation_codec import SentRequest
from wigeongw.adapters.observation_codec import SilentUpstream
from wigeongw.core.clock import seconds
from wigeongw.core.site import RateLimit
from wigeongw.decisions import fan_out
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.peer_socket import UdpAddress
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState

# Samples that arrive within this time are sent in one datagram.
BATCH_DELAY_MS = 15.0
# Batching delay for sent requests. It is shorter because, where slots are
# scarce, other hosts must see that a slot is taken before the upstream can
# report it.
SEND_BATCH_DELAY_MS = 1.0
# Slots of a service are scarce at this utilization and above.
SCARCE_UTILIZATION = 0.4
# Probe samples go to other availability zones only with every n-th flush, all
# in one datagram: hosts there seldom send requests here, and traffic between
# zones is charged by the byte.
FLUSHES_PER_REMOTE_REPORT = 4
# With more remote hosts than this, only silent upstreams are reported to other
# zones: each host has enough upstreams in its own zone, and datagrams between
# all hosts grow with the square of their number.
MAX_REMOTE_HOSTS = 32


class ObservationExchange:
    """Sends and receives observations over the UDP socket of the host.

    Attributes:
        local_addresses: peers in this host's availability zone.
        remote_addresses: peers in other availability zones.
        peers_basis: hosts that the peer lists reflect.
        pending_probe_samples: upstreams with a new sample from a probe.
        pending_response_samples: upstreams with a new sample from a response.
        pending_remote_samples: probe samples to send to other zones.
        pending_sends: upstream hash and time of requests to report.
        pending_silent: start of unanswered probes by upstream hash.
        flush_timer: the scheduled flush; None when nothing is pending.
        flush_at: when it is due, on the clock of the event loop.
        flush_count: number of flushes so far.
    """

    def __init__(self, state: GatewayState, socket: PeerSocket) -> None:
        self.state = state
        self.socket = socket
        socket.default_handler = self.on_datagram
        self.local_addresses: list[UdpAddress] = []
        self.remote_addresses: list[UdpAddress] = []
        self.peers_basis: Any = None
        self.pending_probe_samples: dict[str, TargetState] = {}
        self.pending_response_samples: dict[str, TargetState] = {}
        self.pending_remote_samples: dict[str, TargetState] = {}
        self.pending_sends: list[tuple[int, float]] = []
        self.pending_silent: dict[int, float] = {}
        self.flush_timer: asyncio.Handle | None = None
        self.flush_at = 0.0
        self.flush_count = 0

    def close(self) -> None:
        """Cancel the scheduled flush."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()

    def report_probe(self, target: TargetState) -> None:
        """Schedule a report of a probe's sample."""
        self.pending_probe_samples[target.target.identity] = target
        self._schedule_flush(BATCH_DELAY_MS)

    def report_response(self, target: TargetState) -> None:
        """Schedule a report of a response's sample if slots are scarce."""
        if self._is_scarce(target):
            self.pending_response_samples[target.target.identity] = target
            self._schedule_flush(BATCH_DELAY_MS)

    def report_send(self, target: TargetState) -> None:
        """Schedule a report of a sent request if slots are scarce."""
        if not self._is_scarce(target):
            return
        key = observation_codec.hash_identity(target.target.identity)
        self.pending_sends.append((key, self.state.clock.now()))
        self._schedule_flush(SEND_BATCH_DELAY_MS)

    def report_silent(
        self, target: TargetState, probe_started_at: float
    ) -> None:
        """Schedule a report that an upstream did not answer a probe.

        All hosts hear of it, so it is not repeated while another host's
        report still counts.

        Args:
            target: the upstream.
            probe_started_at: start of the probe, monotonic clock.
        """
        if target.is_known_silent(self.state.clock.now()):
            return
        key = observation_codec.hash_identity(target.target.identity)
        self.pending_silent[key] = probe_started_at
        self._schedule_flush(BATCH_DELAY_MS)

    def on_datagram(self, data: bytes, address: UdpAddress) -> None:
        """Apply a datagram if it comes from a known host."""
        if address[0] not in self.state.peer_ips:
            return
        try:
            observations = observation_codec.decode(
                data, self.state.clock.now()
            )
        except ObservationError as error:
            self.state.log.add("sight", event="unreadable", cause=str(error))
            return
        self._apply(observations)

    # Batching and sending

    def _schedule_flush(self, max_delay_ms: float) -> None:
        if not self.socket.is_open:
            return
        loop = asyncio.get_running_loop()
        flush_at = loop.time() + seconds(max_delay_ms)
        if self.flush_timer is not None:
            if self.flush_at <= flush_at:
                return
            self.flush_timer.cancel()
        self.flush_at = flush_at
        self.flush_timer = loop.call_at(flush_at, self._flush)

    def _apply(self, observations: Observations) -> None:
        now = self.state.clock.now()
        self.state.metrics.count("sightings_heard_total")
        for seen in observations.seen:
            target = self.state.targets_by_key.get(seen.key)
            if target is not None:
                target.update_sample(seen.sample)
        for sent in observations.sent:
            target = self.state.targets_by_key.get(sent.key)
            if target is not None:
                target.record_peer_send(now - sent.age_ms)
        for silent in observations.silent:
            target = self.state.targets_by_key.get(silent.key)
            if target is not None:
                target.peer_reported_silent_at = now - silent.age_ms
        for limited in observations.limited:
            target = self.state.targets_by_key.get(limited.key)
            if target is not None:
                at_ms = now - limited.age_ms
                self.state.learn_rate_limit(
                    target, RateLimit(limited.per_s, at_ms)
                )
        for ended in observations.ended:
            target = self.state.targets_by_key.get(ended.key)
            if target is None:
                continue
            for _ in range(ended.failed):
                target.risk.learn(True, now)
            for _ in range(ended.good):
                target.risk.learn(False, now)

    def _flush(self) -> None:
        self.flush_timer = None
        self._update_peers()
        now = self.state.clock.now()
        sent = tuple(
            SentRequest(key, now - at) for key, at in self.pending_sends
        )
        self.pending_sends = []
        silent = tuple(
            SilentUpstream(k, now - at)
            for k, at in self.pending_silent.items()
        )
        self.pending_silent = {}
        self.pending_remote_samples.update(self.pending_probe_samples)
        seen = self._probe_samples(
            self.pending_probe_samples, now
        ) + self._response_samples(now)
        self.pending_probe_samples = {}
        self.pending_response_samples = {}
        recipients = fan_out.choose_recipients(
            self.local_addresses, bool(silent), self.state.rng
        )
        limited = self._limited_upstreams(seen, now)
        self._send(
            Observations(seen, self._take_outcomes(), sent, silent, limited),
            recipients,
        )
        seen = ()
        self.flush_count += 1
        if self.flush_count % FLUSHES_PER_REMOTE_REPORT == 0:
            seen = self._probe_samples(self.pending_remote_samples, now)
            self.pending_remote_samples = {}
        if len(self.remote_addresses) > MAX_REMOTE_HOSTS:
            seen, sent = (), ()
        limited = self._limited_upstreams(seen, now)
        self._send(
            Observations(seen, (), sent, silent, limited),
            self.remote_addresses,
        )

    def _limited_upstreams(
        self, seen: tuple[SeenLoad, ...], now: float
    ) -> tuple[LimitedUpstream, ...]:
        """Return the rate limits in force of the upstreams in a report."""
        limited = []
        for record in seen:
            target = self.state.targets_by_key.get(record.key)
            limit = target.rate_limit if target is not None else None
            if limit is not None and limit.per_s is not None:
                age_ms = now - limit.at_ms
                limited.append(
                    LimitedUpstream(record.key, limit.per_s, age_ms)
                )
        return tuple(limited)

    def _probe_samples(
        self, targets: dict[str, TargetState], now: float
    ) -> tuple[SeenLoad, ...]:
        samples = []
        for identity, target in targets.items():
            sample = target.last_probe_sample
            if sample is not None:
                key = observation_codec.hash_identity(identity)
                samples.append(SeenLoad(key, now - sample.at_ms, sample))
        return tuple(samples)

    def _response_samples(self, now: float) -> tuple[SeenLoad, ...]:
        samples = []
        for identity, target in self.pending_response_samples.items():
            sample = target.sample
            if sample is not None and sample is not target.last_probe_sample:
                key = observation_codec.hash_identity(identity)
                samples.append(SeenLoad(key, now - sample.at_ms, sample))
        return tuple(samples)

    def _is_scarce(self, target: TargetState) -> bool:
        return (
            self.state.utilization(target.target.service) >= SCARCE_UTILIZATION
        )

    def _send(
        self, observations: Observations, addresses: Iterable[UdpAddress]
    ) -> None:
        if observations.is_empty:
            return
        data = observation_codec.encode(observations)
        for address in addresses:
            self.socket.send(data, address)

    def _take_outcomes(self) -> tuple[EndedRequests, ...]:
        """Return and reset the outcomes of this host's requests."""
        outcomes = []
        for state in self.state.targets.values():
            if state.succeeded or state.failed:
                key = observation_codec.hash_identity(state.target.identity)
                outcomes.append(
                    EndedRequests(key, state.succeeded, state.failed)
                )
                state.succeeded = state.failed = 0
        return tuple(outcomes)

    def _update_peers(self) -> None:
        """Update the peer lists when the hosts changed."""
        hosts = self.state.view.hosts
        if self.peers_basis is hosts:
            return
        self.peers_basis = hosts
        own_zone = self.state.host_config.availability_zone
        self.local_addresses = []
        self.remote_addresses = []
        for name, address in self.state.peer_addresses.items():
            is_local = hosts[name].availability_zone == own_zone
            addresses = (
                self.local_addresses if is_local else self.remote_addresses
            )
            addresses.append(address)
