"""Keeps what an entry host knows of its site, and tells the permit desk.

All news ends up here: the host list, settings, heartbeats, links and fences.
News that changes who may do what reaches the permit desk at once; the rest is
kept for the next regular look.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import replace

import logbook

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.identity import pool_zone
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Revision
from wigeongw.daemon.permit_desk import PermitDesk
from wigeongw.daemon.record import PLACE
from wigeongw.daemon.record import Record
from wigeongw.decisions import fence as fences
from wigeongw.decisions import membership
from wigeongw.decisions import site as sites
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import PeerNews
from wigeongw.decisions.grantor import UpstreamView
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.site import Site
from wigeongw.ports.peers import Heartbeat
from wigeongw.ports.peers import Peers
from wigeongw.settings import check
from wigeongw.settings import revisions
from wigeongw.settings.errors import SettingsError

LOOK_EVERY_MS = 100.0
FIRST_BEAT_MS = 100.0

log = logbook.Logger("site")


class SiteKeeper:
    """Owns the site's state; hears all that other entry hosts say."""

    def __init__(self, site: Site, clock: Clock, record: Record) -> None:
        self.site = site
        self.clock = clock
        self.record = record
        self.revision: Revision | None = None
        self.stopping = False
        self.desk: PermitDesk | None = None
        self.peers: Peers | None = None
        self.revised = asyncio.Event()
        self.fetched_at: dict[str, float] = {}
        self.near: tuple[EntryHost, ...] = ()

    def connect(self, desk: PermitDesk, peers: Peers) -> None:
        """Join the parts that this one talks to."""
        self.desk = desk
        self.peers = peers

    # News from the platform

    def on_listing(self, listing: HostListing) -> None:
        """Take in a reading of the host list."""
        now = self.clock.now()
        leaving = membership.note_leaving(
            membership.forget_unlisted(self.site.leaving, listing),
            (
                u.name
                for u in listing.upstreams
                if u.state is HostState.LEAVING
            ),
            now,
        )
        if listing == self.site.listing and leaving == self.site.leaving:
            return
        assert self.peers is not None
        site = replace(self.site, leaving=leaving)
        self._set(sites.with_listing(site, listing, now))
        self.peers.set_hosts(sites.entry_hosts(self.site))

    def on_fences(self, heard: Iterable[Fence]) -> None:
        """Take in fences as the store shows them."""
        merged = fences.newest(self.site.fences, heard)
        if merged != self.site.fences:
            self._set(replace(self.site, fences=merged))

    def on_lease(self, lease: LeaseState) -> None:
        """Take in the state of the own lease."""
        self.site = replace(self.site, lease=lease)
        if self.desk is not None:
            self.desk.site = self.site

    def on_store_heard(self) -> None:
        """Take in that the store answered."""
        self.site = replace(self.site, store_heard_at=self.clock.now())

    # What PeerEvents asks for

    def on_holder(self, host: str, messages: Sequence[HolderMessage]) -> None:
        """Hear a holder."""
        if self.desk is not None:
            self.desk.on_holder(host, messages)

    def on_grantor(
        self, host: str, messages: Sequence[GrantorMessage]
    ) -> None:
        """Hear a grantor."""
        if self.desk is not None:
            self.desk.on_grantor(host, messages)

    def on_holder_lost(self, host: str) -> None:
        """Hear that a holder's stream broke."""
        if self.desk is not None:
            self.desk.on_holder_lost(host)

    def on_link(self, host: str, up: bool) -> None:
        """Hear that the own stream to a host stands or broke."""
        links = self.site.links_up
        changed = links | {host} if up else links - {host}
        self._set(replace(self.site, links_up=changed))
        if up:
            self.beat()

    def on_heartbeat(self, beat: Heartbeat) -> None:
        """Hear a heartbeat."""
        now = self.clock.now()
        was_known = beat.host in {
            h.name for h in sites.reachable(self.site, now)
        }
        before = self.site
        news = dict(before.news)
        news[beat.host] = PeerNews(now, beat.store_silent_ms)
        gone = before.gone_hosts - {beat.host}
        if beat.leaving:
            gone = gone | {beat.host}
        site = replace(
            before,
            news=news,
            gone_hosts=gone,
            fences=fences.newest(before.fences, beat.fences),
            leaving=membership.note_leaving(
                before.leaving, beat.leaving_upstreams, now
            ),
            upstreams=self._with_views(before, beat.upstreams),
        )
        matters = (
            not was_known
            or site.gone_hosts != before.gone_hosts
            or site.fences != before.fences
            or site.leaving.until.keys() != before.leaving.until.keys()
        )
        if matters:
            self._set(site)
        else:
            self._keep(site)
        self._catch_up(beat, now)

    def revision_above(self, number: int) -> Revision | None:
        """Return the revision in force if it is higher."""
        if self.revision is not None and self.revision.number > number:
            return self.revision
        return None

    def on_revision(self, revision: Revision) -> int:
        """Take in a revision; lower ones and damaged ones change nothing.

        Returns:
            The number in force afterwards.
        """
        if revision.number <= self.site.revision:
            return self.site.revision
        if not revisions.is_genuine(revision):
            log.warning("Revision {} is damaged.", revision.number)
            return self.site.revision
        name = f"revision {revision.number}"
        try:
            settings = check.from_text(revision.text, name)
        except SettingsError as error:
            log.error("Revision {} refused: {}.", revision.number, error)
            return self.site.revision
        self.revision = revision
        site = replace(self.site, settings=settings, revision=revision.number)
        closed = sites.zones_out(site)
        upstreams = {
            name: view
            for name, view in site.upstreams.items()
            if pool_zone(view.pool) not in closed
        }
        self._set(replace(site, upstreams=upstreams))
        log.info("Revision {} is in force.", revision.number)
        me = self.site.me
        self.record.add(
            PLACE,
            me.name,
            "",
            me.name,
            me.availability_zone,
            revision.number,
            "settings",
        )
        self.revised.set()
        self.beat()
        return revision.number

    # Signs from the request path

    def note_leaving(self, upstream: str) -> None:
        """Take in an upstream's own word that it leaves."""
        if upstream in self.site.leaving.until:
            return
        leaving = membership.note_leaving(
            self.site.leaving, (upstream,), self.clock.now()
        )
        self._set(replace(self.site, leaving=leaving))
        self.beat()

    def begin_stop(self) -> None:
        """Tell everybody that this entry host leaves."""
        self.stopping = True
        me = replace(self.site.me, state=HostState.LEAVING)
        self._set(replace(self.site, me=me))
        self.beat()

    # Time

    async def run(self) -> None:
        """Look for hosts that fell silent, and beat, for ever."""
        beat_at = float("-inf")
        while True:
            await asyncio.sleep(seconds(LOOK_EVERY_MS))
            now = self.clock.now()
            self._look()
            every = FIRST_BEAT_MS
            if self.site.settings is not None:
                every = self.site.settings.membership.heartbeat_ms
            if now - beat_at >= every:
                beat_at = now
                self.beat()

    def beat(self) -> None:
        """Send a heartbeat to every other entry host."""
        if self.peers is None or self.desk is None:
            return
        now = self.clock.now()
        own = self.desk.views()
        self._keep(
            replace(self.site, upstreams=self._with_views(self.site, own))
        )
        site = self.site
        self.peers.beat(
            Heartbeat(
                site.me.name,
                site.revision,
                self.stopping,
                min(now - site.store_heard_at, 1e12),
                own,
                tuple(site.leaving.until),
                tuple(site.fences.values()),
            )
        )

    # Inside

    def _set(self, site: Site) -> None:
        self.site = site
        if self.desk is not None:
            self.desk.set_site(site)

    def _keep(self, site: Site) -> None:
        """Keep news that changes nobody's part."""
        self.site = site
        if self.desk is not None:
            self.desk.site = site

    def _look(self) -> None:
        """Let the desk see who has fallen silent since."""
        near = sites.reachable(self.site, self.clock.now())
        if near != self.near and self.desk is not None:
            self.near = near
            self.desk.set_site(self.site)

    @staticmethod
    def _with_views(
        site: Site, views: Iterable[UpstreamView]
    ) -> dict[str, UpstreamView]:
        """Return what is known of upstreams, the newest word of each."""
        closed = sites.zones_out(site)
        known = dict(site.upstreams)
        for view in views:
            if pool_zone(view.pool) in closed:
                continue
            before = known.get(view.upstream)
            if before is None or view.seen_at >= before.seen_at:
                known[view.upstream] = view
        return known

    def _catch_up(self, beat: Heartbeat, now: float) -> None:
        """Fetch settings from a peer that has newer ones."""
        if beat.revision <= self.site.revision or self.peers is None:
            return
        last = self.fetched_at.get(beat.host, float("-inf"))
        if now - last >= LOOK_EVERY_MS:
            self.fetched_at[beat.host] = now
            self.peers.fetch_settings(beat.host, self.site.revision)
