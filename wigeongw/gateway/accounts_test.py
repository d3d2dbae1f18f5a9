"""Tests of client accounts at whole hosts: keys, names, quotas, priorities."""

import asyncio
from dataclasses import replace
import json
import unittest

from wigeongw.adapters import change_codec
from wigeongw.core.site import ClientAccount
from wigeongw.core.site import Configuration
from wigeongw.decisions.accounts import AccountIndex
from wigeongw.decisions.accounts import key_digest
from wigeongw.decisions.accounts import SharedKeyError
from wigeongw.gateway.host_case import configuration
from wigeongw.gateway.host_case import HostCase
from wigeongw.gateway.host_case import NAMES

KEY = "ftimaj3nr26tta828m82"
OTHER_KEY = "thhkmgjqnirth5mgjy5r"
ACCOUNT_HEADER = "Wigeongw-Account"


def account(
    name: str, *keys: str, per_s: float = 0.0, burst: float = 0.0
) -> ClientAccount:
    digests = tuple(key_digest(key) for key in keys)
    return ClientAccount(name, digests, 1, per_s, burst)


def with_accounts(revision: int, *accounts: ClientAccount) -> Configuration:
    """Return a configuration whose fetch route is public."""
    plain = configuration(revision)
    routes = tuple(
        replace(route, is_public=route.name == "fetch")
        for route in plain.routes
    )
    return replace(plain, routes=routes, accounts=accounts)


class AccountCase(HostCase):
    async def publish(self, *accounts: ClientAccount) -> None:
        """Publish the next configuration and wait for it at all hosts."""
        self.revision = getattr(self, "revision", 0) + 1
        await self.catalog.publish(
            with_accounts(self.revision, *accounts),
            *(u.target() for u in self.upstreams),
        )
        await self.until(
            lambda: all(
                host.state.view.configuration is not None
                and host.state.view.configuration.revision == self.revision
                for host in self.hosts
            )
        )

    async def send_with(
        self,
        key: str | None,
        path: str = "/read/a",
        host: int = 0,
        extra: dict[str, str] | None = None,
    ) -> int:
        """Send a request with a key; return its status."""
        headers = {"Host": "a.example", NAMES.request_id: "id-1"}
        headers |= extra or {}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        address = self.hosts[host].state.host_config.front
        async with self.session.get(
            f"http://{address}{path}", headers=headers
        ) as response:
            await response.read()
            self.last_headers = response.headers
            return response.status

    def last_seen(self) -> dict[str, str]:
        """Return the headers of the last request at an upstream."""
        newest = max(
            (u for u in self.upstreams if u.ran),
            key=lambda upstream: upstream.arrivals[-1],
        )
        return newest.ran[-1].headers


