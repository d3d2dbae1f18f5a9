"""Crowds without manners neither end nor stall ``wigeongw serve``.

As for the platform's host (``clockworks/crowds_test.py``): one crowd a test,
with lowered limits; while it stays, ordinary requests must get through.
"""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace
import unittest

from standins import crowds
from standins.crowd_case import CrowdCase
from standins.crowd_case import SETTLE_S
from standins.crowd_case import test_of
from standins.crowd_client import Client
from standins.crowd_client import Endpoint
from standins.process_watch import ProcessWatch
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import ScriptedUpstream
from standins.site_case import SERVICE
from standins.site_processes import settings_text
from standins.site_processes import SiteProcesses
from wigeongw.adapters.http_upstream_client import REPORT_PATH
from wigeongw.core.records import Upstream

ZONE = "amman"
HOST = "entry-amman-1"
MEMORY_MB = 160
MAX_DESCRIPTORS = 456
SLOTS = 256
FEW_SLOTS = 4
LOAD_REPORT = b'{"start": "s-1", "in_flight": 0, "leaving": false}'
LONG_DEADLINE = "Wigeongw-Deadline-Ms: 60000"
SETTINGS_TIMEOUT_MS = 20_000.0


class ServeCase(CrowdCase):
    """Runs ``wigeongw serve`` with lowered limits and one upstream.

    Attributes:
        slots: slots of the upstream.
    """

    slots = SLOTS
    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        site = await stack.enter_async_context(SiteProcesses())
        await site.start_platform()
        upstream = ScriptedUpstream(self.respond)
        await upstream.start(stack)
        listed = Upstream(f"{ZONE}-1", upstream.address, SERVICE, ZONE)
        await site.set_host_list(replace(site.listing, upstreams=(listed,)))
        await site.publish(
            settings_text(
                availability_zones={ZONE: {"distance_ms": 0.1}},
                services={
                    SERVICE: {
                        "paths": [f"/{SERVICE}"],
                        "slots": self.slots,
                        "idempotency_key": "optional",
                    }
                },
                cold_start={"first_limit": self.slots},
            )
        )
        await site.start_host(
            HOST,
            ZONE,
            memory_most_bytes=MEMORY_MB * 1_000_000,
            descriptors_most=MAX_DESCRIPTORS,
        )
        await site.wait_revision(1)
        await site.wait_grantors(SETTINGS_TIMEOUT_MS)
        address = site.address(HOST)
        self.process = site.processes[HOST].process
        port = int(address.rpartition(":")[2])
        self.watch = ProcessWatch(self.process.pid, (port,))
        prefix = f"/{SERVICE}/"
        self.endpoint = Endpoint(address, "a", prefix, prefix, "PUT")
        await self.until_answered("GET")

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a question for the load, or as the path says."""
        if request.target == REPORT_PATH:
            length = f"Content-Length: {len(LOAD_REPORT)}"
            head = f"HTTP/1.1 200 OK\r\n{length}\r\n\r\n"
            writer.write(head.encode() + LOAD_REPORT)
            return
        await crowds.write_answer(writer, request.target)


class CrowdsTest(ServeCase):
    """A test for each crowd, on a small host."""


class FewSlotsTest(ServeCase):
    """Crowds that could keep all slots of the upstream for themselves."""

    slots = FEW_SLOTS

    async def test_bodies_one_byte_short(self) -> None:
        await self.play_crowd("bodies_one_byte_short")

    async def test_trailers_of_many_clients(self) -> None:
        await self.play_crowd("trailers_of_many_clients")

    async def test_trailers_in_pieces(self) -> None:
        await self.play_crowd("trailers_in_pieces")

    async def test_slow_readers_of_chunks(self) -> None:
        await self.play_crowd("slow_readers_of_chunks")


class OneSlotTest(ServeCase):
    """One client that could keep the only slot."""

    slots = 1

    async def check_slot_beside(self, line: str, body: bytes) -> None:
        """Send a body without its end, and then an ordinary request.

        It waited for the slot until its own deadline.
        """
        client = Client(self.endpoint)
        self.addCleanup(client.close)
        await client.connect()
        await client.send(self.endpoint.write(line, LONG_DEADLINE), body)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(await self.status_of("GET"), 200)

    async def test_small_body_without_its_end_takes_no_slot(self) -> None:
        await self.check_slot_beside(
            "Transfer-Encoding: chunked", crowds.chunk(b"x")
        )

    async def test_long_body_one_byte_short_gives_its_slot_back(self) -> None:
        size = crowds.BODY_BYTES
        await self.check_slot_beside(
            f"Content-Length: {size}", bytes(size - crowds.HELD_BACK_BYTES)
        )


for crowd_name in (*crowds.CROWDS, crowds.ALL_AT_ONCE):
    setattr(CrowdsTest, f"test_{crowd_name}", test_of(crowd_name))


if __name__ == "__main__":
    unittest.main()
