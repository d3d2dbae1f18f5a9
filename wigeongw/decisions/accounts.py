"""Finds the client account that a key belongs to.

Keys are known by a digest only. It is looked up in a table, so that the time
of a look-up tells nothing of how much of a guessed key is right.
"""

from collections.abc import Iterable
import hashlib

from wigeongw.core.errors import WigeongwError
from wigeongw.core.site import ClientAccount

DIGEST_BYTES = 16
DIGEST_PERSON = b"client key"


class SharedKeyError(WigeongwError):
    """Two accounts have the same key."""


def key_digest(key: str) -> str:
    """Return what a key is known by, in hexadecimal digits."""
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"),
        digest_size=DIGEST_BYTES,
        person=DIGEST_PERSON,
    ).hexdigest()


class AccountIndex:
    """The accounts of a configuration by the digests of their keys.

    Attributes:
        by_digest: the accounts.
    """

    def __init__(self, accounts: Iterable[ClientAccount] = ()) -> None:
        self.by_digest: dict[str, ClientAccount] = {}
        for account in accounts:
            for digest in account.key_digests:
                other = self.by_digest.setdefault(digest, account)
                if other is not account:
                    raise SharedKeyError(
                        f"accounts {other.name} and {account.name} have a "
                        "key in common"
                    )

    def find(self, key: str | None) -> ClientAccount | None:
        """Return the account of a key; None without one."""
        if key is None:
            return None
        return self.by_digest.get(key_digest(key))
