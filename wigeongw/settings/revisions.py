"""Settings revisions in the store: encoding, history and publication.

A revision is accepted in one transaction, which writes the pointer to the
current revision and an immutable history entry, or neither. Each revision
carries the digest of the previous one, so that the complete history can be
verified years later.
"""

from dataclasses import dataclass
from dataclasses import replace
import difflib
import hashlib

from pydantic import TypeAdapter
from pydantic import ValidationError

from wigeongw.core.errors import WigeongwError
from wigeongw.core.records import Revision
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import CommitResult
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot
from wigeongw.ports.store import Store

REVISION_ADAPTER = TypeAdapter(Revision)
LIVE_PREFIX = "live/"
CURRENT_KEY = "live/settings"
HISTORY_PREFIX = "history/"
NUMBER_DIGITS = 10
MAX_COMMIT_ATTEMPTS = 3


class ConflictError(WigeongwError):
    """Another operator published a revision first.

    Attributes:
        accepted: the revision that was accepted.
        difference: a unified diff from the accepted revision to the rejected
            candidate.
    """

    def __init__(self, accepted: Revision, difference: str) -> None:
        self.accepted = accepted
        self.difference = difference
        super().__init__(
            f"revision {accepted.number} by {accepted.who} was accepted first"
        )


class HistoryError(WigeongwError):
    """A revision in the store is damaged or missing."""


@dataclass(frozen=True, slots=True)
class CurrentRevision:
    """The current revision and the version of the pointer to it.

    Attributes:
        revision: None when no revision was published yet.
        store_revision: the store's revision of the pointer key; 0 when the
            key is absent.
    """

    revision: Revision | None
    store_revision: int


def digest(revision: Revision) -> str:
    """Return the digest of all fields except the digest field."""
    raw = REVISION_ADAPTER.dump_json(replace(revision, digest=""))
    return hashlib.sha256(raw).hexdigest()


def next_revision(
    previous: Revision | None, text: str, who: str, why: str, at_ms: float
) -> Revision:
    """Build the revision that follows another.

    Args:
        previous: the current revision; None for the first one.
        text: the merged settings as TOML.
        who: the operator.
        why: the operator's reason.
        at_ms: wall clock in milliseconds.
    """
    number = previous.number + 1 if previous else 1
    previous_digest = previous.digest if previous else ""
    draft = Revision(number, text, who, why, at_ms, previous_digest, "")
    return replace(draft, digest=digest(draft))


def has_valid_digest(revision: Revision) -> bool:
    """Return whether a revision's digest matches its content."""
    return revision.digest == digest(revision)


def replaces_lost(found: Revision, in_force: Revision) -> bool:
    """Return whether a stored revision replaces one that the store lost.

    A store that came back from an older copy gives numbers out again. The
    revision in force stays until one is published after it.

    Args:
        found: the current revision of the store.
        in_force: the revision in force, known before the store was read.
    """
    return found.number <= in_force.number and found.at_ms > in_force.at_ms


def encode(revision: Revision) -> bytes:
    """Encode a revision for the store."""
    return REVISION_ADAPTER.dump_json(revision)


def decode(raw: bytes) -> Revision:
    """Decode a revision from the store.

    Raises:
        HistoryError: when it cannot be parsed or its digest does not match.
    """
    try:
        revision = REVISION_ADAPTER.validate_json(raw)
    except ValidationError as error:
        raise HistoryError(f"cannot parse a revision: {error}") from error
    if not has_valid_digest(revision):
        raise HistoryError(
            f"revision {revision.number}: digest does not match the content"
        )
    return revision


async def read_current_revision(store: Store, prefix: str) -> CurrentRevision:
    """Read the current revision.

    Raises:
        StoreError: when the store cannot be reached.
        HistoryError: when the revision is damaged.
    """
    snapshot = await store.read(prefix + CURRENT_KEY)
    return current_revision_in(snapshot, prefix)


