"""A stand-in for the platform: the store and the lagging host list.

Speaks the etcd v3 JSON gateway's shape for the calls that wigeongw uses.
``/control/...`` switches faults, sets hosts and shows how often it was called;
it works also while the store is down.
"""

import argparse
import asyncio
import base64
import json
from typing import Any

from aiohttp import web

from wigeongw.adapters.etcd_store import encode
from wigeongw.adapters.host_list import listing_from
from wigeongw.adapters.host_list import render_listing
from wigeongw.adapters.http_server import address_of
from wigeongw.adapters.http_server import bind
from wigeongw.adapters.memory_store import Faults
from wigeongw.adapters.memory_store import MemoryStore
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.records import HostListing
from wigeongw.ports.errors import StoreError
from wigeongw.ports.store import Entry
from wigeongw.ports.store import Put

LOST = web.HTTPServiceUnavailable


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _pair(entry: Entry) -> dict[str, str]:
    return {
        "key": encode(entry.key),
        "value": encode(entry.value),
        "mod_revision": str(entry.revision),
    }


class PlatformStandIn:
    """Serves one memory store and one host list."""

    def __init__(self, lag_ms: float) -> None:
        self.store = MemoryStore(Clock())
        self.listing = HostListing()
        self.lag_ms = lag_ms
        self.list_down = False

    def app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=8 << 20)
        app.add_routes(
            [
                web.post("/v3/kv/range", self.range),
                web.post("/v3/kv/txn", self.transaction),
                web.post("/v3/lease/grant", self.grant),
                web.post("/v3/lease/keepalive", self.keep_alive),
                web.post("/v3/lease/revoke", self.revoke),
                web.post("/v3/watch", self.watch),
                web.get("/hosts", self.hosts),
                web.post("/control/hosts", self.set_hosts),
                web.post("/control/faults", self.set_faults),
                web.post("/control/lapse", self.lapse),
                web.get("/control/calls", self.calls),
            ]
        )
        return app

    def header(self) -> dict[str, str]:
        """Return the header of every answer."""
        return {"revision": str(self.store.revision)}

    async def range(self, request: web.Request) -> web.Response:
        """Read by prefix."""
        body = await request.json()
        try:
            snapshot = await self.store.read(_decode(body["key"]))
        except StoreError as error:
            raise LOST(text=str(error)) from error
        header = {"revision": str(snapshot.revision)}
        pairs = [_pair(e) for e in snapshot.entries]
        return web.json_response({"header": header, "kvs": pairs})

    async def transaction(self, request: web.Request) -> web.Response:
        """Write all or nothing."""
        body = await request.json()
        puts = [
            Put(
                _decode(write["request_put"]["key"]),
                base64.b64decode(write["request_put"]["value"]),
                int(compare["mod_revision"]),
                int(write["request_put"].get("lease", 0)),
            )
            for compare, write in zip(
                body["compare"], body["success"], strict=True
            )
        ]
        try:
            done = await self.store.commit(puts)
        except StoreError as error:
            raise LOST(text=str(error)) from error
        responses = [
            {"response_range": {"kvs": [_pair(e)] if e.revision else []}}
            for e in done.found
        ]
        return web.json_response(
            {
                "header": {"revision": str(done.revision)},
                "succeeded": done.ok,
                "responses": responses,
            }
        )

    async def grant(self, request: web.Request) -> web.Response:
        """Open a lease."""
        body = await request.json()
        lifetime_ms = float(body["TTL"]) * MS_PER_S
        try:
            lease = await self.store.grant_lease(lifetime_ms)
        except StoreError as error:
            raise LOST(text=str(error)) from error
        return web.json_response({"header": self.header(), "ID": str(lease)})

    async def keep_alive(self, request: web.Request) -> web.Response:
        """Prolong a lease."""
        body = await request.json()
        try:
            kept = await self.store.keep_alive(int(body["ID"]))
        except StoreError as error:
            raise LOST(text=str(error)) from error
        result = {"ID": body["ID"], "TTL": "1" if kept else "0"}
        return web.json_response({"result": result})

    async def revoke(self, request: web.Request) -> web.Response:
        """End a lease."""
        body = await request.json()
        try:
            await self.store.revoke_lease(int(body["ID"]))
        except StoreError as error:
            raise LOST(text=str(error)) from error
        return web.json_response({"header": self.header()})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Follow changes."""
        create = (await request.json())["create_request"]
        response = web.StreamResponse()
        await response.prepare(request)
        created = {"header": self.header(), "created": True}
        await self._line(response, created)
        after = int(create["start_revision"]) - 1
        try:
            async for entries in self.store.watch(
                _decode(create["key"]), after
            ):
                events = [self._event(e) for e in entries]
                await self._line(response, {"events": events})
        except StoreError:
            if request.transport is not None:
                request.transport.abort()
        return response

    async def hosts(self, request: web.Request) -> web.Response:
        """Show the host list."""
        if self.list_down:
            raise LOST(text="the host list is down")
        return web.Response(
            body=render_listing(self.listing),
            content_type="application/json",
        )

    async def set_hosts(self, request: web.Request) -> web.Response:
        """Set the host list; it shows after the lag."""
        listing = listing_from(await request.json())
        loop = asyncio.get_running_loop()
        loop.call_later(
            seconds(self.lag_ms), setattr, self, "listing", listing
        )
        return web.json_response({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Switch faults; those not named are off."""
        wanted = await request.json()
        self.list_down = bool(wanted.pop("list_down", False))
        await self.store.set_faults(Faults(**wanted))
        return web.json_response({})

    async def lapse(self, request: web.Request) -> web.Response:
        """End all leases."""
        await self.store.lapse_leases()
        return web.json_response({})

    async def calls(self, request: web.Request) -> web.Response:
        """Show calls by kind, and writes under way."""
        return web.json_response(self.store.calls)

    @staticmethod
    async def _line(
        response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        line = json.dumps({"result": result}) + "\n"
        await response.write(line.encode())

    @staticmethod
    def _event(entry: Entry) -> dict[str, Any]:
        kind = "PUT" if entry.value else "DELETE"
        return {"type": kind, "kv": _pair(entry)}


async def serve(address: str, lag_ms: float) -> None:
    """Serve until ended, after printing where."""
    stand_in = PlatformStandIn(lag_ms)
    runner = web.AppRunner(stand_in.app(), access_log=None)
    await runner.setup()
    sock = bind(address)
    await web.SockSite(runner, sock).start()
    print(json.dumps({"address": address_of(sock)}), flush=True)
    await stand_in.store.run_expiry()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--lag-ms", type=float, default=200.0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.address, arguments.lag_ms))


if __name__ == "__main__":
    main()
