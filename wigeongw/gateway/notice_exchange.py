"""Tells all hosts what concerns each of them, and hears it from them.

Nobody answers a notice, so each is sent several times. Notices are rare: an
upstream leaves, or ends under a request.
"""

import asyncio
from collections.abc import Callable

from wigeongw.adapters import notice_codec
from wigeongw.adapters.notice_codec import Notice
from wigeongw.adapters.notice_codec import NoticeError
from wigeongw.core.clock import seconds
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.peer_socket import UdpAddress
from wigeongw.gateway.state import GatewayState

# When a notice is sent, after it was made known.
SEND_DELAYS_MS = (0.0, 100.0, 400.0)
Handler = Callable[[Notice], None]


class NoticeExchange:
    """Sends and receives notices over the UDP socket of the host.

    Attributes:
        handlers: called with a notice of another host, by its class.
        timers: the sends that are due.
    """

    def __init__(self, state: GatewayState, socket: PeerSocket) -> None:
        self.state = state
        self.socket = socket
        self.handlers: dict[type, Handler] = {}
        self.timers: set[asyncio.TimerHandle] = set()
        socket.handlers[notice_codec.NOTICE_TYPE] = self.on_datagram

    def close(self) -> None:
        """Cancel the sends that are due."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()

    def tell_all(self, notice: Notice) -> None:
        """Send a notice to all other hosts, several times."""
        data = notice_codec.encode([notice])
        loop = asyncio.get_running_loop()
        for delay_ms in SEND_DELAYS_MS:
            if not delay_ms:
                self._send(data)
                continue
            timer = loop.call_later(seconds(delay_ms), self._send, data)
            self.timers.add(timer)
        now = loop.time()
        self.timers = {t for t in self.timers if t.when() > now}

    def tell_some(self, notices: list[Notice], count: int) -> None:
        """Send notices once to a few other hosts, drawn each time."""
        addresses = list(self.state.peer_addresses.values())
        chosen = self.state.rng.sample(addresses, min(count, len(addresses)))
        for start in range(0, len(notices), notice_codec.MAX_NOTICES):
            data = notice_codec.encode(notices[start:])
            for address in chosen:
                self.socket.send(data, address)

    def tell_host(self, name: str, notices: list[Notice]) -> None:
        """Send notices once to one other host, if its address is known."""
        address = self.state.peer_addresses.get(name)
        if address is None:
            return
        for start in range(0, len(notices), notice_codec.MAX_NOTICES):
            self.socket.send(notice_codec.encode(notices[start:]), address)

    def on_datagram(self, data: bytes, address: UdpAddress) -> None:
        """Pass on what another host makes known."""
        if address[0] not in self.state.peer_ips:
            return
        try:
            notices = notice_codec.decode(data)
        except NoticeError as error:
            self.state.log.add("notice", event="unreadable", cause=str(error))
            return
        for notice in notices:
            self.state.metrics.count(
                "notices_heard_total", type(notice).__name__
            )
            handler = self.handlers.get(type(notice))
            if handler is not None:
                handler(notice)

    def _send(self, data: bytes) -> None:
        for address in self.state.peer_addresses.values():
            self.socket.send(data, address)
