"""Behaviour of a stand-in upstream, without its HTTP layer.

Covers slots and a queue, cold start, load shedding, shutdown and faults.
"""

import asyncio
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import json
import random
from typing import Protocol
import urllib.parse

from wigeongw.adapters import http_upstream_client
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

# Factor on the work of a request at the beginning of a cold start; it falls
# to 1 while the upstream warms up.
COLD_SLOWDOWN = 4.0
# Factor on the work of a request that starts during a stall.
STALL_SLOWDOWN = 3.0
STALL_DURATION_RANGE_MS = (20.0, 200.0)
FILE_ETAG = '"v1"'

Headers = dict[str, str]


@dataclass(slots=True)
class Faults:
    """Faults of an upstream; each lasts until it is switched off.

    The field names are the keys of ``/control/faults``.

    Attributes:
        truncate_at: Number of bytes of the raw response that are sent before
            the connection closes; -1 for all.
        stop_at: Number of bytes of the raw response after which the upstream
            falls silent; -1 for never.
        file_cut_at: Number of body bytes of a file that are sent before the
            connection closes; -1 for all.
        wrong_identity: Responses carry an id that no request has.
        late_ms: Delay of each response in milliseconds.
        cross: Each response carries the body of the previous one.
        drop: The connection closes after the request ran, without a
            response.
        shed: Every request is rejected as not run.
        refuse_status: Status of the responses to requests that ran; 0 for
            200.
        no_length: Responses have no Content-Length and end when the
            connection closes.
        duplicate: Each response is sent twice.
    """

    truncate_at: int = -1
    stop_at: int = -1
    file_cut_at: int = -1
    wrong_identity: bool = False
    late_ms: float = 0.0
    cross: bool = False
    drop: bool = False
    shed: bool = False
    refuse_status: int = 0
    no_length: bool = False
    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamOptions:
    """Properties of an upstream.

    Attributes:
        slots: Number of requests that run at a time.
        max_queue_length: Number of queued requests at which further ones
            are rejected.
        cold_work: Number of requests to finish before a cold upstream is
            warm; 0 for an upstream that starts warm.
        max_cold_in_flight: Number of requests in flight above which a cold
            upstream is overloaded.
        work_ms: Mean work of a request that names none, in milliseconds.
        sigma: Sigma of the lognormal distribution of the work; 0 for
            constant work.
        stall_every_ms: Mean time from the end of a stall to the next one,
            in milliseconds; 0 for no stalls.
    """

    slots: int = 4
    max_queue_length: int = 64
    cold_work: int = 0
    max_cold_in_flight: int = 1
    work_ms: float = 10.0
    sigma: float = 0.0
    stall_every_ms: float = 0.0


class Responder(Protocol):
    """Sends the response of a request."""

    def respond(
        self,
        job: "Job",
        status: int,
        headers: Headers,
        body: bytes,
        is_file: bool = False,
    ) -> None:
        """Send a response.

        Args:
            job: The request.
            status: Status code.
            headers: Headers other than Content-Length.
            body: Complete body.
            is_file: Whether the body is part of a file, which the fault
                ``file_cut_at`` can cut.
        """

    def close(self) -> None:
        """Close the connection without a response."""


@dataclass(slots=True)
class Job:
    """One request that an upstream received.

    Attributes:
        request_id: Id that the gateway gave to the request.
        idempotency_key: Idempotency key; empty for none.
        connection: Where the response goes.
        cancelled: Whether the caller closed the connection.
        running: Whether the request has left the queue.
        timer: Timer that finishes the request while it runs.
        work_ms: Time that the request occupies a slot, in milliseconds.
    """

    request_id: str
    idempotency_key: str
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    connection: Responder
    keep: bool
    cancelled: bool = False
    running: bool = False
    timer: asyncio.TimerHandle | None = None
    work_ms: float = 0.0


