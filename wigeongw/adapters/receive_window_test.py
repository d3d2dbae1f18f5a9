"""Tests of what is read of a client's connection at a time."""

import asyncio
import socket
import unittest

from wigeongw.adapters import receive_window
from wigeongw.adapters.receive_window import ReceiveWindow
from wigeongw.decisions.memory_ledger import MemoryLedger

MEMORY = 152_000_000
LONG_BODY_BYTES = 10_000_000
SHORT_BODY_BYTES = 3_000


class ReceiveWindowTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Connect a pair of sockets."""
        own, self.peer = socket.socketpair()
        self.addCleanup(self.peer.close)
        own.setblocking(False)
        loop = asyncio.get_running_loop()
        self.received: list[int] = []
        received = self.received

        class Receiver(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                received.append(len(data))

        transport, _ = await loop.create_connection(Receiver, sock=own)
        self.addCleanup(transport.abort)
        self.ledger: MemoryLedger[str] = MemoryLedger(lambda: MEMORY)
        self.window = ReceiveWindow(transport, self.ledger)

    async def reads(self) -> list[int]:
        """Send more than any read takes; return the sizes of the reads."""
        self.received.clear()
        most = receive_window.WIDE_READ_BYTES
        self.peer.sendall(bytes(most + 1))
        while sum(self.received) <= most:  # noqa: ASYNC110
            await asyncio.sleep(0)
        return self.received

    async def test_little_is_read_at_a_time(self) -> None:
        """Load: a crowd whose bytes arrive in one turn of the loop."""
        most = receive_window.NARROW_READ_BYTES
        self.assertEqual(max(await self.reads()), most)
        self.window.receive_body("a", SHORT_BODY_BYTES)
        self.assertEqual(max(await self.reads()), most)

    async def test_long_body_is_read_fast_while_there_is_room(self) -> None:
        self.window.receive_body("a", LONG_BODY_BYTES)
        self.assertEqual(
            max(await self.reads()), receive_window.WIDE_READ_BYTES
        )
        held = receive_window.WIDE_HELD_BYTES
        self.assertEqual(self.ledger.windows.total, held)
        self.window.narrow("a")
        self.assertEqual(self.ledger.windows.total, 0)
        most = receive_window.NARROW_READ_BYTES
        self.assertEqual(max(await self.reads()), most)

    async def test_long_body_is_read_slowly_without_room(self) -> None:
        self.ledger.clients = MEMORY
        self.window.receive_body("a", LONG_BODY_BYTES)
        most = receive_window.NARROW_READ_BYTES
        self.assertEqual(max(await self.reads()), most)


if __name__ == "__main__":
    unittest.main()
