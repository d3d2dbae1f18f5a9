"""Client of the store over the etcd v3 JSON gateway.

The client uses only the gateway calls that the store interface needs. It has
been run only against this project's stand-in, never against etcd itself.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Sequence
import math
from typing import Any

import aiohttp

from wigeongw.adapters.bounded_read import read_body
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.json_text import JsonTextError
from wigeongw.core.json_text import parse_object
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import CommitResult
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot

CALL_TIMEOUT_MS = 1_500.0
# The whole history of the settings is the longest answer.
MAX_REPLY_BYTES = 64 << 20

CALL_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
    JsonTextError,
)


def encode(raw: str | bytes) -> str:
    """Encode a key or value in base64, as the gateway requires."""
    data = raw.encode() if isinstance(raw, str) else raw
    return base64.b64encode(data).decode()


def decode(text: str) -> bytes:
    """Decode a base64 key or value from the gateway."""
    return base64.b64decode(text)


def range_end(prefix: str) -> str:
    """Return the encoded first key after all keys with a prefix."""
    raw = prefix.encode()
    return encode(raw[:-1] + bytes([raw[-1] + 1]))


def decode_entry(key_value: dict[str, Any]) -> Entry:
    """Decode an entry from the gateway's key-value object.

    A key of another writer may be any bytes; it then matches no key in use.
    """
    return Entry(
        decode(key_value["key"]).decode(errors="backslashreplace"),
        decode(key_value.get("value", "")),
        int(key_value.get("mod_revision", 0)),
    )


class EtcdStore:
    """A store at a base URL; the caller owns the session."""

    def __init__(self, session: aiohttp.ClientSession, base: str) -> None:
        self.session = session
        self.base = base.rstrip("/")

    async def read(self, prefix: str) -> Snapshot:
        """Return all entries whose keys start with a prefix."""
        body = {"key": encode(prefix), "range_end": range_end(prefix)}
        document = await self._post("/v3/kv/range", body)
        try:
            entries = tuple(decode_entry(p) for p in document.get("kvs", ()))
            return Snapshot(entries, int(document["header"]["revision"]))
        except CALL_ERRORS as error:
            raise StoreError(f"store: unreadable answer: {error}") from error

    async def commit(self, puts: Sequence[Put]) -> CommitResult:
        """Write all keys in one transaction, or none of them."""
        document = await self._post(
            "/v3/kv/txn", self._encode_transaction(puts)
        )
        try:
            revision = int(document["header"]["revision"])
            if document.get("succeeded"):
                return CommitResult(True, revision)
            return CommitResult(
                False, revision, self._decode_current_entries(puts, document)
            )
        except CALL_ERRORS as error:
            raise StoreError(f"store: unreadable answer: {error}") from error

    async def grant_lease(self, lifetime_ms: float) -> int:
        """Grant a lease; its lifetime is rounded up to whole seconds."""
        lifetime = math.ceil(lifetime_ms / MS_PER_S)
        document = await self._post("/v3/lease/grant", {"TTL": str(lifetime)})
        return self._read_int(document, "ID")

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        document = await self._post("/v3/lease/keepalive", {"ID": str(lease)})
        return self._read_int(document.get("result", {"TTL": 0}), "TTL") > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys bound to it."""
        await self._post("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[tuple[Entry, ...]]:
        """Yield changes after a revision until the watch fails."""
        request = {
            "create_request": {
                "key": encode(prefix),
                "range_end": range_end(prefix),
                "start_revision": str(after + 1),
            }
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=seconds(CALL_TIMEOUT_MS)
        )
        try:
            async with self.session.post(
                f"{self.base}/v3/watch", json=request, timeout=timeout
            ) as response:
                async for line in response.content:
                    result = parse_object(line)["result"]
                    events = result.get("events", ())
                    if events:
                        yield tuple(decode_entry(e["kv"]) for e in events)
        except CALL_ERRORS as error:
            raise StoreError(
                f"store: watch of {prefix!r} failed: {error!r}"
            ) from error
        raise StoreError(f"store: watch of {prefix!r} was closed by the store")

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=seconds(CALL_TIMEOUT_MS))
        try:
            async with self.session.post(
                self.base + path, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise StoreError(f"store: status {response.status}")
                return parse_object(await read_body(response, MAX_REPLY_BYTES))
        except CALL_ERRORS as error:
            raise StoreError(f"store: {error!r}") from error

    @staticmethod
    def _read_int(document: dict[str, Any], key: str) -> int:
        try:
            return int(document.get(key, 0))
        except (TypeError, ValueError, OverflowError) as error:
            raise StoreError(f"store: no number in {key}") from error

    @staticmethod
    def _encode_transaction(puts: Sequence[Put]) -> dict[str, Any]:
        return {
            "compare": [
                {
                    "key": encode(p.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(p.expected),
                }
                for p in puts
            ],
            "success": [
                {
                    "request_put": {
                        "key": encode(p.key),
                        "value": encode(p.value),
                        "lease": str(p.lease),
                    }
                }
                for p in puts
            ],
            "failure": [
                {"request_range": {"key": encode(p.key)}} for p in puts
            ],
        }

    @staticmethod
    def _decode_current_entries(
        puts: Sequence[Put], document: dict[str, Any]
    ) -> tuple[Entry, ...]:
        entries: list[Entry] = []
        for put, operation_response in zip(
            puts, document["responses"], strict=True
        ):
            key_values = operation_response["response_range"].get("kvs", ())
            absent = Entry(put.key, b"", 0)
            entries.append(
                decode_entry(key_values[0]) if key_values else absent
            )
        return tuple(entries)
