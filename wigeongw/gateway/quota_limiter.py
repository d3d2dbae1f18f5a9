"""Asks for requests of client accounts, and grants them to other hosts."""

import asyncio

from wigeongw.adapters import quota_codec
from wigeongw.adapters.quota_codec import QuotaAsk
from wigeongw.adapters.quota_codec import QuotaCodecError
from wigeongw.adapters.quota_codec import QuotaReply
from wigeongw.core.clock import seconds
from wigeongw.core.log_throttle import LogThrottle
from wigeongw.core.site import ClientAccount
from wigeongw.decisions import quota
from wigeongw.decisions.host_limits import TokenBucket
from wigeongw.decisions.quota import Grant
from wigeongw.decisions.quota import GrantedRequests
from wigeongw.decisions.quota import QuotaGrantor
from wigeongw.decisions.quota import QuotaTerms
from wigeongw.gateway.errors import RequestError
from wigeongw.gateway.peer_socket import PeerSocket
from wigeongw.gateway.peer_socket import UdpAddress
from wigeongw.gateway.state import GatewayState

HTTP_TOO_MANY_REQUESTS = 429
REPLY_TIMEOUT_MS = 30.0
SILENT_GRANTOR_BACKOFF_MS = 400.0
# A host that does not know the account, or is not its grantor, will soon.
NOT_GRANTOR_WAIT_MS = 200.0
MAX_SERIAL = 0xFFFF_FFFF
# Asks of one request; another request may take what was granted.
MAX_ROUNDS = 3
# Accounts whose state is kept beyond those of the configuration.
MAX_STATES = 20_000
REFUSED_LOG_INTERVAL_MS = 1_000.0


