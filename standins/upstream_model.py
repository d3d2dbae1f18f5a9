"""What a stand-in upstream does: slots, cold start, drain, shed, faults."""

import asyncio
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
import json
import random
from typing import Protocol
import urllib.parse

from wigeongw.adapters import http_upstream as names
from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds

COLD_FACTOR = 4.0
STALL_FACTOR = 3.0
STALL_MS = (20.0, 200.0)
FILE_ETAG = '"v1"'

Headers = dict[str, str]


@dataclass(slots=True)
class Faults:
    """What goes wrong until it is switched off.

    Attributes:
        truncate_at: bytes of the raw answer before the connection closes.
        file_cut_at: bytes of a file's body before the connection closes.
        wrong_identity: answers carry another request's identity.
        late_ms: answers come this much later.
        cross: each answer carries the body of the request before.
        drop: connections close instead of an answer, after running.
        shed: every request is turned away.
        refuse_status: every request runs and gets this status.
        no_length: answers end with the connection.
        duplicate: answers are sent twice.
    """

    truncate_at: int = -1
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
class Rules:
    """How an upstream behaves."""

    slots: int = 4
    queue_most: int = 64
    cold_work: int = 0
    cold_bears: int = 1
    work_ms: float = 10.0
    sigma: float = 0.0
    stall_every_ms: float = 0.0


class Answering(Protocol):
    """Where the answers of a request go."""

    def reply(
        self,
        job: "Job",
        status: int,
        headers: Headers,
        body: bytes,
        is_file: bool = False,
    ) -> None:
        """Answer a request."""

    def close(self) -> None:
        """Close the connection without an answer."""


@dataclass(slots=True)
class Job:
    """One request in an upstream."""

    identity: str
    key: str
    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    connection: Answering
    keep: bool
    cancelled: bool = False
    running: bool = False
    timer: asyncio.TimerHandle | None = None
    work_ms: float = 0.0


