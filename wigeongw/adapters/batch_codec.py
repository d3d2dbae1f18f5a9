"""Encodes batches of changes as JSON for messages between hosts."""

import math
from typing import Any

from wigeongw.adapters import change_codec
from wigeongw.adapters.change_codec import ChangeCodecError
from wigeongw.core import site_checks
from wigeongw.core.json_text import JsonTextError
from wigeongw.core.json_text import parse_object
from wigeongw.core.site_checks import MAX_DURATION_MS
from wigeongw.ports.catalog import ChangeBatch
from wigeongw.ports.catalog import PendingChange
from wigeongw.ports.catalog import StorePosition
from wigeongw.ports.catalog import UNKNOWN_ERA


def encode(batch: ChangeBatch) -> bytes:
    """Return a batch as JSON."""
    changes = [
        change_codec.dumps(change_codec.encode(change))
        for change in batch.changes
    ]
    return encode_parts(batch, changes)


def encode_parts(batch: ChangeBatch, changes: list[bytes]) -> bytes:
    """Return a batch as JSON, with changes that were encoded before.

    Args:
        batch: the batch; its own changes are not used.
        changes: its encoded changes.
    """
    document: dict[str, Any] = {
        "age_ms": batch.age_ms,
        "era": batch.position.era,
        "position": batch.position.revision,
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
    fields = change_codec.dumps(document).removesuffix(b"}")
    return fields + b', "changes": [' + b", ".join(changes) + b"]}"


def decode(raw: bytes) -> ChangeBatch:
    """Decode a batch that another host sent.

    Raises:
        ChangeCodecError: when it cannot be decoded.
    """
    try:
        return _decode_document(parse_object(raw))
    except (JsonTextError, *change_codec.DECODE_ERRORS) as error:
        raise ChangeCodecError(
            f"cannot decode the batch of changes: {error!r}"
        ) from error


def _decode_document(document: dict[str, Any]) -> ChangeBatch:
    """Decode a batch; raises what DECODE_ERRORS of change_codec lists."""
    era = site_checks.check_integer("era", document["era"], UNKNOWN_ERA)
    position = site_checks.check_integer("position", document["position"])
    era_age_ms = math.inf
    if "era_age_ms" in document:
        era_age_ms = _age_ms(document, "era_age_ms")
    return ChangeBatch(
        tuple(change_codec.decode(c) for c in document["changes"]),
        StorePosition(era, position),
        relayed=True,
        age_ms=_age_ms(document, "age_ms"),
        is_full=bool(document.get("full", False)),
        pending=tuple(
            _decode_pending(pending) for pending in document.get("pending", [])
        ),
        era_age_ms=era_age_ms,
    )


def _decode_pending(document: dict[str, Any]) -> PendingChange:
    due_in_ms = document["due_in_ms"]
    # A change that is overdue has a negative time.
    site_checks.check_number("due_in_ms", abs(due_in_ms), MAX_DURATION_MS)
    return PendingChange(
        change_codec.decode(document["change"]), float(due_in_ms)
    )


def _age_ms(document: dict[str, Any], field: str) -> float:
    return site_checks.check_number(field, document[field], MAX_DURATION_MS)
