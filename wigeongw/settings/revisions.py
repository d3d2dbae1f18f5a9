"""The chain of accepted revisions and how one is published.

One accepted revision is one transaction: the pointer to what is in force and
an immutable history entry, both or neither. Each entry carries the digest of
the one before, so that the history can be checked years later.
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
from wigeongw.ports.store import Committed
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot
from wigeongw.ports.store import Store

REVISION = TypeAdapter(Revision)
LIVE = "live/"
CURRENT = "live/settings"
HISTORY = "history/"
NUMBER_DIGITS = 10
COMMIT_TRIES = 3


class ConflictError(WigeongwError):
    """Another operator published first.

    Attributes:
        difference: a unified diff from what is in force to what was offered.
    """

    def __init__(self, winner: Revision, difference: str) -> None:
        self.winner = winner
        self.difference = difference
        super().__init__(
            f"revision {winner.number} by {winner.who} was accepted first"
        )


class HistoryError(WigeongwError):
    """The history in the store does not fit together."""


@dataclass(frozen=True, slots=True)
class InForce:
    """The accepted revision and where it stands in the store.

    Attributes:
        stored_at: store revision of the pointer; 0 when there is none.
    """

    revision: Revision | None
    stored_at: int


def digest(revision: Revision) -> str:
    """Return the digest over all fields but the digest itself."""
    raw = REVISION.dump_json(replace(revision, digest=""))
    return hashlib.sha256(raw).hexdigest()


def next_revision(
    before: Revision | None, text: str, who: str, why: str, at_ms: float
) -> Revision:
    """Build the revision that follows another."""
    number = before.number + 1 if before else 1
    link = before.digest if before else ""
    draft = Revision(number, text, who, why, at_ms, link, "")
    return replace(draft, digest=digest(draft))


def is_genuine(revision: Revision) -> bool:
    """Whether a revision's digest fits its content."""
    return revision.digest == digest(revision)


def encode(revision: Revision) -> bytes:
    """Write a revision as the store keeps it."""
    return REVISION.dump_json(revision)


def decode(raw: bytes) -> Revision:
    """Read a revision.

    Raises:
        HistoryError: when it is damaged.
    """
    try:
        revision = REVISION.validate_json(raw)
    except ValidationError as error:
        raise HistoryError(f"unreadable revision: {error}") from error
    if not is_genuine(revision):
        raise HistoryError(f"revision {revision.number}: digest differs")
    return revision


async def read_in_force(store: Store, prefix: str) -> InForce:
    """Read the accepted revision.

    Raises:
        StoreError: when the store is away.
        HistoryError: when the revision is damaged.
    """
    snapshot = await store.read(prefix + CURRENT)
    return in_force_of(snapshot, prefix)


def in_force_of(snapshot: Snapshot, prefix: str) -> InForce:
    """Find the accepted revision among entries read.

    Raises:
        HistoryError: when it is damaged.
    """
    for entry in snapshot.entries:
        if entry.key == prefix + CURRENT:
            return InForce(decode(entry.value), entry.revision)
    return InForce(None, 0)


async def read_history(store: Store, prefix: str) -> list[Revision]:
    """Read all revisions, oldest first, and check the chain.

    Raises:
        StoreError: when the store is away.
        HistoryError: when a revision is damaged or missing.
    """
    snapshot = await store.read(prefix + HISTORY)
    found = [decode(entry.value) for entry in snapshot.entries]
    found.sort(key=lambda r: r.number)
    before = ""
    for place, revision in enumerate(found, start=1):
        if revision.number != place:
            raise HistoryError(f"revision {place} is missing")
        if revision.before != before:
            raise HistoryError(f"revision {place}: the chain is broken")
        before = revision.digest
    return found


async def publish(
    store: Store, prefix: str, base: InForce, offered: Revision
) -> Revision:
    """Make a revision the accepted one, or fail clearly.

    A lost reply is settled by reading back: the revision in force then is
    either ours, or somebody else's, or unchanged, and only in the last case
    is the same transaction tried again.

    Args:
        store: the platform's store.
        prefix: of all keys.
        base: what the operator's change was made against.
        offered: the revision that follows it.

    Returns:
        The accepted revision.

    Raises:
        ConflictError: when another revision was accepted first.
        StoreError: when the store is away; the message says whether the
            revision may have been accepted.
    """
    last: StoreError | None = None
    for _ in range(COMMIT_TRIES):
        try:
            done = await _commit(store, prefix, base, offered)
            if done.ok:
                return offered
        except StoreError as error:
            last = error
        try:
            found = await read_in_force(store, prefix)
        except StoreError as error:
            raise StoreError(
                "the store went away; whether the revision was accepted is "
                "not known; run: wigeongw settings history"
            ) from error
        if found.revision is not None and found.revision == offered:
            return offered
        if found.stored_at != base.stored_at and found.revision is not None:
            if await _in_history(store, prefix, offered):
                return offered
            raise ConflictError(
                found.revision, difference(found.revision.text, offered.text)
            )
    raise StoreError(f"not accepted: {last}")


def difference(old: str, new: str) -> str:
    """Return a unified diff of two settings texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "offered", lineterm=""
    )
    return "\n".join(lines)


async def _commit(
    store: Store, prefix: str, base: InForce, offered: Revision
) -> Committed:
    raw = encode(offered)
    key = f"{prefix}{HISTORY}{offered.number:0{NUMBER_DIGITS}d}"
    puts = (
        Put(prefix + CURRENT, raw, base.stored_at),
        Put(key, raw, 0),
    )
    return await store.commit(puts)


async def _in_history(store: Store, prefix: str, offered: Revision) -> bool:
    """Whether ours was accepted although a later one is in force now."""
    key = f"{prefix}{HISTORY}{offered.number:0{NUMBER_DIGITS}d}"
    snapshot = await store.read(key)
    return any(decode(e.value) == offered for e in snapshot.entries)