class QuotaLimiter:
    """Admits requests within the quotas of their accounts.

    Attributes:
        granted: what this host may send, by account.
        fills: the running asks, by account.
        waiting: requests that wait for a grant, by account.
        grantors: state of the accounts that this host grants for.
        alone: what this host grants itself without a grantor, by account.
        pending: the asks that wait for a reply, by serial number.
        silent_until: by grantor, the time until which it is not asked.
    """

    def __init__(self, state: GatewayState, socket: PeerSocket) -> None:
        self.state = state
        self.socket = socket
        self.granted: dict[str, GrantedRequests] = {}
        self.fills: dict[str, asyncio.Task[None]] = {}
        self.waiting: dict[str, int] = {}
        self.grantors: dict[str, QuotaGrantor] = {}
        self.alone: dict[str, TokenBucket] = {}
        self.pending: dict[int, asyncio.Future[QuotaReply]] = {}
        self.silent_until: dict[str, float] = {}
        self.serial = state.rng.randrange(MAX_SERIAL)
        self.refused_throttle = LogThrottle(REFUSED_LOG_INTERVAL_MS)
        socket.handlers[quota_codec.ASK_TYPE] = self.on_ask
        socket.handlers[quota_codec.REPLY_TYPE] = self.on_reply

    def close(self) -> None:
        """Cancel the asks."""
        for task in self.fills.values():
            task.cancel()

    async def admit(
        self, account: ClientAccount | None, request_id: str
    ) -> None:
        """Take one request of an account's quota.

        Raises:
            RequestError: 429 when the quota does not allow it now; the
                request has not run.
        """
        if account is None or account.per_s <= 0.0:
            return
        name = account.name
        now = self.state.clock.now()
        granted = self.granted.get(name)
        if granted is None:
            self._forget_unused()
            granted = self.granted[name] = GrantedRequests(now)
        granted.record_demand(now)
        self.waiting[name] = self.waiting.get(name, 0) + 1
        try:
            for _ in range(MAX_ROUNDS):
                if granted.take(self.state.clock.now()):
                    return
                if not await self._fill(account, granted):
                    break
            if granted.take(self.state.clock.now()):
                return
        finally:
            self.waiting[name] -= 1
        raise self._refused(account, granted, request_id)

    async def _fill(
        self, account: ClientAccount, granted: GrantedRequests
    ) -> bool:
        """Ask for grants, or wait for an ask that runs.

        Returns:
            Whether it is worth looking for a grant again.
        """
        task = self.fills.get(account.name)
        if task is None:
            if not self._grantors_to_ask(account, granted):
                return self._grant_unasked(account, granted)
            task = asyncio.create_task(self._ask_grantors(account, granted))
            self.fills[account.name] = task
            task.add_done_callback(
                lambda _: self.fills.pop(account.name, None)
            )
        await asyncio.shield(task)
        return True

    def _grantors_to_ask(
        self, account: ClientAccount, granted: GrantedRequests
    ) -> list[str]:
        """Return the grantors that may be asked now, nearest first."""
        now = self.state.clock.now()
        never = float("-inf")
        return [
            name
            for name in self._grantors(account.name)
            if granted.denied_until.get(name, never) <= now
            and self.silent_until.get(name, never) <= now
        ]

    async def _ask_grantors(
        self, account: ClientAccount, granted: GrantedRequests
    ) -> None:
        """Ask grantors in turn until all that wait have a grant."""
        is_answered = False
        for name in self._grantors_to_ask(account, granted):
            wanted = granted.wanted(self.waiting.get(account.name, 1))
            grant = await self._ask(name, account, wanted)
            now = self.state.clock.now()
            if grant is None:
                self.silent_until[name] = now + SILENT_GRANTOR_BACKOFF_MS
                self.state.metrics.count("quota_asks_total", "unanswered")
                continue
            is_answered = True
            granted.add(grant.count, now)
            if grant.wait_ms > 0.0:
                granted.denied_until[name] = now + grant.wait_ms
            event = "granted" if grant.count else "denied"
            self.state.metrics.count("quota_asks_total", event)
            if grant.count >= self.waiting.get(account.name, 1):
                return
        if not is_answered:
            self._grant_alone(account, granted)

    def _grant_unasked(
        self, account: ClientAccount, granted: GrantedRequests
    ) -> bool:
        """Return whether this host may send although it asked nobody."""
        now = self.state.clock.now()
        if any(until > now for until in granted.denied_until.values()):
            return False
        self._grant_alone(account, granted)
        return bool(granted.grants)

    def _grant_alone(
        self, account: ClientAccount, granted: GrantedRequests
    ) -> None:
        """Grant this host a small part, as it reaches no grantor."""
        now = self.state.clock.now()
        hosts = self.state.grantor_directory.max_hosts
        bucket = self.alone.get(account.name)
        fresh = quota.alone_bucket(account.per_s, hosts, now)
        if bucket is not None:
            bucket = bucket.carry_over_to(fresh)
        self.alone[account.name] = bucket or fresh
        if self.alone[account.name].take(now):
            granted.add(1, now)
            self.state.metrics.count("quota_asks_total", "alone")

    # Callbacks of the socket

    def on_ask(self, data: bytes, address: UdpAddress) -> None:
        """Reply to another host that asks for requests of an account."""
        if address[0] not in self.state.peer_ips:
            return
        try:
            ask = quota_codec.decode_ask(data)
        except QuotaCodecError as error:
            self.state.log.add("quota", event="unreadable", cause=str(error))
            return
        account = self.state.accounts_by_hash.get(ask.account)
        grant = Grant(0, NOT_GRANTOR_WAIT_MS)
        if account is not None:
            grant = self._decide(account, ask.wanted)
        reply = QuotaReply(ask.serial, grant.count, grant.wait_ms)
        self.socket.send(quota_codec.encode_reply(reply), address)

    def on_reply(self, data: bytes, address: UdpAddress) -> None:
        """Complete the ask that a reply belongs to; ignore any other."""
        if address[0] not in self.state.peer_ips:
            return
        try:
            reply = quota_codec.decode_reply(data)
        except QuotaCodecError as error:
            self.state.log.add("quota", event="unreadable", cause=str(error))
            return
        future = self.pending.pop(reply.serial, None)
        if future is not None and not future.done():
            future.set_result(reply)

    # Asking and deciding

    async def _ask(
        self, name: str, account: ClientAccount, wanted: int
    ) -> Grant | None:
        """Ask one grantor; None when it does not reply in time."""
        if name == self.state.host_config.name:
            return self._decide(account, wanted)
        address = self.state.peer_addresses.get(name)
        if address is None:
            return None
        self.serial = (self.serial + 1) & MAX_SERIAL
        serial = self.serial
        ask = QuotaAsk(serial, quota_codec.hash_account(account.name), wanted)
        future: asyncio.Future[QuotaReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[serial] = future
        self.socket.send(quota_codec.encode_ask(ask), address)
        try:
            async with asyncio.timeout(seconds(REPLY_TIMEOUT_MS)):
                reply = await future
        except TimeoutError:
            return None
        finally:
            self.pending.pop(serial, None)
        return Grant(reply.granted, reply.wait_ms)

    def _decide(self, account: ClientAccount, wanted: int) -> Grant:
        """Grant requests, as a grantor of the account."""
        now = self.state.clock.now()
        if account.per_s <= 0.0:
            return Grant(wanted, 0.0)
        if self.state.host_config.name not in self._grantors(account.name):
            return Grant(0, NOT_GRANTOR_WAIT_MS)
        view_age_ms = now - self.state.view.store_responded_ms
        terms = QuotaTerms(
            account.per_s,
            account.burst,
            self.state.zone_count(),
            view_age_ms > quota.MAX_VIEW_AGE_MS,
        )
        grantor = self.grantors.get(account.name)
        if grantor is None:
            directory = self.state.grantor_directory
            changed_ago_ms = now - directory.hosts_changed_at
            is_settled = changed_ago_ms > quota.SETTLING_MS
            grantor = QuotaGrantor(terms, is_settled, now)
            self.grantors[account.name] = grantor
        return grantor.grant(terms, wanted, now)

    def _grantors(self, account: str) -> list[str]:
        return self.state.quota_grantors(account)

    def _refused(
        self,
        account: ClientAccount,
        granted: GrantedRequests,
        request_id: str,
    ) -> RequestError:
        now = self.state.clock.now()
        retry_after_ms = quota.retry_after_ms(
            granted.denied_until, now, self.state.rng.random()
        )
        self.state.metrics.count("quota_refused_total")
        if self.refused_throttle.allows(account.name, now):
            self.state.log.add(
                "quota",
                id=request_id,
                event="refused",
                account=account.name,
                per_s=account.per_s,
                burst=account.burst,
                demand_per_s=granted.demand_per_s,
                retry_after_ms=retry_after_ms,
            )
        return RequestError(
            HTTP_TOO_MANY_REQUESTS, "quota", retry_after_ms=retry_after_ms
        )

    def _forget_unused(self) -> None:
        """Drop the state of accounts that have gone."""
        if len(self.granted) < MAX_STATES:
            return
        names = {account.name for account in self.state.accounts()}
        for table in (self.granted, self.grantors, self.alone, self.waiting):
            for name in [n for n in table if n not in names]:
                del table[name]
