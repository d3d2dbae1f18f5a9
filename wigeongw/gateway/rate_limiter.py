"""Asks other hosts for requests to limited upstreams, and answers them.

A datagram that is lost, late or repeated never adds a request: a reply counts
once, and only for the ask that is waiting for it.
"""

import asyncio

from wigeongw.adapters import grant_codec
from wigeongw.adapters.grant_codec import GrantAsk
from wigeongw.adapters.grant_codec import GrantCodecError
from wigeongw.adapters.grant_codec import GrantReply
from wigeongw.adapters.observation_codec import hash_identity
from wigeongw.core.clock import seconds
from wigeongw.core.site import RateLimit
from wigeongw.decisions import rate_limit
from wigeongw.decisions.rate_limit import Admission
from wigeongw.decisions.rate_limit import GrantTerms
from wigeongw.decisions.rate_limit import LimitGrantor
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.peer_socket import UdpAddress
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState

# A grantor replies at once; a later reply means that it is down or overloaded.
REPLY_TIMEOUT_MS = 30.0
# A grantor that did not reply is not asked again for this long.
SILENT_GRANTOR_BACKOFF_MS = 400.0
# A host that does not take itself for the grantor will soon learn it, or the
# host that asks will.
NOT_GRANTOR_WAIT_MS = 200.0
MAX_SERIAL = 0xFFFF_FFFF


