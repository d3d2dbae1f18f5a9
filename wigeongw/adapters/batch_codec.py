"""Encodes batches of changes as JSON for messages between hosts."""

import json
import math
from typing import Any

from wigeongw.adapters import change_codec
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import PendingChange
from wigeongw.ports.catalog import StorePosition

# A change as change_codec encodes it.
EncodedChange = dict[str, Any]


def encode(batch: ChangeBatch) -> bytes:
    """Return a batch as JSON."""
    return encode_parts(
        batch, [change_codec.encode(change) for change in batch.changes]
    )


def encode_parts(batch: ChangeBatch, changes: list[EncodedChange]) -> bytes:
    """Return a batch as JSON, with changes that were encoded before.

    Args:
        batch: the batch; its own changes are not used.
        changes: its encoded changes.
    """
    document: dict[str, Any] = {
        "age_ms": batch.age_ms,
        "era": batch.position.era,
        "position": batch.position.revision,
        "changes": changes,
    }
    if batch.is_full:
        document["full"] = True
        document["pending"] = [
            {
                "due_in_ms": pending.due_in_ms,
                "change": change_codec.encode(pending.change),
            }
            for pending in batch.pending
        ]
        if math.isfinite(batch.era_age_ms):
            document["era_age_ms"] = batch.era_age_ms
    return change_codec.dumps(document)


def decode(raw: bytes) -> ChangeBatch:
    """Decode a batch that another host sent.

    Raises:
        ChangeCodecError: when it cannot be decoded.
    """
    try:
        document = json.loads(raw)
        return ChangeBatch(
            tuple(change_codec.decode(c) for c in document["changes"]),
            StorePosition(int(document["era"]), int(document["position"])),
            relayed=True,
            age_ms=float(document["age_ms"]),
            is_full=bool(document.get("full", False)),
            pending=tuple(
                _decode_pending(pending)
                for pending in document.get("pending", [])
            ),
            era_age_ms=float(document.get("era_age_ms", math.inf)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ChangeCodecError(
            f"cannot decode the batch of changes: {error!r}"
        ) from error


def _decode_pending(document: dict[str, Any]) -> PendingChange:
    return PendingChange(
        change_codec.decode(document["change"]), float(document["due_in_ms"])
    )
