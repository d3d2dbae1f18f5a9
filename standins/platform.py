"""A stand-in for the platform: a store and a host list that lags behind.

The store implements the calls of the etcd v3 JSON gateway that wigeongw uses.
Paths below ``/control/`` inject faults, set the host list, end all leases,
bring the store back from a copy and count store calls; they work also while
the store is down.
"""

import argparse
import asyncio
import base64
import json
from typing import Any

from aiohttp import web

from wigeongw.adapters.etcd_store import encode
from wigeongw.adapters.host_list import serialize_listing
from wigeongw.adapters.host_list import validate_listing
from wigeongw.adapters.http_server import bind
from wigeongw.adapters.http_server import bound_address
from wigeongw.adapters.memory_store import Faults
from wigeongw.adapters.memory_store import MemoryStore
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.records import HostListing
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put

UNAVAILABLE = web.HTTPServiceUnavailable


def _decode_base64(text: str) -> str:
    return base64.b64decode(text).decode()


def _key_value(entry: Entry) -> dict[str, str]:
    return {
        "key": encode(entry.key),
        "value": encode(entry.value),
        "mod_revision": str(entry.revision),
    }


class PlatformStandIn:
    """Serves one memory store and one host list.

    Attributes:
        store: The store, with its faults.
        listing: The host list as it is served.
        lag_ms: Time between a change of the host list and its publication,
            in milliseconds.
        list_down: Whether requests for the host list fail.
        copy: The copy that the store can come back from.
    """

    def __init__(self, lag_ms: float) -> None:
        self.store = MemoryStore(Clock())
        self.listing = HostListing()
        self.lag_ms = lag_ms
        self.list_down = False
        self.copy = self.store.copy()

    def app(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(client_max_size=8 << 20)
        app.add_routes(
            [
                web.post("/v3/kv/range", self.read_range),
                web.post("/v3/kv/txn", self.commit_transaction),
                web.post("/v3/lease/grant", self.grant_lease),
                web.post("/v3/lease/keepalive", self.keep_lease_alive),
                web.post("/v3/lease/revoke", self.revoke_lease),
                web.post("/v3/watch", self.watch_prefix),
                web.get("/hosts", self.get_hosts),
                web.post("/control/hosts", self.set_hosts),
                web.post("/control/faults", self.set_faults),
                web.post("/control/lapse", self.expire_leases),
                web.post("/control/copy", self.copy_store),
                web.post("/control/restore", self.restore_store),
                web.get("/control/calls", self.get_calls),
            ]
        )
        return app

    def header(self) -> dict[str, str]:
        """Return the response header with the current store revision."""
        return {"revision": str(self.store.revision)}

    async def read_range(self, request: web.Request) -> web.Response:
        """Return all entries whose key has a prefix."""
        body = await request.json()
        try:
            snapshot = await self.store.read(_decode_base64(body["key"]))
        except StoreError as error:
            raise UNAVAILABLE(text=str(error)) from error
        header = {"revision": str(snapshot.revision)}
        pairs = [_key_value(e) for e in snapshot.entries]
        return web.json_response({"header": header, "kvs": pairs})

    async def commit_transaction(self, request: web.Request) -> web.Response:
        """Write all entries if each compared revision matches, else none."""
        body = await request.json()
        puts = [
            Put(
                _decode_base64(write["request_put"]["key"]),
                base64.b64decode(write["request_put"]["value"]),
                int(compare["mod_revision"]),
                int(write["request_put"].get("lease", 0)),
            )
            for compare, write in zip(
                body["compare"], body["success"], strict=True
            )
        ]
        try:
            result = await self.store.commit(puts)
        except StoreError as error:
            raise UNAVAILABLE(text=str(error)) from error
        responses = [
            {"response_range": {"kvs": [_key_value(e)] if e.revision else []}}
            for e in result.found
        ]
        return web.json_response(
            {
                "header": {"revision": str(result.revision)},
                "succeeded": result.ok,
                "responses": responses,
            }
        )

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        body = await request.json()
        lifetime_ms = float(body["TTL"]) * MS_PER_S
        try:
            lease = await self.store.grant_lease(lifetime_ms)
        except StoreError as error:
            raise UNAVAILABLE(text=str(error)) from error
        return web.json_response({"header": self.header(), "ID": str(lease)})

    async def keep_lease_alive(self, request: web.Request) -> web.Response:
        """Renew a lease; a time to live of 0 says that the lease ended."""
        body = await request.json()
        try:
            is_alive = await self.store.keep_alive(int(body["ID"]))
        except StoreError as error:
            raise UNAVAILABLE(text=str(error)) from error
        result = {"ID": body["ID"], "TTL": "1" if is_alive else "0"}
        return web.json_response({"result": result})

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """Revoke a lease."""
        body = await request.json()
        try:
            await self.store.revoke_lease(int(body["ID"]))
        except StoreError as error:
            raise UNAVAILABLE(text=str(error)) from error
        return web.json_response({"header": self.header()})

    async def watch_prefix(self, request: web.Request) -> web.StreamResponse:
        """Stream changes of the keys that have a prefix.

        The connection is aborted when the store goes down.
        """
        create = (await request.json())["create_request"]
        response = web.StreamResponse()
        await response.prepare(request)
        created = {"header": self.header(), "created": True}
        await self._write_result(response, created)
        after = int(create["start_revision"]) - 1
        try:
            async for entries in self.store.watch(
                _decode_base64(create["key"]), after
            ):
                events = [self._watch_event(e) for e in entries]
                await self._write_result(response, {"events": events})
        except StoreError:
            if request.transport is not None:
                request.transport.abort()
        return response

    async def get_hosts(self, request: web.Request) -> web.Response:
        """Return the host list."""
        if self.list_down:
            raise UNAVAILABLE(text="the host list is down")
        return web.Response(
            body=serialize_listing(self.listing),
            content_type="application/json",
        )

    async def set_hosts(self, request: web.Request) -> web.Response:
        """Set the host list, which is served after the lag."""
        listing = validate_listing(await request.json())
        loop = asyncio.get_running_loop()
        loop.call_later(
            seconds(self.lag_ms), setattr, self, "listing", listing
        )
        return web.json_response({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the faults; a fault that the request omits is switched off."""
        faults = await request.json()
        self.list_down = bool(faults.pop("list_down", False))
        await self.store.set_faults(Faults(**faults))
        return web.json_response({})

    async def expire_leases(self, request: web.Request) -> web.Response:
        """End all leases at once."""
        await self.store.expire_all_leases()
        return web.json_response({})

    async def copy_store(self, request: web.Request) -> web.Response:
        """Keep a copy of the store."""
        self.copy = self.store.copy()
        return web.json_response({})

    async def restore_store(self, request: web.Request) -> web.Response:
        """Bring the store back from the copy."""
        self.store.restore(self.copy)
        return web.json_response({})

    async def get_calls(self, request: web.Request) -> web.Response:
        """Return the number of store calls by kind."""
        return web.json_response(self.store.calls)

    @staticmethod
    async def _write_result(
        response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        line = json.dumps({"result": result}) + "\n"
        await response.write(line.encode())

    @staticmethod
    def _watch_event(entry: Entry) -> dict[str, Any]:
        kind = "PUT" if entry.value else "DELETE"
        return {"type": kind, "kv": _key_value(entry)}


async def serve(address: str, lag_ms: float) -> None:
    """Print the address as JSON and serve until cancelled.

    Args:
        address: Address to listen on; port 0 chooses a free port.
        lag_ms: Lag of the host list in milliseconds.
    """
    stand_in = PlatformStandIn(lag_ms)
    runner = web.AppRunner(stand_in.app(), access_log=None)
    await runner.setup()
    sock = bind(address)
    await web.SockSite(runner, sock).start()
    print(json.dumps({"address": bound_address(sock)}), flush=True)
    await stand_in.store.run_expiry()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--lag-ms", type=float, default=200.0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.address, arguments.lag_ms))


if __name__ == "__main__":
    main()
