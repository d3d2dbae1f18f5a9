"""Tracks the state of the site and passes changes to the permit manager.

All updates arrive here: the host list, settings, heartbeats, links and fences.
An update that affects permits is passed to the permit manager at once. Any
other update is only stored; the permit manager uses it at its next regular
check.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import replace

import logbook

from wigeongw.core.clock import Clock
from wigeongw.core.clock import seconds
from wigeongw.core.identifiers import pool_zone
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostListing
from wigeongw.core.records import HostState
from wigeongw.core.records import Revision
from wigeongw.daemon.decision_log import DecisionLog
from wigeongw.daemon.decision_log import PLACE
from wigeongw.daemon.permit_manager import PermitManager
from wigeongw.decisions import fence as fences
from wigeongw.decisions import membership
from wigeongw.decisions import site_state as sites
from wigeongw.decisions.fence import Fence
from wigeongw.decisions.fence import LeaseState
from wigeongw.decisions.fence import NO_LEASE
from wigeongw.decisions.fence import PeerStatus
from wigeongw.decisions.grantor_state import UpstreamView
from wigeongw.decisions.messages import GrantorMessage
from wigeongw.decisions.messages import HolderMessage
from wigeongw.decisions.site_state import SiteState
from wigeongw.ports.peers import Heartbeat
from wigeongw.ports.peers import Peers
from wigeongw.settings import revisions
from wigeongw.settings import validation
from wigeongw.settings.errors import SettingsError

CHECK_INTERVAL_MS = 100.0
INITIAL_HEARTBEAT_INTERVAL_MS = 100.0

log = logbook.Logger("site")


class SiteTracker:
    """Owns the state of the site and handles the events of its peers.

    Attributes:
        site: current state of the site.
        revision: settings revision in force; None before the first one.
        is_stopping: whether this entry host announced that it is leaving.
        settings_ready: set once a revision is in force.
        last_fetch_at: time of the last request for settings to each peer, in
            monotonic milliseconds.
        reachable_hosts: reachable entry hosts at the last check.
        has_replaced_lost: whether the revision in force, or one before it,
            replaced one that the store had lost.
    """

    def __init__(
        self, site: SiteState, clock: Clock, decision_log: DecisionLog
    ) -> None:
        self.site = site
        self.clock = clock
        self.decision_log = decision_log
        self.revision: Revision | None = None
        self.is_stopping = False
        self.permit_manager: PermitManager | None = None
        self.peers: Peers | None = None
        self.settings_ready = asyncio.Event()
        self.last_fetch_at: dict[str, float] = {}
        self.reachable_hosts: tuple[EntryHost, ...] = ()
        self.has_replaced_lost = False

    def connect(self, permit_manager: PermitManager, peers: Peers) -> None:
        """Set the components that updates are sent to."""
        self.permit_manager = permit_manager
        self.peers = peers

    def on_listing(self, listing: HostListing) -> None:
        """Handle a new reading of the host list."""
        now = self.clock.now()
        leaving = membership.note_leaving(
            membership.forget_unlisted(self.site.leaving, listing),
            (
                upstream.name
                for upstream in listing.upstreams
                if upstream.state is HostState.LEAVING
            ),
            now,
        )
        if listing == self.site.listing and leaving == self.site.leaving:
            return
        assert self.peers is not None
        site = replace(self.site, leaving=leaving)
        self._update_site(sites.with_listing(site, listing, now))
        self.peers.set_hosts(sites.entry_hosts(self.site))

    def on_fences(self, found: Iterable[Fence]) -> None:
        """Handle fences that were read from the store."""
        merged = fences.newest_by_pool(self.site.fences, found)
        if merged != self.site.fences:
            era = max((f.era for f in merged.values()), default=0)
            era = max(era, self.site.store_era)
            self._update_site(replace(self.site, fences=merged, store_era=era))

    def on_store_return(self) -> None:
        """Handle a return of the store from an older copy of itself."""
        self.site = replace(self.site, store_era=self.site.store_era + 1)

    def on_lease(self, lease: LeaseState) -> None:
        """Handle a renewal of the lease of this entry host."""
        self.site = replace(self.site, lease=lease)
        if self.permit_manager is not None:
            self.permit_manager.site = self.site

    def on_store_reply(self) -> None:
        """Note the time of a reply from the store."""
        self.site = replace(self.site, store_responded_at=self.clock.now())

    def on_holder_messages(
        self, host: str, messages: Sequence[HolderMessage]
    ) -> None:
        """Handle messages from a holder."""
        if self.permit_manager is not None:
            self.permit_manager.on_holder_messages(host, messages)

    def on_grantor_messages(
        self, host: str, messages: Sequence[GrantorMessage]
    ) -> None:
        """Handle messages from a grantor."""
        if self.permit_manager is not None:
            self.permit_manager.on_grantor_messages(host, messages)

    def on_holder_disconnected(self, host: str) -> None:
        """Handle the end of a stream that a holder had opened."""
        if self.permit_manager is not None:
            self.permit_manager.on_holder_disconnected(host)

    def on_link_changed(self, host: str, up: bool) -> None:
        """Handle a change of the stream that this host opened to a peer."""
        links = self.site.connected_hosts
        connected_hosts = links | {host} if up else links - {host}
        self._update_site(replace(self.site, connected_hosts=connected_hosts))
        if up:
            self.send_heartbeat()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat.

        Newer settings of the sender are fetched.
        """
        now = self.clock.now()
        was_reachable = heartbeat.host in {
            host.name for host in sites.reachable(self.site, now)
        }
        before = self.site
        peer_statuses = dict(before.peer_statuses)
        peer_statuses[heartbeat.host] = PeerStatus(
            now, heartbeat.store_silent_ms
        )
        heard_era = max((f.era for f in heartbeat.fences), default=0)
        departing_hosts = before.departing_hosts - {heartbeat.host}
        if heartbeat.leaving:
            departing_hosts = departing_hosts | {heartbeat.host}
        site = replace(
            before,
            peer_statuses=peer_statuses,
            departing_hosts=departing_hosts,
            fences=fences.newest_by_pool(before.fences, heartbeat.fences),
            store_era=max(before.store_era, heard_era),
            lease=NO_LEASE if heard_era > before.store_era else before.lease,
            leaving=membership.note_leaving(
                before.leaving, heartbeat.leaving_upstreams, now
            ),
            upstreams=self._merge_views(before, heartbeat.upstreams),
        )
        affects_permits = (
            not was_reachable
            or site.departing_hosts != before.departing_hosts
            or site.fences != before.fences
            or site.leaving.reports.keys() != before.leaving.reports.keys()
        )
        if affects_permits:
            self._update_site(site)
        else:
            self._store_site(site)
        self._fetch_newer_settings(heartbeat, now)

    def revision_above(self, number: int) -> Revision | None:
        """Return the revision in force if its number is higher."""
        if self.revision is not None and self.revision.number > number:
            return self.revision
        return None

    def on_revision(self, revision: Revision, is_stored: bool = False) -> int:
        """Put a revision in force if it is newer and valid.

        Args:
            revision: the revision.
            is_stored: whether it comes from the store and not from a host.

        Returns:
            The number of the revision in force afterwards.
        """
        if revision.number <= self.site.revision:
            return self.site.revision
        if not is_stored and self._may_be_lost(revision):
            return self.site.revision
        return self._put_in_force(revision)

    def on_stored_revision(self, revision: Revision) -> None:
        """Handle the current revision as a reading of the store shows it."""
        in_force = self.revision
        if in_force and revisions.replaces_lost(revision, in_force):
            log.warning(
                "Revision {} in force was lost by the store; revision {} "
                "was published after it.",
                in_force.number,
                revision.number,
            )
            self.has_replaced_lost = True
            self._put_in_force(revision)

    def _may_be_lost(self, revision: Revision) -> bool:
        """Return whether the store may have lost another host's revision."""
        return (
            self.has_replaced_lost
            and self.revision is not None
            and revision.at_ms <= self.revision.at_ms
        )

    def _put_in_force(self, revision: Revision) -> int:
        """Put a revision in force if it is valid.

        Upstream states of availability zones that the revision takes out of
        service are dropped.

        Returns:
            The number of the revision in force afterwards.
        """
        if not revisions.has_valid_digest(revision):
            log.warning(
                "Revision {} ignored: its digest does not match its contents.",
                revision.number,
            )
            return self.site.revision
        source = f"revision {revision.number}"
        try:
            settings = validation.validate_text(revision.text, source)
        except SettingsError as error:
            log.error(
                "Revision {} ignored: invalid settings: {}.",
                revision.number,
                error,
            )
            return self.site.revision
        self.revision = revision
        site = replace(self.site, settings=settings, revision=revision.number)
        zones_out = sites.zones_out(site)
        upstreams = {
            name: view
            for name, view in site.upstreams.items()
            if pool_zone(view.pool) not in zones_out
        }
        self._update_site(replace(site, upstreams=upstreams))
        log.info("Revision {} is in force.", revision.number)
        me = self.site.me
        self.decision_log.add(
            PLACE,
            me.name,
            "",
            me.name,
            me.availability_zone,
            revision.number,
            "settings",
        )
        self.settings_ready.set()
        self.send_heartbeat()
        return revision.number

    def on_upstream_leaving(self, upstream: str, start: str) -> None:
        """Handle an upstream that said itself that it is leaving."""
        is_known = upstream in self.site.leaving.reports
        leaving = membership.note_own_leaving(
            self.site.leaving, upstream, start, self.clock.now()
        )
        site = replace(self.site, leaving=leaving)
        if is_known:
            self._store_site(site)
            return
        log.info("Upstream {} says that it leaves.", upstream)
        self._update_site(site)
        self.send_heartbeat()

    def on_upstream_serving(self, upstream: str, start: str) -> None:
        """Handle an answer of an upstream that may have said that it leaves.

        A later start of it is used again.
        """
        leaving = membership.note_serving(self.site.leaving, upstream, start)
        if leaving is not self.site.leaving:
            log.info("Upstream {} has started again.", upstream)
            self._update_site(replace(self.site, leaving=leaving))

    def announce_stop(self) -> None:
        """Announce to all entry hosts that this one is leaving."""
        self.is_stopping = True
        me = replace(self.site.me, state=HostState.LEAVING)
        self._update_site(replace(self.site, me=me))
        self.send_heartbeat()

    async def run(self) -> None:
        """Check reachability and send heartbeats until cancelled."""
        last_heartbeat_at = float("-inf")
        while True:
            await asyncio.sleep(seconds(CHECK_INTERVAL_MS))
            now = self.clock.now()
            self._check_reachability()
            interval_ms = INITIAL_HEARTBEAT_INTERVAL_MS
            if self.site.settings is not None:
                interval_ms = self.site.settings.membership.heartbeat_ms
            if now - last_heartbeat_at >= interval_ms:
                last_heartbeat_at = now
                self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to every other entry host."""
        if self.peers is None or self.permit_manager is None:
            return
        now = self.clock.now()
        own_views = self.permit_manager.upstream_views()
        self._store_site(
            replace(
                self.site, upstreams=self._merge_views(self.site, own_views)
            )
        )
        site = self.site
        self.peers.send_heartbeat(
            Heartbeat(
                site.me.name,
                site.revision,
                self.is_stopping,
                # Finite even when the store has never replied.
                min(now - site.store_responded_at, 1e12),
                own_views,
                site.leaving.own_reports(),
                tuple(site.fences.values()),
            )
        )

    def _update_site(self, site: SiteState) -> None:
        """Store a state and update the holders and grantors to it."""
        self.site = site
        if self.permit_manager is not None:
            self.permit_manager.set_site(site)

    def _store_site(self, site: SiteState) -> None:
        """Store a state that does not affect holders or grantors."""
        self.site = site
        if self.permit_manager is not None:
            self.permit_manager.site = site

    def _check_reachability(self) -> None:
        """Update the permit manager when the reachable hosts have changed."""
        reachable_hosts = sites.reachable(self.site, self.clock.now())
        if (
            reachable_hosts != self.reachable_hosts
            and self.permit_manager is not None
        ):
            self.reachable_hosts = reachable_hosts
            self.permit_manager.set_site(self.site)

    @staticmethod
    def _merge_views(
        site: SiteState, views: Iterable[UpstreamView]
    ) -> dict[str, UpstreamView]:
        """Merge upstream states; the newest one of each upstream wins."""
        zones_out = sites.zones_out(site)
        known = dict(site.upstreams)
        for view in views:
            if pool_zone(view.pool) in zones_out:
                continue
            previous = known.get(view.upstream)
            if previous is None or view.seen_at >= previous.seen_at:
                known[view.upstream] = view
        return known

    def _fetch_newer_settings(self, heartbeat: Heartbeat, now: float) -> None:
        """Request the settings of a peer whose revision is newer.

        At most one request is sent to a peer per CHECK_INTERVAL_MS.
        """
        if heartbeat.revision <= self.site.revision or self.peers is None:
            return
        last_fetch_at = self.last_fetch_at.get(heartbeat.host, float("-inf"))
        if now - last_fetch_at >= CHECK_INTERVAL_MS:
            self.last_fetch_at[heartbeat.host] = now
            self.peers.fetch_settings(heartbeat.host, self.site.revision)
