"""``wigeongw serve``: runs the daemon of an entry host."""

import asyncio
from contextlib import AsyncExitStack
import functools
import pathlib
import random
import signal
import sys
from typing import Annotated

import typer
import uvloop

from wigeongw.adapters.etcd_store import EtcdStore
from wigeongw.adapters.guarded_session import guarded_session
from wigeongw.adapters.host_list import HttpHostList
from wigeongw.commands.exit_codes import BAD_INPUT
from wigeongw.commands.exit_codes import CANNOT_LISTEN
from wigeongw.core.clock import Clock
from wigeongw.daemon import decision_log
from wigeongw.daemon.entry_host import EntryHostDaemon
from wigeongw.daemon.entry_host import Platform
from wigeongw.decisions.trace import WriteLine
from wigeongw.settings import document
from wigeongw.settings import validation
from wigeongw.settings.errors import SettingsError
from wigeongw.settings.schema import HostSettings


def serve(
    host_settings: Annotated[
        pathlib.Path,
        typer.Option(help="TOML file with this entry host's settings."),
    ],
) -> None:
    """Run an entry host until SIGTERM, then stop gracefully.

    Exit codes: 0 after a graceful stop, 2 when the settings file is invalid,
    3 when a listen address cannot be bound.
    """
    try:
        settings = validation.validate_host(document.read(host_settings))
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_INPUT) from error
    try:
        uvloop.run(_serve(settings))
    except OSError as error:
        typer.echo(
            f"{host_settings}: cannot bind a listen address: {error}", err=True
        )
        raise typer.Exit(CANNOT_LISTEN) from error


async def _serve(settings: HostSettings) -> None:
    async with AsyncExitStack() as stack:
        stack.enter_context(
            decision_log.diagnostic_handler().applicationbound()
        )
        record_stream = sys.stdout
        if settings.record_file != "-":
            record_path = pathlib.Path(settings.record_file)
            record_stream = stack.enter_context(
                record_path.open("a")  # noqa: ASYNC230
            )
        stack.enter_context(
            decision_log.decision_handler(record_stream).applicationbound()
        )
        session = await stack.enter_async_context(guarded_session())
        platform = Platform(
            EtcdStore(session, settings.store),
            HttpHostList(session, settings.host_list),
        )
        write_trace: WriteLine | None = None
        if settings.trace_file:
            trace_path = pathlib.Path(settings.trace_file)
            trace_stream = stack.enter_context(
                trace_path.open("a")  # noqa: ASYNC230
            )
            write_trace = functools.partial(print, file=trace_stream)
        daemon = EntryHostDaemon(
            settings, platform, Clock(), random.SystemRandom(), write_trace
        )
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, daemon.request_stop)
        await daemon.run()
