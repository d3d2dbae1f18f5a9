"""Upstreams that write down what they run, and misbehave when told."""

import asyncio
from contextlib import AsyncExitStack
import enum
import random
import time
from typing import Any

from clockworks import examples
from clockworks.dialect import ClockworksDialect
from clockworks.dialect import LOAD_FORMAT
from soak.proxy import Proxy
from soak.records import Run
from soak.records import Seen
from standins.scripted import Heard
from standins.scripted import ScriptedUpstream
from standins.scripted import text

NAMES = ClockworksDialect.names
SIGNED = f"{NAMES.signature}: soak"
WORK_S = 0.03
SLOTS = 4
HEALTH_PATH = "/health"
FOREVER_S = 60.0


class Habit(enum.Enum):
    """How an upstream answers requests; its health stays good."""

    WELL = "well"
    SILENT = "silent"
    LOSING = "losing"
    SHEDDING = "shedding"
    EXTRA = "extra"
    CUT_SHORT = "cut_short"
    SLOW = "slow"


class SoakUpstream:
    """One upstream behind a proxy of its own."""

    def __init__(
        self,
        identity: str,
        service: str,
        zone: str,
        seen: Seen,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.seen = seen
        self.rng = rng
        self.habit = Habit.WELL
        self.running = 0
        self.server = ScriptedUpstream(self._answer)
        self.proxy: Proxy

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        await self.server.start(stack)
        self.proxy = Proxy(self.server.address)
        await self.proxy.start(stack)

    def entry(self, draining: bool = False) -> dict[str, Any]:
        """Return what stands in the store."""
        return examples.entry(
            service=self.service,
            zone=self.zone,
            address=self.proxy.address,
            state=examples.state(draining),
        )

    async def _answer(
        self, heard: Heard, writer: asyncio.StreamWriter
    ) -> None:
        load = f"{LOAD_FORMAT.load}: {self.running},0,{SLOTS},100"
        named = f"{NAMES.instance}: {self.identity}"
        if heard.target == HEALTH_PATH:
            writer.write(text(200, b"", named, load))
            return
        identity = heard.headers.get(NAMES.request_id, "")
        echo = f"{NAMES.request_id}: {identity}"
        wanted = heard.headers.get(NAMES.expected_instance, self.identity)
        if wanted != self.identity:
            writer.write(text(421, b"", echo, named))
            return
        if self.habit is Habit.SHEDDING or self.running >= 2 * SLOTS:
            not_run = f"{NAMES.not_run}: full"
            writer.write(text(503, b"", echo, not_run, load))
            return
        await self._run(heard, identity, writer, [echo, load])

    async def _run(
        self,
        heard: Heard,
        identity: str,
        writer: asyncio.StreamWriter,
        lines: list[str],
    ) -> None:
        body = f"{identity}|{self.identity}|".encode()
        body *= self.rng.randint(1, 400)
        self.seen.runs.append(
            Run(
                identity,
                self.identity,
                self.service,
                heard.target,
                body,
                time.monotonic(),
            )
        )
        habit = self.habit
        self.running += 1
        try:
            await asyncio.sleep(WORK_S * (10 if habit is Habit.SLOW else 1))
            if habit is Habit.SILENT:
                await asyncio.sleep(FOREVER_S)
        finally:
            self.running -= 1
        if habit is Habit.LOSING:
            writer.close()
            return
        answer = text(200, body, *lines, SIGNED)
        if habit is Habit.CUT_SHORT:
            writer.write(answer[:-1])
            writer.close()
            return
        writer.write(answer)
        if habit is Habit.EXTRA:
            writer.write(text(200, b"nobody asked", SIGNED))
