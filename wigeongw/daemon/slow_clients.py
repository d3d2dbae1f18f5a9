"""Ends exchanges that wait for their client while requests wait for a slot.

An answer that is passed on as it arrives occupies its upstream until its
client has read it, and so does a body until its client has sent it. A crowd
that reads slowly, or stops short of an end, would keep all slots for itself;
so the exchange gives way that has waited longest for its client.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

from wigeongw.adapters.client_resources import CloseReason
from wigeongw.adapters.client_resources import Connection
from wigeongw.core.clock import Clock

# How long an exchange may wait for its client while a request wants its slot.
MAX_CLIENT_WAIT_MS = 1_000.0


class SlowClients:
    """The exchanges that wait for their client.

    Attributes:
        waiting: by service, the clients' connections and since when each has
            been waited for, the longest first.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.waiting: dict[str, dict[Connection, float]] = {}

    @contextlib.contextmanager
    def wait(self, service: str, client: Connection | None) -> Iterator[None]:
        """Note that a part is being sent to a client, or awaited from it."""
        if client is None:
            yield
            return
        waiting = self.waiting.setdefault(service, {})
        waiting[client] = self.clock.now()
        try:
            yield
        finally:
            # A client may be waited for in both directions.
            waiting.pop(client, None)

    async def receive(
        self,
        service: str,
        client: Connection | None,
        chunks: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of a body, and note while one is awaited."""
        while True:
            with self.wait(service, client):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    def end_longest(self, service: str) -> bool:
        """Close the client that has been waited for longest.

        Returns:
            False when none has been waited for too long.
        """
        for client, since in self.waiting.get(service, {}).items():
            if self.clock.now() - since < MAX_CLIENT_WAIT_MS:
                return False
            client.give_up(CloseReason.SLOT)
            return True
        return False