@dataclass(slots=True)
class Seen:
    """What an upstream really did."""

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
    """One upstream."""

    def __init__(self, name: str, rules: Rules, seed: int) -> None:
        self.name = name
        self.rules = rules
        self.rng = random.Random(f"{seed}-{name}")
        self.clock = Clock()
        self.start = f"{name}-{self.rng.getrandbits(32):08x}"
        self.faults = Faults()
        self.seen = Seen()
        self.running: set[int] = set()
        self.jobs: dict[int, Job] = {}
        self.queue: deque[Job] = deque()
        self.leaving = False
        self.work_left = rules.cold_work
        self.fallen_until = 0.0
        self.stalled_until = 0.0
        self.next_stall = self._draw_stall(self.clock.now())
        self.before = b""
        self.server: asyncio.Server | None = None

    @property
    def cold(self) -> bool:
        """Whether it bears only a little."""
        return self.work_left > 0

    def in_flight(self) -> int:
        """Return requests taken in and not over."""
        return len(self.running) + len(self.queue)

    def turn_cold(self, restart: bool) -> None:
        """Begin a cold start, without a word unless it is a restart."""
        self.work_left = max(1, self.rules.cold_work)
        if restart:
            self.start = f"{self.name}-{self.rng.getrandbits(32):08x}"

    def take(self, job: Job) -> None:
        """Take a request in."""
        self.seen.requests += 1
        self.seen.last_at = self.clock.wall()
        full = len(self.queue) >= self.rules.queue_most
        if self.faults.shed or self.leaving or full:
            self.seen.shed += 1
            self._shed(job)
            return
        self.queue.append(job)
        self.seen.most_in_flight = max(
            self.seen.most_in_flight, self.in_flight()
        )
        if self.cold:
            self._bear_cold()
        self._start_next()

    def cancel(self, job: Job) -> None:
        """Stop a request whose caller went away."""
        job.cancelled = True
        if job in self.queue:
            self.queue.remove(job)
            self.seen.cancelled += 1
        elif id(job) in self.running:
            self.seen.cancelled += 1
            if job.timer is not None:
                job.timer.cancel()
            self._end(job)

    def report(self) -> bytes:
        """Return the load report."""
        self.seen.reports += 1
        self.seen.report_times.append(self.clock.wall())
        return json.dumps(
            {
                "start": self.start,
                "in_flight": self.in_flight(),
                "leaving": self.leaving,
            }
        ).encode()

    # Inside

    def _bear_cold(self) -> None:
        self.seen.most_cold = max(self.seen.most_cold, self.in_flight())
        if self.in_flight() > self.rules.cold_bears:
            self.seen.overloads += 1
            self.fallen_until = self.clock.now() + 1_000.0

    def _start_next(self) -> None:
        while self.queue and len(self.running) < self.rules.slots:
            job = self.queue.popleft()
            self.running.add(id(job))
            self.jobs[id(job)] = job
            job.running = True
            self.seen.ran[job.identity] += 1
            self.seen.paths[job.path] += 1
            if job.key:
                self.seen.keys[job.key] += 1
            loop = asyncio.get_running_loop()
            job.work_ms = self._work_ms(job)
            job.timer = loop.call_later(
                seconds(job.work_ms), self._finish, job
            )

    def _work_ms(self, job: Job) -> float:
        now = self.clock.now()
        query = urllib.parse.parse_qs(job.query)
        if "work_ms" in query:
            work = float(query["work_ms"][0])
        else:
            work = self.rules.work_ms
            if self.rules.sigma:
                mu = -(self.rules.sigma**2) / 2
                work *= self.rng.lognormvariate(mu, self.rules.sigma)
        if self._stalled(now):
            work *= STALL_FACTOR
        if self.cold:
            work *= 1.0 + (COLD_FACTOR - 1.0) * (
                self.work_left / max(1, self.rules.cold_work)
            )
        if now < self.fallen_until:
            work += 1_000.0
        return work

    def _draw_stall(self, now: float) -> float:
        every = self.rules.stall_every_ms
        return now + self.rng.expovariate(1 / every) if every else 1e18

    def _stalled(self, now: float) -> bool:
        while now >= self.next_stall:
            length = self.rng.uniform(*STALL_MS)
            self.stalled_until = self.next_stall + length
            self.next_stall = self._draw_stall(self.stalled_until)
        return now < self.stalled_until

    def _finish(self, job: Job) -> None:
        self.seen.finished += 1
        if self.work_left > 0:
            self.work_left -= 1
        self._end(job)
        if self.faults.late_ms:
            asyncio.get_running_loop().call_later(
                seconds(self.faults.late_ms), self._answer, job
            )
        else:
            self._answer(job)

    def _end(self, job: Job) -> None:
        self.running.discard(id(job))
        self.jobs.pop(id(job), None)
        self._start_next()

    def _shed(self, job: Job) -> None:
        headers = {
            names.NOT_RUN: "1",
            names.START: self.start,
            names.REQUEST_ID: job.identity,
        }
        if self.leaving:
            headers[names.LEAVING] = "1"
        job.connection.reply(job, 503, headers, b"")

    def _answer(self, job: Job) -> None:
        if job.cancelled:
            return
        if self.faults.drop:
            job.connection.close()
            return
        headers = {
            names.START: self.start,
            names.REQUEST_ID: job.identity,
            "Content-Type": "application/json",
        }
        if self.leaving:
            headers[names.LEAVING] = "1"
        if self.faults.wrong_identity:
            headers[names.REQUEST_ID] = "0" * 16
        if "/file/" in job.path:
            self._answer_file(job, headers)
            return
        body = json.dumps(
            {
                "upstream": self.name,
                "method": job.method,
                "path": job.path,
                "id": job.identity,
                "size": len(job.body),
                "worked_ms": job.work_ms,
                "key": job.key,
                "headers": job.headers,
            }
        ).encode()
        body, self.before = (
            (self.before if self.faults.cross else body),
            body,
        )
        status = self.faults.refuse_status or 200
        job.connection.reply(job, status, headers, body)

    def _answer_file(self, job: Job, headers: Headers) -> None:
        size = int(job.path.rsplit("/", 1)[1])
        headers["ETag"] = FILE_ETAG
        headers["Accept-Ranges"] = "bytes"
        first = 0
        status = 200
        wanted = job.headers.get("range", "")
        if wanted.startswith("bytes=") and wanted.endswith("-"):
            first = int(wanted[6:-1])
            status = 206
            headers["Content-Range"] = f"bytes {first}-{size - 1}/{size}"
        job.connection.reply(
            job, status, headers, file_bytes(first, size), is_file=True
        )


def file_bytes(first: int, end: int) -> bytes:
    """Return a part of a file whose every byte depends on its place."""
    pattern = bytes((i * 7 + i // 251) % 256 for i in range(251 * 16))
    period = len(pattern)
    repeats = (end - first) // period + 2
    shift = first % period
    return (pattern * repeats)[shift : shift + end - first]
