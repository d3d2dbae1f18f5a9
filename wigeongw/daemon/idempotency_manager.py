"""Claims idempotency keys in the store and records the outcomes of requests.

Claims that arrive close together are written in one transaction, so that the
number of writes grows more slowly than the number of requests. When the reply
of the store is lost, the same transaction is sent again: it then finds either
the token of this claim or that of another one.
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
from wigeongw.core.identifiers import new_random_id
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import Outcome
from wigeongw.daemon.errors import Problem
from wigeongw.decisions import idempotency
from wigeongw.decisions.idempotency import Claim
from wigeongw.decisions.idempotency import ClaimAction
from wigeongw.decisions.idempotency import ClaimState
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import CommitResult
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Store
from wigeongw.settings.schema import OnceSettings

CLAIM_ADAPTER = TypeAdapter(Claim)
KEY_PREFIX = "once/"
MAX_BATCH_SIZE = 32
MAX_CLAIM_ATTEMPTS = 3
CLAIM_RETRY_DELAY_MS = 30.0
OUTCOME_WAIT_TIMEOUT_MS = 1_000.0
MAX_RECORD_ATTEMPTS = 20
RECORD_RETRY_DELAY_MS = 500.0
LEASES_PER_KEEP_PERIOD = 24.0
MAX_QUEUED_WRITES = 4_096

log = logbook.Logger("once")


@dataclass(frozen=True, slots=True)
class OwnedClaim:
    """A claim made by this entry host.

    Attributes:
        key: key of the claim in the store.
        requested_at: time at which the claim was requested, in monotonic
            milliseconds.
        stored_revision: store revision of the claim.
    """

    key: str
    claim: Claim
    requested_at: float
    stored_revision: int


@dataclass(slots=True)
class QueuedWrite:
    """A write that waits for the next batch.

    Attributes:
        result: entry that the store holds under the key after the write.
    """

    put: Put
    result: asyncio.Future[Entry]


def digest(*parts: bytes) -> str:
    """Return the SHA-256 digest of length-prefixed parts, in hexadecimal."""
    sha256 = hashlib.sha256()
    for part in parts:
        sha256.update(len(part).to_bytes(8, "big"))
        sha256.update(part)
    return sha256.hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim as stored: a line of JSON, then the response body."""
    without_body = replace(claim, body=b"")
    return CLAIM_ADAPTER.dump_json(without_body) + b"\n" + claim.body


def decode_claim(raw: bytes) -> Claim:
    """Decode a stored claim.

    Raises:
        StoreError: when the JSON line is invalid.
    """
    head, _, body = raw.partition(b"\n")
    try:
        return replace(CLAIM_ADAPTER.validate_json(head), body=body)
    except ValidationError as error:
        raise StoreError(f"unreadable claim: {error}") from error