class RateLimiter:
    """Admits requests to upstreams that limit their request rate.

    Attributes:
        grantors: state of each upstream that this host is a grantor of, by
            identity.
        pending: the asks that wait for a reply, by serial number.
        serial: serial number of the latest ask.
    """

    def __init__(self, state: GatewayState, socket: PeerSocket) -> None:
        self.state = state
        self.socket = socket
        self.grantors: dict[str, LimitGrantor] = {}
        self.pending: dict[int, asyncio.Future[GrantReply]] = {}
        self.serial = state.rng.randrange(MAX_SERIAL)
        socket.handlers[grant_codec.ASK_TYPE] = self.on_ask
        socket.handlers[grant_codec.REPLY_TYPE] = self.on_reply

    async def admit(
        self, target: TargetState, request_id: str
    ) -> Admission | None:
        """Ask for leave to send one request to an upstream.

        Returns:
            None when the limit of the upstream does not allow it now.
        """
        if target.limit_per_s is None:
            return Admission()
        directory = self.state.grantor_directory
        asked_at = self.state.clock.now()
        for name in directory.order_to_ask(target, asked_at):
            if target.limit_per_s is None:
                return Admission()
            asked_at = self.state.clock.now()
            reply = await self._ask(name, target)
            now = self.state.clock.now()
            if reply is None:
                directory.silent_until[name] = now + SILENT_GRANTOR_BACKOFF_MS
                self._record(target, request_id, name, "unanswered", None)
                continue
            if target.limit_per_s is None:
                return Admission()
            if reply.wait_ms <= 0.0:
                self._record(target, request_id, name, "granted", None)
                return Admission(asked_at)
            target.denied_until[name] = now + reply.wait_ms
            self._record(target, request_id, name, "denied", reply.wait_ms)
        return None

    # Callbacks of the socket

    def on_ask(self, data: bytes, address: UdpAddress) -> None:
        """Reply to another host that asks for a request to an upstream."""
        if address[0] not in self.state.peer_ips:
            return
        try:
            ask = grant_codec.decode_ask(data)
        except GrantCodecError as error:
            self.state.log.add("limit", event="unreadable", cause=str(error))
            return
        now = self.state.clock.now()
        target = self.state.targets_by_key.get(ask.key)
        if target is None:
            reply = GrantReply(ask.serial, NOT_GRANTOR_WAIT_MS, ask.per_s, 0.0)
        else:
            limit = RateLimit(ask.per_s, now - ask.age_ms)
            self.state.learn_rate_limit(target, limit)
            reply = self._decide(target, ask.serial, now)
        self.socket.send(grant_codec.encode_reply(reply), address)

    def on_reply(self, data: bytes, address: UdpAddress) -> None:
        """Complete the ask that a reply belongs to; ignore any other."""
        if address[0] not in self.state.peer_ips:
            return
        try:
            reply = grant_codec.decode_reply(data)
        except GrantCodecError as error:
            self.state.log.add("limit", event="unreadable", cause=str(error))
            return
        future = self.pending.pop(reply.serial, None)
        if future is not None and not future.done():
            future.set_result(reply)

    # Asking and deciding

    async def _ask(self, name: str, target: TargetState) -> GrantReply | None:
        """Ask one grantor and learn the limit that it knows.

        Returns:
            None when it does not reply in time.
        """
        now = self.state.clock.now()
        if name == self.state.host_config.name:
            return self._decide(target, 0, now)
        address = self.state.peer_addresses.get(name)
        limit = target.rate_limit
        if address is None or limit is None or limit.per_s is None:
            return None
        self.serial = (self.serial + 1) & MAX_SERIAL
        serial = self.serial
        key = hash_identity(target.target.identity)
        ask = GrantAsk(serial, key, limit.per_s, now - limit.at_ms)
        future: asyncio.Future[GrantReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[serial] = future
        self.socket.send(grant_codec.encode_ask(ask), address)
        try:
            async with asyncio.timeout(seconds(REPLY_TIMEOUT_MS)):
                reply = await future
        except TimeoutError:
            return None
        finally:
            self.pending.pop(serial, None)
        received_at = self.state.clock.now()
        known = RateLimit(reply.per_s, received_at - reply.age_ms)
        self.state.learn_rate_limit(target, known)
        return reply

    def _decide(
        self, target: TargetState, serial: int, now: float
    ) -> GrantReply:
        """Decide about one request, as a grantor of the upstream."""
        limit = target.rate_limit
        if limit is None or limit.per_s is None:
            age_ms = now - limit.at_ms if limit is not None else 0.0
            return GrantReply(serial, 0.0, None, age_ms)
        age_ms = now - limit.at_ms
        directory = self.state.grantor_directory
        if self.state.host_config.name not in directory.grantors(target):
            return GrantReply(serial, NOT_GRANTOR_WAIT_MS, limit.per_s, age_ms)
        wait_ms = self._grant_or_wait_ms(target, limit.per_s, now)
        return GrantReply(serial, wait_ms, limit.per_s, age_ms)

    def _grant_or_wait_ms(
        self, target: TargetState, per_s: float, now: float
    ) -> float:
        """Grant one request from this host's part of the limit.

        Returns:
            0 when it is granted, else the milliseconds to wait.
        """
        terms = self._terms(per_s, now)
        identity = target.target.identity
        grantor = self.grantors.get(identity)
        if grantor is None:
            self._forget_removed()
            settled = self.state.grantor_directory.is_settled(now)
            grantor = LimitGrantor(terms, settled, now)
            self.grantors[identity] = grantor
        return grantor.grant(terms, now)

    def _terms(self, per_s: float, now: float) -> GrantTerms:
        view_age_ms = now - self.state.view.store_responded_ms
        return GrantTerms(
            per_s,
            self.state.grantor_directory.grantor_count,
            view_age_ms > rate_limit.MAX_VIEW_AGE_MS,
        )

    def _forget_removed(self) -> None:
        """Drop the state of upstreams that left."""
        self.grantors = {
            identity: grantor
            for identity, grantor in self.grantors.items()
            if identity in self.state.targets
        }

    def _record(
        self,
        target: TargetState,
        request_id: str,
        grantor: str,
        event: str,
        wait_ms: float | None,
    ) -> None:
        self.state.metrics.count("rate_limit_asks_total", event)
        limit = target.rate_limit
        now = self.state.clock.now()
        terms = self._terms(target.limit_per_s or 0.0, now)
        self.state.log.add(
            "limit",
            id=request_id,
            to=target.target.identity,
            event=event,
            by=grantor,
            per_s=target.limit_per_s,
            age_ms=now - limit.at_ms if limit is not None else None,
            part_per_s=f"{terms.rate_per_s:.3f}",
            wait_ms=wait_ms,
        )
