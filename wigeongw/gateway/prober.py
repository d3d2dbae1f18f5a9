"""Asks upstreams for their load, within the measuring budget."""

import asyncio
from collections.abc import Iterable

from wigeongw.adapters.upstream_connection import ExchangeError
from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.core.clock import seconds
from wigeongw.decisions import placing
from wigeongw.gateway.sightings import SightingExchange
from wigeongw.gateway.state import HostState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import AnswerTo
from wigeongw.ports.dialect import Dialect

# A probe waits for no slot; one that takes longer tells of trouble.
PROBE_MS = 60.0
HEALTHY = 200


class Prober:
    """Keeps samples fresh on demand; equal probes are asked once."""

    def __init__(
        self,
        state: HostState,
        pool: UpstreamPool,
        dialect: Dialect,
        sightings: SightingExchange,
    ) -> None:
        self.state = state
        self.sightings = sightings
        self.pool = pool
        self.dialect = dialect
        self.running: dict[str, asyncio.Task[None]] = {}

    async def refresh(self, targets: Iterable[TargetState]) -> int:
        """Probe those whose sample is old and wait for the answers.

        Nobody waits for an upstream that went silent while there are others.

        Returns:
            For how many answers it waited.
        """
        now = self.state.clock.now()
        asked = list(targets)
        all_silent = all(target.silent for target in asked)
        tasks = []
        for target in asked:
            fresh = placing.is_fresh(target.sample, now)
            if fresh or target.rest_until > now:
                continue
            task = self.running.get(target.target.identity)
            if task is None:
                if not target.probes.take(now):
                    self.state.metrics.count("probes_over_budget_total")
                    continue
                task = asyncio.create_task(self._probe(target))
                self.running[target.target.identity] = task
            if all_silent or not target.silent:
                tasks.append(task)
        if tasks:
            await asyncio.wait(tasks)
        return len(tasks)

    def close(self) -> None:
        """End what runs."""
        for task in self.running.values():
            task.cancel()

    async def _probe(self, target: TargetState) -> None:
        identity = target.target.identity
        began = self.state.clock.now()
        try:
            async with asyncio.timeout(seconds(PROBE_MS)):
                await self._ask(target)
        except (ExchangeError, TimeoutError) as error:
            target.note_unreachable(self.state.clock.now())
            self.sightings.note_silent(target, began)
            self.state.metrics.count("probes_failed_total")
            self.state.log.add(
                "probe",
                to=identity,
                event="failed",
                rest_ms=target.rest_ms,
                cause=repr(error),
            )
        finally:
            self.running.pop(identity, None)

    async def _ask(self, target: TargetState) -> None:
        service = self.state.service(target.target.service)
        path = service.health_path if service else "/"
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {target.target.address}\r\n\r\n"
        ).encode("latin-1")
        self.state.metrics.count("probes_total")
        connection = await self.pool.take(target.target)
        reply = await connection.exchange(head, b"", "", False)
        self.pool.give_back(target.target, connection)
        now = self.state.clock.now()
        instance = reply.fields.get(self.dialect.names.instance)
        if instance is not None and instance != target.target.identity:
            target.misdirected = True
            self.state.log.add(
                "probe",
                to=target.target.identity,
                event="address_reused",
                by=instance,
            )
            return
        target.note_reached()
        healthy = reply.status == HEALTHY
        sample = self.dialect.load(reply.fields, now, healthy, AnswerTo.PROBE)
        if sample is not None:
            target.take(sample)
            target.probed = sample
            self.sightings.note(target)
