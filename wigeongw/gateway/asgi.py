"""ASGI types and small ASGI applications that a host answers itself."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import resource
from typing import Any

from wigeongw.decisions.crash_suspects import CrashSuspects
from wigeongw.gateway.state import GatewayState

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

KIB = 1024


class PortRouter:
    """Routes a request to the application of its local port.

    Attributes:
        apps: ASGI applications by port.
    """

    def __init__(self, apps: dict[int, Any]) -> None:
        self.apps = apps

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Call the application of the port that the request arrived on."""
        await self.apps[scope["server"][1]](scope, receive, send)


class MetricsApp:
    """Serves counters, gauges and histograms as text."""

    def __init__(self, state: GatewayState, suspects: CrashSuspects) -> None:
        self.state = state
        self.suspects = suspects

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Respond with one line per series."""
        if scope["type"] != "http":
            return
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
        limited = sum(
            1
            for state in self.state.targets.values()
            if state.limit_per_s is not None
        )
        now = self.state.clock.now()
        states = self.state.targets.values()
        lines = [
            f"peak_memory_bytes {peak}",
            f"rate_limits_in_force {limited}",
            f"upstreams_leaving {sum(s.is_leaving for s in states)}",
            f"upstreams_paused {sum(s.held_until > now for s in states)}",
            f"requests_suspected {len(self.suspects.suspects)}",
            f"requests_held_back {len(self.suspects.held)}",
            f"store_era {self.state.store_era}",
            *(
                f"rollout_phase {service} {self.state.rollouts.phase(service)}"
                for service in sorted(self.state.rollouts.orders)
            ),
            *self.state.metrics.lines(),
        ]
        await send_text(send, 200, "text/plain", "\n".join(lines) + "\n")


async def send_text(send: Send, status: int, media: str, text: str) -> None:
    """Send a complete text response."""
    await send_bytes(send, status, media, text.encode())


async def send_bytes(
    send: Send, status: int, media: str, body: bytes, encoding: str = ""
) -> None:
    """Send a complete response.

    Args:
        send: the ASGI send callable.
        status: HTTP status.
        media: media type of the body.
        body: the body, already encoded.
        encoding: value of the Content-Encoding header; empty to omit it.
    """
    headers = [
        (b"content-type", media.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    if encoding:
        headers.append((b"content-encoding", encoding.encode()))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
