"""Claims idempotency keys in the store and keeps the recorded answers.

Claims that arrive close together go out in one transaction, so that writes
grow more slowly than requests. A lost reply is settled by trying the same
transaction again: it finds our own token, or somebody else's.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
import hashlib
import random

import logbook
from pydantic import TypeAdapter
from pydantic import ValidationError

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.identity import new_identity
from wigeongw.core.records import Outcome
from wigeongw.daemon.errors import Problem
from wigeongw.daemon.metrics import Metrics
from wigeongw.decisions import once
from wigeongw.decisions.once import Claim
from wigeongw.decisions.once import ClaimState
from wigeongw.decisions.once import Verdict
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import Committed
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Store
from wigeongw.settings.model import OnceSettings

CLAIM = TypeAdapter(Claim)
KEYS = "once/"
GROUP_MOST = 32
SETTLE_TRIES = 3
SETTLE_PAUSE_MS = 30.0
RELEASE_WAIT_MS = 1_000.0
RECORD_TRIES = 20
RECORD_PAUSE_MS = 500.0
LEASES_PER_KEEP = 24.0
WAITING_MOST = 4_096

log = logbook.Logger("once")


@dataclass(frozen=True, slots=True)
class Ticket:
    """A claim of our own.

    Attributes:
        asked_at: when it was asked for, monotonic milliseconds.
        stored_at: store revision of the claim.
    """

    key: str
    claim: Claim
    asked_at: float
    stored_at: int


@dataclass(slots=True)
class Queued:
    """A write that waits for the next group."""

    put: Put
    done: asyncio.Future[Entry]


def digest(*parts: bytes) -> str:
    """Return one digest over several texts, each with its length."""
    total = hashlib.sha256()
    for part in parts:
        total.update(len(part).to_bytes(8, "big"))
        total.update(part)
    return total.hexdigest()


def encode(claim: Claim) -> bytes:
    """Write a claim as the store keeps it."""
    text = replace(claim, body=b"")
    return CLAIM.dump_json(text) + b"\n" + claim.body


def decode(raw: bytes) -> Claim:
    """Read a claim.

    Raises:
        StoreError: when it is damaged.
    """
    head, _, body = raw.partition(b"\n")
    try:
        return replace(CLAIM.validate_json(head), body=body)
    except ValidationError as error:
        raise StoreError(f"unreadable claim: {error}") from error


class OnceDesk:
    """Owns this entry host's claims."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        host: str,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.prefix = prefix + KEYS
        self.host = host
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.rules = OnceSettings()
        self.queue: list[Queued] = []
        self.ready = asyncio.Event()
        self.lease = 0
        self.lease_until = float("-inf")
        self.recording: set[asyncio.Task[None]] = set()

    async def claim(
        self, service: str, key: str, body_digest: str, ends_in_ms: float
    ) -> Ticket | Claim:
        """Claim a key, or find what became of it before.

        Returns:
            A ticket to dispatch with, or the recorded answer to replay.

        Raises:
            Problem: when the request must not be sent.
        """
        name = self.prefix + service + "/" + digest(key.encode())
        claim = Claim(
            new_identity(self.rng),
            self.host,
            body_digest,
            ClaimState.CLAIMED,
            self.clock.wall() + ends_in_ms,
        )
        asked_at = self.clock.now()
        expected = 0
        while True:
            entry = await self._settle(name, claim, expected)
            found = decode(entry.value)
            verdict = once.judge(
                found, claim.token, body_digest, self.clock.wall()
            )
            self.metrics.count("once", verdict.value)
            if verdict is Verdict.DISPATCH:
                return Ticket(name, claim, asked_at, entry.revision)
            if verdict is Verdict.REPLAY:
                return found
            if verdict is not Verdict.RECLAIM:
                raise _problem(verdict)
            expected = entry.revision

    def may_dispatch(self, ticket: Ticket) -> bool:
        """Whether a ticket may be acted on right now."""
        return once.may_dispatch(
            ticket.asked_at, self.rules.claim_ms, self.clock.now()
        )

    async def release(self, ticket: Ticket) -> None:
        """Record that nothing ran, so that the key can be claimed again.

        Waits a bounded time: when the store is away the client is told the
        truth all the same, and the key stays claimed.
        """
        task = self._record(ticket, ClaimState.NOT_RUN)
        await asyncio.wait([task], timeout=seconds(RELEASE_WAIT_MS))

    def record_answer(
        self,
        ticket: Ticket,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes | None,
    ) -> None:
        """Record that a request ran, with its answer when it is kept.

        Args:
            ticket: the claim.
            status: of the answer.
            headers: of the answer.
            body: the whole body, or None when it is not kept.
        """
        if body is None or len(body) > self.rules.answer_most_bytes:
            self._record(ticket, ClaimState.RAN)
            return
        kept = replace(ticket.claim, status=status, headers=headers, body=body)
        self._record(replace(ticket, claim=kept), ClaimState.RAN)

    def record_unknown(self, ticket: Ticket) -> None:
        """Record that nobody can know whether a request ran."""
        self._record(ticket, ClaimState.UNKNOWN)

    async def run(self) -> None:
        """Write queued claims in groups, for ever."""
        while True:
            await self.ready.wait()
            await asyncio.sleep(seconds(self.rules.group_ms))
            group, self.queue = (
                self.queue[:GROUP_MOST],
                self.queue[GROUP_MOST:],
            )
            if not self.queue:
                self.ready.clear()
            try:
                await self._write(group)
            except StoreError as error:
                for queued in group:
                    _fail(queued, error)

    async def close(self) -> None:
        """Wait for outcomes that are still being recorded."""
        if self.recording:
            await asyncio.wait(
                list(self.recording), timeout=seconds(RELEASE_WAIT_MS)
            )

    # Inside

    async def _settle(self, name: str, claim: Claim, expected: int) -> Entry:
        """Write a claim and return what stands there afterwards."""
        put = Put(name, encode(claim), expected)
        for left in reversed(range(SETTLE_TRIES)):
            try:
                return await self._put(put)
            except StoreError as error:
                if not left:
                    raise Problem(
                        503,
                        "The key could not be claimed",
                        str(error),
                        Outcome.NOT_RUN,
                        1,
                    ) from error
                await asyncio.sleep(seconds(SETTLE_PAUSE_MS))
        raise AssertionError("unreachable")

    async def _put(self, put: Put) -> Entry:
        """Queue a write; the result is the entry that stands afterwards."""
        if len(self.queue) >= WAITING_MOST:
            raise StoreError("too many claims wait")
        loop = asyncio.get_running_loop()
        queued = Queued(put, loop.create_future())
        self.queue.append(queued)
        self.ready.set()
        return await queued.done

    async def _write(self, group: Sequence[Queued]) -> None:
        """Write a group; when one of it conflicts, write the others again.

        Two writes of one key never share a group's transaction.
        """
        lease = await self._lease()
        left = list(group)
        while left:
            batch = list({q.put.key: q for q in reversed(left)}.values())
            puts = [replace(q.put, lease=lease) for q in batch]
            done = await self.store.commit(puts)
            self.metrics.count("once_writes")
            finished = _finished(batch, done)
            left = [q for q in left if q not in finished]

    async def _lease(self) -> int:
        """Return a lease that outlives the time claims are kept."""
        now = self.clock.now()
        if now >= self.lease_until:
            slice_ms = self.rules.keep_ms / LEASES_PER_KEEP
            self.lease = await self.store.grant_lease(
                self.rules.keep_ms + slice_ms
            )
            self.lease_until = now + slice_ms
        return self.lease

    def _record(self, ticket: Ticket, state: ClaimState) -> asyncio.Task[None]:
        claim = replace(ticket.claim, state=state)
        put = Put(ticket.key, encode(claim), ticket.stored_at)
        task = asyncio.create_task(self._keep_recording(put))
        self.recording.add(task)
        task.add_done_callback(self.recording.discard)
        return task

    async def _keep_recording(self, put: Put) -> None:
        for _ in range(RECORD_TRIES):
            try:
                entry = await self._put(put)
            except StoreError:
                await asyncio.sleep(seconds(RECORD_PAUSE_MS))
                continue
            if entry.value != put.value:
                log.warning("An outcome met another claim.")
            return
        self.metrics.count("once_outcomes_lost")
        log.warning("An outcome could not be recorded.")


