"""Upstreams that record what they execute and misbehave on demand."""

import asyncio
import contextlib
from contextlib import AsyncExitStack
import enum
import random
import time
from typing import Any

from clockworks import sample_documents
from clockworks.dialect import ClockworksDialect
from clockworks.dialect import LOAD_FORMAT
from soak.proxy import Proxy
from soak.run_history import Execution
from soak.run_history import RunHistory
from standins.scripted_upstream import ReceivedRequest
from standins.scripted_upstream import response_bytes
from standins.scripted_upstream import ScriptedUpstream

HEADER_NAMES = ClockworksDialect.names
SIGNATURE_HEADER = f"{HEADER_NAMES.signature}: soak"
WORK_DURATION_S = 0.03
SLOTS = 4
HEALTH_PATH = "/health"
SILENCE_DURATION_S = 60.0
ENDLESS_PIECE = b"x" * 65_536
ENDLESS_PAUSE_S = 0.005


class Behavior(enum.Enum):
    """How an upstream handles requests; its health checks always pass."""

    NORMAL = "well"
    # Executes the request and responds only after SILENCE_DURATION_S.
    SILENT = "silent"
    # Executes the request and closes the connection without a response.
    DROPS_RESPONSE = "losing"
    # Rejects every request as not run.
    SHEDDING = "shedding"
    # Sends a second response that belongs to no request.
    EXTRA_RESPONSE = "extra"
    # Leaves out the last byte of the response and closes the connection.
    CUT_SHORT = "cut_short"
    # Takes 10 times as long.
    SLOW = "slow"
    # Sends body bytes until its caller closes the connection.
    ENDLESS = "endless"


class SoakUpstream:
    """One upstream behind its own proxy.

    Attributes:
        instance_id: Id under which the store lists the upstream.
        service: Service that the upstream belongs to.
        zone: Availability zone of the upstream.
        behavior: How the upstream handles requests at the moment.
        rate_limit_per_s: Rate limit that it names; None for none.
        running_count: Number of requests that are being executed.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        history: RunHistory,
        rng: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.history = history
        self.rng = rng
        self.behavior = Behavior.NORMAL
        self.rate_limit_per_s: float | None = None
        self.running_count = 0
        self.server = ScriptedUpstream(self._respond)
        self.proxy: Proxy

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        await self.server.start(stack)
        self.proxy = Proxy(self.server.address)
        await self.proxy.start(stack)

    def store_entry(self, draining: bool = False) -> dict[str, Any]:
        """Return the document that describes the upstream in the store."""
        return sample_documents.target_entry(
            service=self.service,
            zone=self.zone,
            address=self.proxy.address,
            state=sample_documents.target_state(draining),
        )

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        load_headers = [
            f"{LOAD_FORMAT.load}: {self.running_count},0,{SLOTS},100"
        ]
        if self.rate_limit_per_s is not None:
            load_headers.append(
                f"{HEADER_NAMES.rate_limit}: {self.rate_limit_per_s}"
            )
        instance_header = f"{HEADER_NAMES.instance}: {self.instance_id}"
        if request.target == HEALTH_PATH:
            writer.write(
                response_bytes(200, b"", instance_header, *load_headers)
            )
            return
        request_id = request.headers.get(HEADER_NAMES.request_id, "")
        id_header = f"{HEADER_NAMES.request_id}: {request_id}"
        expected_instance = request.headers.get(
            HEADER_NAMES.expected_instance, self.instance_id
        )
        if expected_instance != self.instance_id:
            writer.write(response_bytes(421, b"", id_header, instance_header))
            return
        if (
            self.behavior is Behavior.SHEDDING
            or self.running_count >= 2 * SLOTS
        ):
            not_run_header = f"{HEADER_NAMES.not_run}: full"
            writer.write(
                response_bytes(
                    503, b"", id_header, not_run_header, *load_headers
                )
            )
            return
        await self._execute(
            request, request_id, writer, [id_header, *load_headers]
        )

    async def _execute(
        self,
        request: ReceivedRequest,
        request_id: str,
        writer: asyncio.StreamWriter,
        header_lines: list[str],
    ) -> None:
        body = f"{request_id}|{self.instance_id}|".encode()
        body *= self.rng.randint(1, 400)
        self.history.executions.append(
            Execution(
                request_id,
                self.instance_id,
                self.service,
                request.target,
                body,
                time.monotonic(),
            )
        )
        behavior = self.behavior
        self.running_count += 1
        try:
            await asyncio.sleep(
                WORK_DURATION_S * (10 if behavior is Behavior.SLOW else 1)
            )
            if behavior is Behavior.SILENT:
                await asyncio.sleep(SILENCE_DURATION_S)
        finally:
            self.running_count -= 1
        if behavior is Behavior.DROPS_RESPONSE:
            writer.close()
            return
        if behavior is Behavior.ENDLESS:
            await _write_until_closed(writer, header_lines)
            return
        response = response_bytes(200, body, *header_lines, SIGNATURE_HEADER)
        if behavior is Behavior.CUT_SHORT:
            writer.write(response[:-1])
            writer.close()
            return
        writer.write(response)
        if behavior is Behavior.EXTRA_RESPONSE:
            writer.write(
                response_bytes(200, b"nobody asked", SIGNATURE_HEADER)
            )


async def _write_until_closed(
    writer: asyncio.StreamWriter, header_lines: list[str]
) -> None:
    lines = (*header_lines, SIGNATURE_HEADER)
    writer.write(response_bytes(200, b"", *lines, length=-1))
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(ENDLESS_PIECE)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
