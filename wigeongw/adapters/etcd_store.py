"""The store over HTTP, in the shape of the etcd v3 JSON gateway.

Only the calls that the port names are used. This adapter has been run
against the project's own stand-in and nothing else.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Sequence
import json
import math
from typing import Any

import aiohttp

from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import Committed
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put
from wigeongw.ports.store import Snapshot

TIMEOUT_MS = 1_500.0

FAILURES = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


def encode(raw: str | bytes) -> str:
    """Encode a key or value as the gateway wants it."""
    data = raw.encode() if isinstance(raw, str) else raw
    return base64.b64encode(data).decode()


def decode(text: str) -> bytes:
    """Decode a key or value of the gateway."""
    return base64.b64decode(text)


def range_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix."""
    raw = prefix.encode()
    return encode(raw[:-1] + bytes([raw[-1] + 1]))


def entry_of(pair: dict[str, Any]) -> Entry:
    """Read an entry from the gateway's form."""
    return Entry(
        decode(pair["key"]).decode(),
        decode(pair.get("value", "")),
        int(pair.get("mod_revision", 0)),
    )


class EtcdStore:
    """A store behind a base URL; the session is owned by the caller."""

    def __init__(self, session: aiohttp.ClientSession, base: str) -> None:
        self.session = session
        self.base = base.rstrip("/")

    async def read(self, prefix: str) -> Snapshot:
        """Read all entries under a prefix."""
        body = {"key": encode(prefix), "range_end": range_end(prefix)}
        answer = await self._post("/v3/kv/range", body)
        try:
            entries = tuple(entry_of(p) for p in answer.get("kvs", ()))
            return Snapshot(entries, int(answer["header"]["revision"]))
        except FAILURES as error:
            raise StoreError(f"store: unreadable answer: {error}") from error

    async def commit(self, puts: Sequence[Put]) -> Committed:
        """Write all or nothing."""
        answer = await self._post("/v3/kv/txn", self._transaction(puts))
        try:
            revision = int(answer["header"]["revision"])
            if answer.get("succeeded"):
                return Committed(True, revision)
            return Committed(False, revision, self._found(puts, answer))
        except FAILURES as error:
            raise StoreError(f"store: unreadable answer: {error}") from error

    async def grant_lease(self, lifetime_ms: float) -> int:
        """Open a lease; the gateway counts whole seconds."""
        lifetime = math.ceil(lifetime_ms / MS_PER_S)
        answer = await self._post("/v3/lease/grant", {"TTL": str(lifetime)})
        return self._number(answer, "ID")

    async def keep_alive(self, lease: int) -> bool:
        """Prolong a lease."""
        answer = await self._post("/v3/lease/keepalive", {"ID": str(lease)})
        return self._number(answer.get("result", {"TTL": 0}), "TTL") > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._post("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[tuple[Entry, ...]]:
        """Follow changes after a revision."""
        request = {
            "create_request": {
                "key": encode(prefix),
                "range_end": range_end(prefix),
                "start_revision": str(after + 1),
            }
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=seconds(TIMEOUT_MS)
        )
        try:
            async with self.session.post(
                f"{self.base}/v3/watch", json=request, timeout=timeout
            ) as response:
                async for line in response.content:
                    events = json.loads(line)["result"].get("events", ())
                    if events:
                        yield tuple(entry_of(e["kv"]) for e in events)
        except FAILURES as error:
            raise StoreError(f"store: watch broke: {error}") from error
        raise StoreError("store: watch ended")

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=seconds(TIMEOUT_MS))
        try:
            async with self.session.post(
                self.base + path, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise StoreError(f"store: status {response.status}")
                answer = json.loads(await response.read())
        except FAILURES as error:
            raise StoreError(f"store: {error!r}") from error
        if not isinstance(answer, dict):
            raise StoreError("store: the answer is no object")
        return answer

    @staticmethod
    def _number(answer: dict[str, Any], key: str) -> int:
        try:
            return int(answer.get(key, 0))
        except (TypeError, ValueError) as error:
            raise StoreError(f"store: no number in {key}") from error

    @staticmethod
    def _transaction(puts: Sequence[Put]) -> dict[str, Any]:
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
    def _found(
        puts: Sequence[Put], answer: dict[str, Any]
    ) -> tuple[Entry, ...]:
        found: list[Entry] = []
        for put, part in zip(puts, answer["responses"], strict=True):
            pairs = part["response_range"].get("kvs", ())
            absent = Entry(put.key, b"", 0)
            found.append(entry_of(pairs[0]) if pairs else absent)
        return tuple(found)