def _finished(batch: Sequence[Queued], done: Committed) -> list[Queued]:
    """Settle the writes that a transaction decided."""
    if done.ok:
        for queued in batch:
            put = queued.put
            _settle(queued, Entry(put.key, put.value, done.revision))
        return list(batch)
    conflicts: list[Queued] = []
    for queued, entry in zip(batch, done.found, strict=True):
        if entry.revision != queued.put.expected:
            conflicts.append(queued)
            if entry.revision == 0:
                _fail(queued, StoreError("the claim has expired"))
            else:
                _settle(queued, entry)
    return conflicts


def _settle(queued: Queued, entry: Entry) -> None:
    if not queued.done.done():
        queued.done.set_result(entry)


def _fail(queued: Queued, error: StoreError) -> None:
    if not queued.done.done():
        queued.done.set_exception(StoreError(str(error)))


def _problem(verdict: Verdict) -> Problem:
    if verdict is Verdict.OTHER_BODY:
        return Problem(
            422,
            "The key belongs to another request",
            "the same Idempotency-Key came with another body",
            Outcome.NOT_RUN,
        )
    if verdict is Verdict.IN_PROGRESS:
        return Problem(
            409,
            "The request is in progress",
            "an earlier one with this key has no outcome yet",
            Outcome.UNKNOWN,
            1,
        )
    if verdict is Verdict.ANSWER_GONE:
        return Problem(
            409,
            "The request ran",
            "its answer was too large to keep",
            Outcome.RAN,
        )
    return Problem(
        409,
        "The outcome is unknown",
        "whether the request with this key ran cannot be known any more",
        Outcome.UNKNOWN,
    )