class IdempotencyManager:
    """Owns the claims of this entry host.

    Attributes:
        prefix: prefix of all claims in the store.
        queue: writes that wait for the next batch.
        has_writes: set when the queue is not empty.
        lease_id: store lease that new claims are bound to.
        lease_renew_at: time at which the next lease is needed, in monotonic
            milliseconds.
        record_tasks: outcomes that are being recorded.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        host_name: str,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.prefix = prefix + KEY_PREFIX
        self.host_name = host_name
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.settings = OnceSettings()
        self.queue: list[QueuedWrite] = []
        self.has_writes = asyncio.Event()
        self.lease_id = 0
        self.lease_renew_at = float("-inf")
        self.record_tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self, service: str, key: str, body_digest: str, timeout_ms: float
    ) -> OwnedClaim | Claim:
        """Claim an idempotency key, or find the outcome of an earlier request.

        Args:
            service: service of the request.
            key: idempotency key that the client sent.
            body_digest: digest of method, path and body.
            timeout_ms: time until the deadline of the request.

        Returns:
            A claim of this host, under which the request may be dispatched,
            or the stored claim whose response is to be replayed.

        Raises:
            Problem: when the request must not be dispatched.
            StoreError: when the stored claim cannot be decoded.
        """
        store_key = self.prefix + service + "/" + digest(key.encode())
        claim = Claim(
            new_random_id(self.rng),
            self.host_name,
            body_digest,
            ClaimState.CLAIMED,
            self.clock.wall() + timeout_ms,
        )
        requested_at = self.clock.now()
        expected_revision = 0
        while True:
            entry = await self._write_claim(
                store_key, claim, expected_revision
            )
            stored_claim = decode_claim(entry.value)
            action = idempotency.decide_claim_action(
                stored_claim, claim.token, body_digest, self.clock.wall()
            )
            self.metrics.count("once", action.value)
            if action is ClaimAction.DISPATCH:
                return OwnedClaim(
                    store_key, claim, requested_at, entry.revision
                )
            if action is ClaimAction.REPLAY:
                return stored_claim
            if action is not ClaimAction.RECLAIM:
                raise _problem_for(action)
            expected_revision = entry.revision

    def may_dispatch(self, owned_claim: OwnedClaim) -> bool:
        """Whether a claim is recent enough to dispatch its request now."""
        return idempotency.may_dispatch(
            owned_claim.requested_at, self.settings.claim_ms, self.clock.now()
        )

    async def release(self, owned_claim: OwnedClaim) -> None:
        """Record that a request did not run; its key can be claimed again.

        Waits a bounded time. When the store is unavailable, the client still
        receives the true outcome, but the key stays claimed.
        """
        task = self._start_recording(owned_claim, ClaimState.NOT_RUN)
        await asyncio.wait([task], timeout=seconds(OUTCOME_WAIT_TIMEOUT_MS))

    def record_response(
        self,
        owned_claim: OwnedClaim,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes | None,
    ) -> None:
        """Record that a request ran, with its response unless it is too large.

        Args:
            owned_claim: claim of the request.
            status: HTTP status of the response.
            headers: headers of the response.
            body: complete body of the response; None when it was not
                buffered.
        """
        if body is None or len(body) > self.settings.answer_most_bytes:
            self._start_recording(owned_claim, ClaimState.RAN)
            return
        recorded = replace(
            owned_claim.claim, status=status, headers=headers, body=body
        )
        self._start_recording(
            replace(owned_claim, claim=recorded), ClaimState.RAN
        )

    def record_unknown(self, owned_claim: OwnedClaim) -> None:
        """Record that it is unknown whether a request ran."""
        self._start_recording(owned_claim, ClaimState.UNKNOWN)

    async def run(self) -> None:
        """Write queued claims in batches until cancelled."""
        while True:
            await self.has_writes.wait()
            await asyncio.sleep(seconds(self.settings.group_ms))
            batch, self.queue = (
                self.queue[:MAX_BATCH_SIZE],
                self.queue[MAX_BATCH_SIZE:],
            )
            if not self.queue:
                self.has_writes.clear()
            try:
                await self._commit_batch(batch)
            except StoreError as error:
                for write in batch:
                    _reject(write, error)

    async def close(self) -> None:
        """Wait a bounded time for outcomes that are being recorded."""
        if self.record_tasks:
            await asyncio.wait(
                list(self.record_tasks),
                timeout=seconds(OUTCOME_WAIT_TIMEOUT_MS),
            )

    async def _write_claim(
        self, store_key: str, claim: Claim, expected_revision: int
    ) -> Entry:
        """Write a claim, with retries.

        Returns:
            The entry that the store holds afterwards; it may be another claim.

        Raises:
            Problem: when the store did not reply to any attempt.
        """
        put = Put(store_key, encode_claim(claim), expected_revision)
        for attempts_left in reversed(range(MAX_CLAIM_ATTEMPTS)):
            try:
                return await self._enqueue(put)
            except StoreError as error:
                if not attempts_left:
                    raise Problem(
                        503,
                        "The key could not be claimed",
                        str(error),
                        Outcome.NOT_RUN,
                        1,
                    ) from error
                await asyncio.sleep(seconds(CLAIM_RETRY_DELAY_MS))
        raise AssertionError("unreachable")

    async def _enqueue(self, put: Put) -> Entry:
        """Queue a write and wait for it.

        Returns:
            The entry that the store holds afterwards.

        Raises:
            StoreError: when the queue is full or the write failed.
        """
        if len(self.queue) >= MAX_QUEUED_WRITES:
            raise StoreError("too many claims wait")
        loop = asyncio.get_running_loop()
        write = QueuedWrite(put, loop.create_future())
        self.queue.append(write)
        self.has_writes.set()
        return await write.result

    async def _commit_batch(self, batch: Sequence[QueuedWrite]) -> None:
        """Commit a batch of writes.

        When some of the writes conflict, the others are committed again
        without them. Two writes to the same key never share a transaction.

        Raises:
            StoreError: when the store did not reply.
        """
        lease_id = await self._current_lease()
        pending = list(batch)
        while pending:
            distinct = list(
                {write.put.key: write for write in reversed(pending)}.values()
            )
            puts = [replace(write.put, lease=lease_id) for write in distinct]
            result = await self.store.commit(puts)
            self.metrics.count("once_writes")
            resolved = _resolve_batch(distinct, result)
            pending = [write for write in pending if write not in resolved]

    async def _current_lease(self) -> int:
        """Return a lease that outlives the claims bound to it.

        A new lease is granted LEASES_PER_KEEP_PERIOD times in each period for
        which outcomes are kept.

        Raises:
            StoreError: when the store did not reply.
        """
        now = self.clock.now()
        if now >= self.lease_renew_at:
            rotation_ms = self.settings.keep_ms / LEASES_PER_KEEP_PERIOD
            self.lease_id = await self.store.grant_lease(
                self.settings.keep_ms + rotation_ms
            )
            self.lease_renew_at = now + rotation_ms
        return self.lease_id

    def _start_recording(
        self, owned_claim: OwnedClaim, state: ClaimState
    ) -> asyncio.Task[None]:
        claim = replace(owned_claim.claim, state=state)
        put = Put(
            owned_claim.key, encode_claim(claim), owned_claim.stored_revision
        )
        task = asyncio.create_task(self._record_outcome(put))
        self.record_tasks.add(task)
        task.add_done_callback(self.record_tasks.discard)
        return task

    async def _record_outcome(self, put: Put) -> None:
        for _ in range(MAX_RECORD_ATTEMPTS):
            try:
                entry = await self._enqueue(put)
            except StoreError:
                await asyncio.sleep(seconds(RECORD_RETRY_DELAY_MS))
                continue
            if entry.value != put.value:
                log.warning(
                    "Recording the outcome of claim {}: the store holds "
                    "another value.",
                    put.key,
                )
            return
        self.metrics.count("once_outcomes_lost")
        log.warning(
            "Recording the outcome of claim {}: gave up after {} attempts.",
            put.key,
            MAX_RECORD_ATTEMPTS,
        )


def _resolve_batch(
    distinct: Sequence[QueuedWrite], result: CommitResult
) -> list[QueuedWrite]:
    """Resolve the writes whose result a transaction determined.

    Returns:
        The resolved writes: all of them when the transaction succeeded, else
        those that conflicted.
    """
    if result.ok:
        for write in distinct:
            put = write.put
            _resolve(write, Entry(put.key, put.value, result.revision))
        return list(distinct)
    conflicts: list[QueuedWrite] = []
    for write, entry in zip(distinct, result.found, strict=True):
        if entry.revision != write.put.expected:
            conflicts.append(write)
            if entry.revision == 0:
                _reject(write, StoreError("the claim has expired"))
            else:
                _resolve(write, entry)
    return conflicts


def _resolve(write: QueuedWrite, entry: Entry) -> None:
    if not write.result.done():
        write.result.set_result(entry)


def _reject(write: QueuedWrite, error: StoreError) -> None:
    if not write.result.done():
        write.result.set_exception(StoreError(str(error)))


def _problem_for(action: ClaimAction) -> Problem:
    if action is ClaimAction.OTHER_BODY:
        return Problem(
            422,
            "The key belongs to another request",
            "the same Idempotency-Key came with another body",
            Outcome.NOT_RUN,
        )
    if action is ClaimAction.IN_PROGRESS:
        return Problem(
            409,
            "The request is in progress",
            "an earlier one with this key has no outcome yet",
            Outcome.UNKNOWN,
            1,
        )
    if action is ClaimAction.ANSWER_GONE:
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
