"""Probes upstreams for their load, within a rate limit."""

import asyncio
from collections.abc import Iterable
from functools import partial

from wigeongw.adapters.upstream_pool import UpstreamPool
from wigeongw.adapters.upstream_reply import BufferedReply
from wigeongw.adapters.upstream_reply import ExchangeError
from wigeongw.core.clock import seconds
from wigeongw.decisions import placement as placements
from wigeongw.gateway.availability_reader import AvailabilityReader
from wigeongw.gateway.observation_exchange import ObservationExchange
from wigeongw.gateway.rate_limit_reader import RateLimitReader
from wigeongw.gateway.state import GatewayState
from wigeongw.gateway.target_state import TargetState
from wigeongw.ports.dialect import Dialect
from wigeongw.ports.dialect import ResponseKind

# An upstream answers health checks without a request slot, so a slower
# response indicates a problem.
PROBE_TIMEOUT_MS = 60.0
HTTP_OK = 200


class Prober:
    """Refreshes load samples on demand.

    Concurrent requests for the same upstream share one probe.

    Attributes:
        in_flight: running probes by identity of the upstream.
    """

    def __init__(
        self,
        state: GatewayState,
        pool: UpstreamPool,
        dialect: Dialect,
        observations: ObservationExchange,
        limit_reader: RateLimitReader,
        availability_reader: AvailabilityReader,
    ) -> None:
        self.state = state
        self.limit_reader = limit_reader
        self.availability_reader = availability_reader
        self.observations = observations
        self.pool = pool
        self.dialect = dialect
        self.in_flight: dict[str, asyncio.Task[None]] = {}

    async def refresh(self, targets: Iterable[TargetState]) -> int:
        """Probe upstreams whose sample is stale and wait for the results.

        Probes of silent upstreams are not awaited, unless all of them are
        silent.

        Args:
            targets: upstreams to probe; those in backoff are skipped.

        Returns:
            The number of probes that were awaited.
        """
        now = self.state.clock.now()
        states = list(targets)
        all_silent = all(target.is_silent(now) for target in states)
        tasks = []
        for target in states:
            fresh = placements.is_fresh(target.sample, now)
            if fresh or target.backoff_until > now:
                continue
            task = self.in_flight.get(target.target.identity)
            if task is None:
                if not target.probe_bucket.take(now):
                    self.state.metrics.count("probes_over_budget_total")
                    continue
                task = asyncio.create_task(self._probe(target))
                self.in_flight[target.target.identity] = task
            if all_silent or not target.is_silent(now):
                tasks.append(task)
        if tasks:
            await asyncio.wait(tasks)
        return len(tasks)

    def close(self) -> None:
        """Cancel all probes in flight."""
        for task in self.in_flight.values():
            task.cancel()

    async def _probe(self, target: TargetState) -> None:
        identity = target.target.identity
        started_at = self.state.clock.now()
        reuses_connection = self.pool.has_idle(target.target)
        try:
            async with asyncio.timeout(seconds(PROBE_TIMEOUT_MS)):
                await self._send_probe(target)
        except (ExchangeError, TimeoutError) as error:
            target.record_unreachable(self.state.clock.now())
            self.observations.report_silent(target, started_at)
            self.state.metrics.count("probes_failed_total")
            self.state.log.add(
                "probe",
                to=identity,
                event="failed",
                rest_ms=target.backoff_ms,
                took_ms=self.state.clock.now() - started_at,
                new_connection=int(not reuses_connection),
                cause=repr(error),
            )
        finally:
            self.in_flight.pop(identity, None)

    def _read_head(
        self, target: TargetState, sent_at: float, reply: BufferedReply
    ) -> None:
        """Take in what an upstream says of itself in the head of a response.

        That counts even if the rest never comes.
        """
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
        self.limit_reader.read(target, reply, ResponseKind.PROBE, sent_at)
        self.availability_reader.read(target, reply)

    async def _send_probe(self, target: TargetState) -> None:
        service = self.state.service(target.target.service)
        path = service.health_path if service else "/"
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {target.target.address}\r\n\r\n"
        ).encode("latin-1")
        self.state.metrics.count("probes_total")
        connection = await self.pool.acquire(target.target)
        sent_at = self.state.clock.now()
        reply = await connection.exchange(
            head, b"", "", False, partial(self._read_head, target, sent_at)
        )
        self.pool.release(target.target, connection)
        if target.misdirected:
            return
        now = self.state.clock.now()
        target.record_reachable()
        healthy = reply.status == HTTP_OK
        sample = self.dialect.load(
            reply.fields, now, healthy, ResponseKind.PROBE
        )
        if sample is not None:
            target.update_sample(sample)
            target.last_probe_sample = sample
            self.observations.report_probe(target)
            return
        cold_left_ms = self.dialect.cold_left(reply.fields)
        if healthy and cold_left_ms is not None:
            target.record_warm_up(cold_left_ms, now)