class KeyTest(AccountCase):
    async def test_upstream_sees_the_name_and_never_the_key(self) -> None:
        await self.publish(account("acme", KEY), account("other", OTHER_KEY))
        forged = {ACCOUNT_HEADER: "other"}
        self.assertEqual(await self.send_with(KEY, extra=forged), 200)
        seen = self.last_seen()
        self.assertEqual(seen["wigeongw-account"], "acme")
        self.assertNotIn("authorization", seen)
        self.assertEqual(await self.send_with(OTHER_KEY), 200)
        self.assertEqual(self.last_seen()["wigeongw-account"], "other")

    async def test_unknown_and_missing_keys_get_401(self) -> None:
        await self.publish(account("acme", KEY))
        for key in (None, "", "nobody", KEY + "x", KEY.upper()):
            with self.subTest(key=key):
                self.assertEqual(await self.send_with(key), 401)
                challenge = self.last_headers["WWW-Authenticate"]
                self.assertEqual(challenge, "Bearer")
        self.assertEqual(self.ran_count(), 0)

    async def test_public_route_needs_no_key(self) -> None:
        await self.publish(account("acme", KEY))
        forged = {ACCOUNT_HEADER: "acme"}
        for key, name in ((None, None), ("nobody", None), (KEY, "acme")):
            with self.subTest(key=key):
                status = await self.send_with(key, "/fetch/a", extra=forged)
                self.assertEqual(status, 200)
                seen = self.last_seen()
                self.assertEqual(seen.get("wigeongw-account"), name)
                self.assertNotIn("authorization", seen)

    async def test_key_that_is_taken_away_stops(self) -> None:
        await self.publish(account("acme", KEY, OTHER_KEY))
        self.assertEqual(await self.send_with(KEY), 200)
        await self.publish(account("acme", OTHER_KEY))
        self.assertEqual(await self.send_with(KEY), 401)
        self.assertEqual(await self.send_with(OTHER_KEY), 200)

    async def test_without_accounts_headers_pass_as_before(self) -> None:
        await self.publish_all()
        extra = {ACCOUNT_HEADER: "as sent"}
        self.assertEqual(await self.send_with(KEY, extra=extra), 200)
        seen = self.last_seen()
        self.assertEqual(seen["authorization"], f"Bearer {KEY}")
        self.assertEqual(seen["wigeongw-account"], "as sent")

    async def test_no_log_metric_or_message_holds_a_key(self) -> None:
        await self.publish(account("acme", KEY))
        for key in (KEY, OTHER_KEY):
            await self.send_with(key)
        host = self.host
        told = change_codec.dumps(
            change_codec.encode(with_accounts(1, account("acme", KEY)))
        )
        texts = [*host.log.lines, *host.state.metrics.lines(), told.decode()]
        for text in texts:
            self.assertNotIn(KEY, text)
            self.assertNotIn(OTHER_KEY, text)

    def test_accounts_come_through_other_hosts(self) -> None:
        sent = with_accounts(3, account("acme", KEY, per_s=2.0, burst=4.0))
        document = json.loads(change_codec.dumps(change_codec.encode(sent)))
        self.assertEqual(change_codec.decode(document), sent)

    def test_shared_key_is_an_error_that_names_the_accounts(self) -> None:
        with self.assertRaisesRegex(SharedKeyError, "acme and other"):
            AccountIndex([account("acme", KEY), account("other", KEY)])


class QuotaTest(AccountCase):
    host_count = 3

    async def publish(self, *accounts: ClientAccount) -> None:
        await super().publish(*accounts)
        await self.until(
            lambda: all(
                len(host.state.peer_addresses) == self.host_count - 1
                for host in self.hosts
            )
        )
        for host in self.hosts:
            host.state.grantor_directory.hosts_changed_at -= 60_000.0

    async def test_quota_holds_over_all_hosts(self) -> None:
        await self.publish(account("acme", KEY, per_s=1.0, burst=12.0))
        statuses = await asyncio.gather(
            *(self.send_with(KEY, host=n % 3) for n in range(45))
        )
        self.assertEqual(set(statuses), {200, 429})
        self.assertGreaterEqual(statuses.count(200), 10)
        self.assertLessEqual(statuses.count(200), 16)
        self.assertEqual(await self.send_with(KEY), 429)
        self.assertGreater(float(self.last_headers["Retry-After"]), 0.0)

    async def test_account_without_a_quota_is_not_limited(self) -> None:
        await self.publish(
            account("acme", KEY), account("small", OTHER_KEY, per_s=1.0)
        )
        statuses = [await self.send_with(KEY) for _ in range(30)]
        self.assertEqual(set(statuses), {200})

    async def test_quota_of_one_account_does_not_bind_another(self) -> None:
        await self.publish(
            account("acme", KEY, per_s=1.0, burst=1.0),
            account("other", OTHER_KEY, per_s=100.0, burst=100.0),
        )
        for _ in range(4):
            await self.send_with(KEY)
        self.assertEqual(await self.send_with(KEY), 429)
        self.assertEqual(await self.send_with(OTHER_KEY), 200)

    async def test_quota_holds_while_the_store_is_away(self) -> None:
        await self.publish(account("acme", KEY, per_s=50.0, burst=30.0))
        self.catalog.down = True
        statuses = [await self.send_with(KEY, host=n % 3) for n in range(9)]
        self.assertEqual(set(statuses), {200})


if __name__ == "__main__":
    unittest.main()
