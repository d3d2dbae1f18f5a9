"""Connects a command to the platform's store and host list."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Annotated

import typer

from wigeongw.adapters.etcd_store import EtcdStore
from wigeongw.adapters.guarded_session import guarded_session
from wigeongw.adapters.host_list import HttpHostList
from wigeongw.daemon.entry_host import Platform

DEFAULT_PREFIX = "wigeongw/"

StoreUrl = Annotated[
    str,
    typer.Option(
        "--store", envvar="WIGEONGW_STORE", help="Base URL of the store."
    ),
]
HostListUrl = Annotated[
    str,
    typer.Option(
        "--host-list",
        envvar="WIGEONGW_HOST_LIST",
        help="URL of the host list; needed to notify entry hosts directly.",
    ),
]
KeyPrefix = Annotated[
    str, typer.Option("--prefix", help="Prefix of all keys in the store.")
]


@asynccontextmanager
async def open_platform(store: str, host_list: str) -> AsyncIterator[Platform]:
    """Yield clients of the store and the host list; close them at the end.

    Args:
        store: base URL of the store.
        host_list: URL of the host list; may be any URL when it is not read.
    """
    async with guarded_session() as session:
        yield Platform(
            EtcdStore(session, store), HttpHostList(session, host_list)
        )