def current_revision_in(snapshot: Snapshot, prefix: str) -> CurrentRevision:
    """Find the current revision in a snapshot of the store.

    Raises:
        HistoryError: when the revision is damaged.
    """
    for entry in snapshot.entries:
        if entry.key == prefix + CURRENT_KEY:
            return CurrentRevision(decode(entry.value), entry.revision)
    return CurrentRevision(None, 0)


async def read_history(store: Store, prefix: str) -> list[Revision]:
    """Read all revisions, oldest first, and verify the chain of digests.

    Raises:
        StoreError: when the store cannot be reached.
        HistoryError: when a revision is damaged or missing.
    """
    snapshot = await store.read(prefix + HISTORY_PREFIX)
    history = [decode(entry.value) for entry in snapshot.entries]
    history.sort(key=lambda r: r.number)
    previous_digest = ""
    for number, revision in enumerate(history, start=1):
        if revision.number != number:
            raise HistoryError(
                f"revision {number} is missing; found {revision.number}"
            )
        if revision.before != previous_digest:
            raise HistoryError(
                f"revision {number}: digest of the previous revision is "
                f"{revision.before!r}, expected {previous_digest!r}"
            )
        previous_digest = revision.digest
    return history


async def publish(
    store: Store, prefix: str, base: CurrentRevision, candidate: Revision
) -> Revision:
    """Make a candidate the current revision.

    When the reply of the store is lost, the current revision is read back:
    it is the candidate, a revision of another operator, or unchanged. Only
    when it is unchanged is the same transaction tried again.

    Args:
        store: the platform's store.
        prefix: prefix of every key in the store.
        base: the revision that the operator's change is based on.
        candidate: the revision that follows base.

    Returns:
        The accepted revision.

    Raises:
        ConflictError: when another revision was accepted first.
        StoreError: when the store cannot be reached; the message says
            whether the candidate may have been accepted.
    """
    last_error: StoreError | None = None
    for _ in range(MAX_COMMIT_ATTEMPTS):
        try:
            result = await _commit(store, prefix, base, candidate)
            if result.ok:
                return candidate
        except StoreError as error:
            last_error = error
        try:
            current = await read_current_revision(store, prefix)
        except StoreError as error:
            raise StoreError(
                "the store cannot be reached; the revision may have been "
                "accepted; to find out, run: wigeongw settings history"
            ) from error
        if current.revision is not None and current.revision == candidate:
            return candidate
        if (
            current.store_revision != base.store_revision
            and current.revision is not None
        ):
            if await _is_in_history(store, prefix, candidate):
                return candidate
            raise ConflictError(
                current.revision,
                difference(current.revision.text, candidate.text),
            )
    raise StoreError(
        f"revision {candidate.number} was not accepted: {last_error}"
    )


def difference(old: str, new: str) -> str:
    """Return a unified diff of two settings texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "offered", lineterm=""
    )
    return "\n".join(lines)


async def _commit(
    store: Store, prefix: str, base: CurrentRevision, candidate: Revision
) -> CommitResult:
    """Write the pointer and the history entry in one transaction.

    The store rejects the transaction when the pointer has changed since base
    or when the history already has an entry of this number.
    """
    raw = encode(candidate)
    key = f"{prefix}{HISTORY_PREFIX}{candidate.number:0{NUMBER_DIGITS}d}"
    puts = (
        Put(prefix + CURRENT_KEY, raw, base.store_revision),
        Put(key, raw, 0),
    )
    return await store.commit(puts)


async def _is_in_history(
    store: Store, prefix: str, candidate: Revision
) -> bool:
    """Return whether the history has the candidate.

    It does when the candidate was accepted and a later revision has replaced
    it as the current one.
    """
    key = f"{prefix}{HISTORY_PREFIX}{candidate.number:0{NUMBER_DIGITS}d}"
    snapshot = await store.read(key)
    return any(decode(e.value) == candidate for e in snapshot.entries)
