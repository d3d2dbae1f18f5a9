"""What an entry host answers by itself: addresses, status and metrics."""

from collections.abc import Callable
from dataclasses import asdict
import random
from typing import Any

import falcon
import falcon.asgi

from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.records import EntryHost
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.measurer import Measurer
from wigeongw.daemon.metrics import Metrics
from wigeongw.daemon.permit_desk import PermitDesk
from wigeongw.decisions import addresses
from wigeongw.decisions import site as sites
from wigeongw.decisions.site import Site

ADDRESSES_PATH = "/.well-known/wigeongw/addresses"
HEALTH_PATH = "/.well-known/wigeongw/health"
JSON = "application/json"

SiteOf = Callable[[], Site]


class Addresses:
    """Tells a client which of our addresses to use."""

    def __init__(
        self,
        site_of: SiteOf,
        is_leaving: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.site_of = site_of
        self.is_leaving = is_leaving
        self.clock = clock
        self.rng = rng

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer with addresses, best first, and how long to keep them."""
        site = self.site_of()
        if site.settings is None:
            raise falcon.HTTPServiceUnavailable(
                title="Not ready", retry_after=1
            )
        near = req.get_param("availability_zone", default="")
        hosts = addresses.answer(
            (
                h
                for h in sites.reachable(site, self.clock.now())
                if not (h.name == site.me.name and self.is_leaving())
            ),
            sites.zones_out(site),
            near or site.me.availability_zone,
            self.rng,
        )
        lifetime = site.settings.addresses.lifetime_ms
        resp.set_header("Cache-Control", f"max-age={int(lifetime / MS_PER_S)}")
        resp.media = {
            "lifetime_ms": lifetime,
            "addresses": [
                {
                    "address": h.address,
                    "availability_zone": h.availability_zone,
                }
                for h in hosts
            ],
        }


class Health:
    """Says that this process answers."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer with a constant."""
        resp.media = {"ok": True}


class Status:
    """Shows what this entry host believes."""

    def __init__(
        self,
        desk: PermitDesk,
        dispatcher: Dispatcher,
        measurer: Measurer,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.desk = desk
        self.dispatcher = dispatcher
        self.measurer = measurer
        self.is_leaving = is_leaving
        self.clock = clock

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer with members, revision, pools and upstreams."""
        resp.media = self.read()

    def read(self) -> dict[str, Any]:
        """Return what is believed now, ready for JSON."""
        site = self.desk.site
        now = self.clock.now()
        near = sites.reachable(site, now)
        heard = {h.name for h in near}
        holds = sites.lease_holds(site, now)
        return {
            "host": site.me.name,
            "availability_zone": site.me.availability_zone,
            "leaving": self.is_leaving(),
            "revision": site.revision,
            "store_silent_ms": round(now - site.store_heard_at, 1)
            if site.store_heard_at > 0
            else None,
            "waiting": {
                service: holder.waiting_count()
                for service, holder in self.desk.holders.items()
            },
            "retries_left": {
                service: round(budget.tokens, 2)
                for service, budget in self.dispatcher.budgets.items()
            },
            "measuring": {
                pool: {
                    "used": spender.used(now),
                    "share": spender.allowed(now).calls,
                }
                for pool, spender in self.measurer.spenders.items()
            },
            "zones_out": sorted(sites.zones_out(site)),
            "entry_hosts": [
                {
                    "name": h.name,
                    "availability_zone": h.availability_zone,
                    "state": h.state.value,
                    "heard": h.name in heard,
                }
                for h in sites.entry_hosts(site)
            ],
            "pools": [
                self._pool(site, pool, host, near, holds)
                for pool, host in sites.grantors(site, now).items()
            ],
        }

    def _pool(
        self,
        site: Site,
        pool: str,
        host: str | None,
        near: tuple[EntryHost, ...],
        holds: bool,
    ) -> dict[str, Any]:
        fence = site.fences.get(pool)
        grantor = self.desk.grantors.get(pool)
        queued = len(grantor.queue) if grantor else None
        return {
            "pool": pool,
            "open": sites.is_open(site, pool),
            "grantor": host,
            "fence": asdict(fence) if fence else None,
            "fenced": sites.owns_fence(site, pool, holds),
            "queued": queued,
            "settled": grantor is not None
            and not grantor.unheard
            and sites.is_candidate(site, pool, near),
            "unheard": sorted(grantor.unheard) if grantor else [],
            "upstreams": [
                self._upstream(site, pool, u.name, u.state.value)
                for u in sites.upstreams_of(site, pool)
            ],
        }

    def _upstream(
        self, site: Site, pool: str, name: str, state: str
    ) -> dict[str, Any]:
        grantor = self.desk.grantors.get(pool)
        view = site.upstreams.get(name)
        if grantor is not None and name in grantor.slots:
            slot = grantor.slots[name]
            warm, limit = slot.ramp.warm, slot.ramp.limit
            in_use: int | None = slot.in_use
        else:
            warm = bool(view and view.warm)
            limit = view.limit if view else 0
            in_use = None
        shown = (
            "leaving"
            if state == "leaving"
            else _shown(sites.is_open(site, pool), warm)
        )
        return {
            "name": name,
            "state": shown,
            "limit": limit,
            "in_use": in_use,
        }


class MetricsText:
    """Shows counters and histograms as text."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer with a line per series."""
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = "\n".join(self.metrics.lines()) + "\n"


class SettingsText:
    """Shows the settings in force."""

    def __init__(self, text_of: Callable[[], str]) -> None:
        self.text_of = text_of

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer with the TOML text."""
        resp.content_type = "application/toml"
        resp.text = self.text_of()


def client_app(addresses_resource: Addresses) -> falcon.asgi.App:
    """Build what clients may ask an entry host itself."""
    app = falcon.asgi.App()
    app.add_route(ADDRESSES_PATH, addresses_resource)
    app.add_route(HEALTH_PATH, Health())
    return app


def admin_app(
    status: Status, metrics: MetricsText, settings: SettingsText
) -> falcon.asgi.App:
    """Build the read-only administration API."""
    app = falcon.asgi.App()
    app.add_route("/status", status)
    app.add_route("/metrics", metrics)
    app.add_route("/settings", settings)
    return app


def _shown(is_open: bool, warm: bool) -> str:
    if not is_open:
        return "out"
    return "warm" if warm else "cold"
