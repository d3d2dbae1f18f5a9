"""HTTP resources that an entry host serves itself.

Clients can read addresses and health; operators can read status, metrics and
settings on the administration address.
"""

from collections.abc import Callable
from dataclasses import asdict
import random
from typing import Any

import falcon
import falcon.asgi

from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.metrics import Metrics
from wigeongw.core.records import EntryHost
from wigeongw.daemon.dispatcher import Dispatcher
from wigeongw.daemon.load_report_poller import LoadReportPoller
from wigeongw.daemon.permit_manager import PermitManager
from wigeongw.decisions import host_order
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.site_state import SiteState

ADDRESSES_PATH = "/.well-known/wigeongw/addresses"
HEALTH_PATH = "/.well-known/wigeongw/health"
JSON = "application/json"

SiteGetter = Callable[[], SiteState]


class AddressesResource:
    """The addresses at which a client can reach this site.

    Attributes:
        get_site: returns the current state of the site.
        is_stopping: returns whether this entry host is stopping.
    """

    def __init__(
        self,
        get_site: SiteGetter,
        is_stopping: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.get_site = get_site
        self.is_stopping = is_stopping
        self.clock = clock
        self.rng = rng

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return addresses, best first, and their time to live."""
        site = self.get_site()
        if site.settings is None:
            raise falcon.HTTPServiceUnavailable(
                title="Not ready", retry_after=1
            )
        zone = req.get_param("availability_zone", default="")
        hosts = host_order.answer(
            (
                host
                for host in sites.reachable(site, self.clock.now())
                if not (host.name == site.me.name and self.is_stopping())
            ),
            sites.zones_out(site),
            zone or site.me.availability_zone,
            self.rng,
        )
        lifetime_ms = site.settings.addresses.lifetime_ms
        resp.set_header(
            "Cache-Control", f"max-age={int(lifetime_ms / MS_PER_S)}"
        )
        resp.media = {
            "lifetime_ms": lifetime_ms,
            "addresses": [
                {
                    "address": host.address,
                    "availability_zone": host.availability_zone,
                }
                for host in hosts
            ],
        }


class HealthResource:
    """A liveness check of this process."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return a constant document."""
        resp.media = {"ok": True}


class StatusResource:
    """The state of the site as this entry host sees it.

    Attributes:
        is_stopping: returns whether this entry host is stopping.
    """

    def __init__(
        self,
        permit_manager: PermitManager,
        dispatcher: Dispatcher,
        poller: LoadReportPoller,
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.permit_manager = permit_manager
        self.dispatcher = dispatcher
        self.poller = poller
        self.is_stopping = is_stopping
        self.clock = clock

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return entry hosts, settings revision, pools and upstreams."""
        resp.media = self.describe()

    def describe(self) -> dict[str, Any]:
        """Return the current state as a JSON-compatible dictionary."""
        site = self.permit_manager.site
        now = self.clock.now()
        reachable = sites.reachable(site, now)
        reachable_names = {host.name for host in reachable}
        are_fences_exclusive = sites.are_fences_exclusive(site, now)
        return {
            "host": site.me.name,
            "availability_zone": site.me.availability_zone,
            "leaving": self.is_stopping(),
            "revision": site.revision,
            "store_silent_ms": round(now - site.store_responded_at, 1)
            if site.store_responded_at > 0
            else None,
            "waiting": {
                service: holder.waiting_count()
                for service, holder in self.permit_manager.holders.items()
            },
            "retries_left": {
                service: round(budget.tokens, 2)
                for service, budget in self.dispatcher.retry_budgets.items()
            },
            "measuring": {
                pool: {
                    "used": limiter.used(now),
                    "share": limiter.allowed(now).calls,
                }
                for pool, limiter in self.poller.call_limiters.items()
            },
            "zones_out": sorted(sites.zones_out(site)),
            "entry_hosts": [
                {
                    "name": host.name,
                    "availability_zone": host.availability_zone,
                    "state": host.state.value,
                    "heard": host.name in reachable_names,
                }
                for host in sites.entry_hosts(site)
            ],
            "pools": [
                self._pool(
                    site, pool, grantor_name, reachable, are_fences_exclusive
                )
                for pool, grantor_name in sites.grantors(site, now).items()
            ],
        }

    def _pool(
        self,
        site: SiteState,
        pool: str,
        grantor_name: str | None,
        reachable: tuple[EntryHost, ...],
        are_fences_exclusive: bool,
    ) -> dict[str, Any]:
        fence = site.fences.get(pool)
        grantor = self.permit_manager.grantors.by_pool.get(pool)
        queued = len(grantor.queue) if grantor else None
        return {
            "pool": pool,
            "open": sites.is_open(site, pool),
            "grantor": grantor_name,
            "fence": asdict(fence) if fence else None,
            "fenced": sites.owns_fence(site, pool, are_fences_exclusive),
            "queued": queued,
            "settled": grantor is not None
            and not grantor.unheard
            and sites.is_preferred_grantor(site, pool, reachable),
            "unheard": sorted(grantor.unheard) if grantor else [],
            "upstreams": [
                self._upstream(site, pool, upstream.name, upstream.state.value)
                for upstream in sites.upstreams_of(site, pool)
            ],
        }

    def _upstream(
        self, site: SiteState, pool: str, name: str, state: str
    ) -> dict[str, Any]:
        grantor = self.permit_manager.grantors.by_pool.get(pool)
        view = site.upstreams.get(name)
        if grantor is not None and name in grantor.upstreams:
            slot = grantor.upstreams[name]
            warm, limit = slot.ramp.warm, slot.ramp.limit
            in_use: int | None = slot.in_use
        else:
            warm = bool(view and view.warm)
            limit = view.limit if view else 0
            in_use = None
        shown_state = (
            "leaving"
            if state == "leaving"
            else _upstream_state(sites.is_open(site, pool), warm)
        )
        return {
            "name": name,
            "state": shown_state,
            "limit": limit,
            "in_use": in_use,
        }


class MetricsResource:
    """Counters and histograms as text."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return one line per counter and histogram."""
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = "\n".join(self.metrics.lines()) + "\n"


class SettingsResource:
    """The settings in force, as TOML."""

    def __init__(self, get_text: Callable[[], str]) -> None:
        self.get_text = get_text

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the text of the settings."""
        resp.content_type = "application/toml"
        resp.text = self.get_text()


def client_app(addresses_resource: AddressesResource) -> falcon.asgi.App:
    """Build the application for clients."""
    app = falcon.asgi.App()
    app.add_route(ADDRESSES_PATH, addresses_resource)
    app.add_route(HEALTH_PATH, HealthResource())
    return app


def admin_app(
    status: StatusResource,
    metrics: MetricsResource,
    settings: SettingsResource,
) -> falcon.asgi.App:
    """Build the application for the read-only administration API."""
    app = falcon.asgi.App()
    app.add_route("/status", status)
    app.add_route("/metrics", metrics)
    app.add_route("/settings", settings)
    return app


def _upstream_state(is_open: bool, warm: bool) -> str:
    if not is_open:
        return "out"
    return "warm" if warm else "cold"