@dataclass(slots=True)
class UpstreamStats:
    """Counters of what an upstream did.

    The field names are the keys of ``/control/seen``.

    Attributes:
        ran: Number of times that each request id began to run.
        keys: Number of times that each idempotency key began to run.
        paths: Number of times that each path began to run.
        requests: Number of requests received.
        finished: Number of requests that ran to their end.
        cancelled: Number of requests cancelled by their caller.
        shed: Number of requests rejected.
        reports: Number of load reports.
        most_in_flight: Highest number of requests in flight.
        most_cold: Highest number of requests in flight while cold.
        overloads: Number of requests that overloaded the cold upstream.
        last_at: Wall clock time of the last request.
        report_times: Wall clock times of the load reports.
        report_bytes: Not set by the stand-in.
    """

    ran: Counter[str] = field(default_factory=Counter)
    keys: Counter[str] = field(default_factory=Counter)
    paths: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    reports: int = 0
    most_in_flight: int = 0
    most_cold: int = 0
    overloads: int = 0
    last_at: float = 0.0
    report_times: list[float] = field(default_factory=list)
    report_bytes: int = 0


class UpstreamStandIn:
    """One upstream.

    Attributes:
        start_id: Identity of the current start, which a restart changes.
        is_leaving: Whether the upstream shuts down and rejects requests.
        cold_work_left: Number of requests until the upstream is warm.
        overloaded_until: Time until which requests take 1 s longer.
        stalled_until: Time at which the current or last stall ends.
        next_stall_at: Time at which the next stall begins.
        previous_body: Body of the previous response.
    """

    def __init__(self, name: str, options: UpstreamOptions, seed: int) -> None:
        self.name = name
        self.options = options
        self.rng = random.Random(f"{seed}-{name}")
        self.clock = Clock()
        self.start_id = f"{name}-{self.rng.getrandbits(32):08x}"
        self.faults = Faults()
        self.stats = UpstreamStats()
        self.running: set[int] = set()
        self.jobs: dict[int, Job] = {}
        self.queue: deque[Job] = deque()
        self.is_leaving = False
        self.cold_work_left = options.cold_work
        self.overloaded_until = 0.0
        self.stalled_until = 0.0
        self.next_stall_at = self._next_stall_after(self.clock.now())
        self.previous_body = b""
        self.server: asyncio.Server | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the upstream is still warming up."""
        return self.cold_work_left > 0

    def in_flight(self) -> int:
        """Return the number of requests that run or are queued."""
        return len(self.running) + len(self.queue)

    def begin_cold_start(self, restart: bool) -> None:
        """Begin a cold start.

        Args:
            restart: Whether the upstream announces a new start; otherwise
                it becomes cold without notice.
        """
        self.cold_work_left = max(1, self.options.cold_work)
        if restart:
            self.start_id = f"{self.name}-{self.rng.getrandbits(32):08x}"

    def accept(self, job: Job) -> None:
        """Queue a request, or reject it."""
        self.stats.requests += 1
        self.stats.last_at = self.clock.wall()
        is_full = len(self.queue) >= self.options.max_queue_length
        if self.faults.shed or self.is_leaving or is_full:
            self.stats.shed += 1
            self._shed(job)
            return
        self.queue.append(job)
        self.stats.most_in_flight = max(
            self.stats.most_in_flight, self.in_flight()
        )
        if self.is_cold:
            self._check_cold_overload()
        self._start_next()

    def cancel(self, job: Job) -> None:
        """Stop a request whose caller closed the connection."""
        job.cancelled = True
        if job in self.queue:
            self.queue.remove(job)
            self.stats.cancelled += 1
        elif id(job) in self.running:
            self.stats.cancelled += 1
            if job.timer is not None:
                job.timer.cancel()
            self._release_slot(job)

    def report(self) -> bytes:
        """Return the load report as JSON."""
        self.stats.reports += 1
        self.stats.report_times.append(self.clock.wall())
        return json.dumps(
            {
                "start": self.start_id,
                "in_flight": self.in_flight(),
                "leaving": self.is_leaving,
            }
        ).encode()

    # Implementation

    def _check_cold_overload(self) -> None:
        self.stats.most_cold = max(self.stats.most_cold, self.in_flight())
        if self.in_flight() > self.options.max_cold_in_flight:
            self.stats.overloads += 1
            self.overloaded_until = self.clock.now() + 1_000.0

    def _start_next(self) -> None:
        while self.queue and len(self.running) < self.options.slots:
            job = self.queue.popleft()
            self.running.add(id(job))
            self.jobs[id(job)] = job
            job.running = True
            self.stats.ran[job.request_id] += 1
            self.stats.paths[job.path] += 1
            if job.idempotency_key:
                self.stats.keys[job.idempotency_key] += 1
            loop = asyncio.get_running_loop()
            job.work_ms = self._work_ms(job)
            job.timer = loop.call_later(
                seconds(job.work_ms), self._finish, job
            )

    def _work_ms(self, job: Job) -> float:
        now = self.clock.now()
        query = urllib.parse.parse_qs(job.query)
        if "work_ms" in query:
            work_ms = float(query["work_ms"][0])
        else:
            work_ms = self.options.work_ms
            if self.options.sigma:
                mu = -(self.options.sigma**2) / 2
                work_ms *= self.rng.lognormvariate(mu, self.options.sigma)
        if self._is_stalled(now):
            work_ms *= STALL_SLOWDOWN
        if self.is_cold:
            work_ms *= 1.0 + (COLD_SLOWDOWN - 1.0) * (
                self.cold_work_left / max(1, self.options.cold_work)
            )
        if now < self.overloaded_until:
            work_ms += 1_000.0
        return work_ms

    def _next_stall_after(self, now: float) -> float:
        mean_interval_ms = self.options.stall_every_ms
        return (
            now + self.rng.expovariate(1 / mean_interval_ms)
            if mean_interval_ms
            else 1e18
        )

    def _is_stalled(self, now: float) -> bool:
        while now >= self.next_stall_at:
            duration_ms = self.rng.uniform(*STALL_DURATION_RANGE_MS)
            self.stalled_until = self.next_stall_at + duration_ms
            self.next_stall_at = self._next_stall_after(self.stalled_until)
        return now < self.stalled_until

    def _finish(self, job: Job) -> None:
        self.stats.finished += 1
        if self.cold_work_left > 0:
            self.cold_work_left -= 1
        self._release_slot(job)
        if self.faults.late_ms:
            asyncio.get_running_loop().call_later(
                seconds(self.faults.late_ms), self._respond, job
            )
        else:
            self._respond(job)

    def _release_slot(self, job: Job) -> None:
        self.running.discard(id(job))
        self.jobs.pop(id(job), None)
        self._start_next()

    def _shed(self, job: Job) -> None:
        headers = {
            http_upstream_client.NOT_RUN: "1",
            http_upstream_client.START: self.start_id,
            http_upstream_client.REQUEST_ID: job.request_id,
        }
        if self.is_leaving:
            headers[http_upstream_client.LEAVING] = "1"
        job.connection.respond(job, 503, headers, b"")

    def _respond(self, job: Job) -> None:
        if job.cancelled:
            return
        if self.faults.drop:
            job.connection.close()
            return
        headers = {
            http_upstream_client.START: self.start_id,
            http_upstream_client.REQUEST_ID: job.request_id,
            "Content-Type": "application/json",
        }
        if self.is_leaving:
            headers[http_upstream_client.LEAVING] = "1"
        if self.faults.wrong_identity:
            headers[http_upstream_client.REQUEST_ID] = "0" * 16
        if "/file/" in job.path:
            self._respond_with_file(job, headers)
            return
        body = json.dumps(
            {
                "upstream": self.name,
                "method": job.method,
                "path": job.path,
                "id": job.request_id,
                "size": len(job.body),
                "worked_ms": job.work_ms,
                "key": job.idempotency_key,
                "headers": job.headers,
            }
        ).encode()
        body, self.previous_body = (
            (self.previous_body if self.faults.cross else body),
            body,
        )
        status = self.faults.refuse_status or 200
        job.connection.respond(job, status, headers, body)

    def _respond_with_file(self, job: Job, headers: Headers) -> None:
        size = int(job.path.rsplit("/", 1)[1])
        headers["ETag"] = FILE_ETAG
        headers["Accept-Ranges"] = "bytes"
        first_byte = 0
        status = 200
        range_header = job.headers.get("range", "")
        if range_header.startswith("bytes=") and range_header.endswith("-"):
            first_byte = int(range_header[6:-1])
            status = 206
            headers["Content-Range"] = f"bytes {first_byte}-{size - 1}/{size}"
        job.connection.respond(
            job, status, headers, file_bytes(first_byte, size), is_file=True
        )


def file_bytes(first_byte: int, end: int) -> bytes:
    """Return a part of a file whose bytes depend on their position.

    Args:
        first_byte: Position of the first byte.
        end: Position after the last byte.
    """
    pattern = bytes((i * 7 + i // 251) % 256 for i in range(251 * 16))
    period = len(pattern)
    repeats = (end - first_byte) // period + 2
    shift = first_byte % period
    return (pattern * repeats)[shift : shift + end - first_byte]
