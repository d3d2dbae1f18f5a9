"""ASGI application that proxies client requests to upstreams."""

import asyncio

from wigeongw.adapters.client_resources import ClientResources
from wigeongw.core.clock import seconds
from wigeongw.gateway.asgi import Receive
from wigeongw.gateway.asgi import Scope
from wigeongw.gateway.asgi import Send
from wigeongw.gateway.client_exchange import ClientExchange
from wigeongw.gateway.client_exchange import ExchangeContext
from wigeongw.gateway.forwarder import Forwarder
from wigeongw.gateway.quota_limiter import QuotaLimiter
from wigeongw.gateway.request_admission import RequestAdmission
from wigeongw.gateway.state import GatewayState
from wigeongw.ports.dialect import Dialect


class ProxyApp:
    """Receives client requests, forwards them and sends the responses.

    Attributes:
        admission: decides which requests are taken.
        in_progress: number of requests being processed.
        no_requests: set while no request is in progress.
        drain_ended: done when a graceful stop can wait no longer.
    """

    def __init__(
        self,
        state: GatewayState,
        forwarder: Forwarder,
        dialect: Dialect,
        resources: ClientResources,
        quotas: QuotaLimiter,
    ) -> None:
        self.state = state
        self.admission = RequestAdmission(state, resources)
        self.in_progress = 0
        self.no_requests = asyncio.Event()
        self.no_requests.set()
        self.drain_ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.context = ExchangeContext(
            state,
            self.admission,
            quotas,
            forwarder,
            dialect,
            self.drain_ended,
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Process one request."""
        if scope["type"] != "http":
            return
        self.in_progress += 1
        self.no_requests.clear()
        try:
            await ClientExchange(self.context, scope, receive, send).run()
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self.no_requests.set()

    async def wait_until_idle(self, deadline_at: float) -> None:
        """Wait until no request is in progress, at most until a deadline.

        Requests that are then still in progress are answered, as the host is
        about to be killed. They may have run.
        """
        remaining_ms = deadline_at - self.state.clock.now()
        try:
            async with asyncio.timeout(seconds(max(0.0, remaining_ms))):
                await self.no_requests.wait()
        except TimeoutError:
            if not self.drain_ended.done():
                self.drain_ended.set_result(None)
