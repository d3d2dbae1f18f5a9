"""``wigeongw settings``: check, merge, compare, publish and look back."""

import asyncio
from collections.abc import Coroutine
import datetime
import getpass
import pathlib
from typing import Annotated
from typing import Any
from typing import TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import safe
import typer

from wigeongw.adapters.peer_links import offer_settings
from wigeongw.commands import exits
from wigeongw.commands.platform import DEFAULT_PREFIX
from wigeongw.commands.platform import HostListUrl
from wigeongw.commands.platform import KeyPrefix
from wigeongw.commands.platform import opened
from wigeongw.commands.platform import StoreUrl
from wigeongw.core.clock import Clock
from wigeongw.core.clock import MS_PER_S
from wigeongw.core.clock import seconds
from wigeongw.core.records import EntryHost
from wigeongw.core.records import HostState
from wigeongw.core.records import Revision
from wigeongw.daemon.entry_host import Platform
from wigeongw.ports.errors import HostListError
from wigeongw.ports.errors import PeerError
from wigeongw.ports.errors import StoreError
from wigeongw.settings import check as checks
from wigeongw.settings import document
from wigeongw.settings import revisions
from wigeongw.settings.document import Document
from wigeongw.settings.errors import SettingsError
from wigeongw.settings.revisions import ConflictError
from wigeongw.settings.revisions import HistoryError

OFFER_TIMEOUT_MS = 1_000.0
WAIT_PAUSE_MS = 200.0

T = TypeVar("T")

app = typer.Typer(no_args_is_help=True)

Base = Annotated[pathlib.Path, typer.Argument(help="The base file.")]
Overlay = Annotated[
    pathlib.Path | None, typer.Argument(help="The site's overlay.")
]


@app.command()
def check(base: Base, overlay: Overlay = None) -> None:
    """Report every mistake in the files at once.

    Exit codes: 0 when there is none, 2 when there are some.
    """
    _load(base, overlay)
    typer.echo("No mistakes.")


@app.command()
def merge(base: Base, overlay: Overlay = None) -> None:
    """Print the checked and merged settings.

    Exit codes: 0, or 2 for mistakes in the files.
    """
    typer.echo(document.render(_load(base, overlay).table), nl=False)


@app.command()
def diff(
    base: Base,
    overlay: Overlay = None,
    store: StoreUrl = "http://127.0.0.1:2379",
    prefix: KeyPrefix = DEFAULT_PREFIX,
) -> None:
    """Print what publishing would change.

    Exit codes: 0, 2 for mistakes in the files, 5 when the store is away.
    """
    offered = document.render(_load(base, overlay).table)

    async def compare() -> str:
        async with opened(store, store) as platform:
            found = await revisions.read_in_force(platform.store, prefix)
            old = found.revision.text if found.revision else ""
            return revisions.difference(old, offered)

    typer.echo(_run(compare()) or "No difference.")


@app.command()
def publish(
    base: Base,
    why: Annotated[str, typer.Option(help="The reason, kept for ever.")],
    overlay: Overlay = None,
    store: StoreUrl = "http://127.0.0.1:2379",
    host_list: HostListUrl = "",
    prefix: KeyPrefix = DEFAULT_PREFIX,
    who: Annotated[
        str, typer.Option(help="Who publishes; the login name if not given.")
    ] = "",
    expect: Annotated[
        int,
        typer.Option(
            help="Fail unless this revision is in force; -1 for any."
        ),
    ] = -1,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait for all entry hosts.")
    ] = False,
    timeout_s: Annotated[
        float, typer.Option(help="How long to wait, in seconds.")
    ] = 10.0,
) -> None:
    """Make the merged settings the revision in force.

    Exit codes: 0 when accepted (with --wait: in force on every live entry
    host), 2 for mistakes in the files, 4 when another operator was first, 5
    when the store is away, 6 when accepted but not yet in force everywhere.
    """
    text = document.render(_load(base, overlay).table)
    operator = who or getpass.getuser()
    _run(
        _publish(
            _Plan(store, host_list, prefix, text, operator, why, expect),
            timeout_s if wait else 0.0,
        )
    )


@app.command()
def history(
    store: StoreUrl = "http://127.0.0.1:2379",
    prefix: KeyPrefix = DEFAULT_PREFIX,
) -> None:
    """List all revisions and check the chain of digests.

    Exit codes: 0, 1 when the chain is broken, 5 when the store is away.
    """

    async def read() -> list[Revision]:
        async with opened(store, store) as platform:
            return await revisions.read_history(platform.store, prefix)

    for revision in _run(read()):
        typer.echo(_summary(revision))


@app.command()
def show(
    revision: Annotated[int, typer.Argument(help="Number of the revision.")],
    store: StoreUrl = "http://127.0.0.1:2379",
    prefix: KeyPrefix = DEFAULT_PREFIX,
) -> None:
    """Print one revision as it was in force.

    Exit codes: 0, 1 when there is none, 5 when the store is away.
    """

    async def read() -> list[Revision]:
        async with opened(store, store) as platform:
            return await revisions.read_history(platform.store, prefix)

    for found in _run(read()):
        if found.number == revision:
            typer.echo(f"# {_summary(found)}")
            typer.echo(found.text, nl=False)
            return
    _fail(f"there is no revision {revision}", exits.FAILED)


class _Plan:
    """What one publish was asked to do."""

    def __init__(
        self,
        store: str,
        host_list: str,
        prefix: str,
        text: str,
        who: str,
        why: str,
        expect: int,
    ) -> None:
        self.store = store
        self.host_list = host_list
        self.prefix = prefix
        self.text = text
        self.who = who
        self.why = why
        self.expect = expect


async def _publish(plan: _Plan, wait_s: float) -> None:
    async with opened(plan.store, plan.host_list) as platform:
        before = await revisions.read_in_force(platform.store, plan.prefix)
        _check_expected(plan, before.revision)
        if before.revision and before.revision.text == plan.text:
            typer.echo(f"Revision {before.revision.number} says the same.")
            accepted = before.revision
        else:
            offered = revisions.next_revision(
                before.revision, plan.text, plan.who, plan.why, Clock().wall()
            )
            accepted = await revisions.publish(
                platform.store, plan.prefix, before, offered
            )
            typer.echo(f"Revision {accepted.number} is accepted.")
        if plan.host_list:
            await _tell(platform, accepted, wait_s)


def _check_expected(plan: _Plan, found: Revision | None) -> None:
    number = found.number if found else 0
    if plan.expect in (-1, number):
        return
    if found is None:
        _fail("no revision is in force yet", exits.CONFLICT)
    assert found is not None
    raise ConflictError(found, revisions.difference(found.text, plan.text))


async def _tell(platform: Platform, accepted: Revision, wait_s: float) -> None:
    """Hand the revision to every entry host, and wait if that was asked."""
    try:
        listing = await platform.host_list.read()
    except HostListError as error:
        typer.echo(f"Entry hosts were not told: {error}", err=True)
        if wait_s:
            raise typer.Exit(exits.NOT_EVERYWHERE) from error
        return
    left = [h for h in listing.entry_hosts if h.state is HostState.LIVE]
    clock = Clock()
    ends_at = clock.now() + wait_s * MS_PER_S
    while True:
        left = await _offer(left, accepted)
        if not left or clock.now() >= ends_at:
            break
        await asyncio.sleep(seconds(WAIT_PAUSE_MS))
    if not left:
        typer.echo(f"In force on {len(listing.entry_hosts)} entry hosts.")
        return
    names = ", ".join(h.name for h in left)
    typer.echo(f"Not yet in force on: {names}", err=True)
    if wait_s:
        raise typer.Exit(exits.NOT_EVERYWHERE)


async def _offer(
    hosts: list[EntryHost], accepted: Revision
) -> list[EntryHost]:
    """Offer to all at once; return those that do not have it yet."""

    async def lacks(host: EntryHost) -> bool:
        try:
            number = await offer_settings(host, accepted, OFFER_TIMEOUT_MS)
        except PeerError:
            return True
        return number < accepted.number

    answers = await asyncio.gather(*(lacks(h) for h in hosts))
    pairs = zip(hosts, answers, strict=True)
    return [host for host, lacking in pairs if lacking]


def _load(base: pathlib.Path, overlay: pathlib.Path | None) -> Document:
    """Read, merge and check; end the command on mistakes."""
    result = _checked(base, overlay)
    if isinstance(result, Failure):
        _fail(str(result.failure()), exits.BAD_INPUT)
    return result.unwrap()


def _checked(
    base: pathlib.Path, overlay: pathlib.Path | None
) -> Result[Document, SettingsError]:
    @safe(exceptions=(SettingsError,))
    def read() -> Document:
        doc = checks.read_site(base, overlay)
        checks.validate_site(doc)
        return doc

    return read()


def _run(work: Coroutine[Any, Any, T]) -> T:
    """Run a command's work and turn its errors into exit codes."""
    try:
        return asyncio.run(work)
    except ConflictError as error:
        _fail(f"{error}\n{error.difference}", exits.CONFLICT)
    except HistoryError as error:
        _fail(str(error), exits.FAILED)
    except StoreError as error:
        _fail(str(error), exits.UNREACHABLE)
    raise AssertionError("unreachable")


def _fail(message: str, code: int) -> None:
    typer.echo(message, err=True)
    raise typer.Exit(code)


def _summary(revision: Revision) -> str:
    at = datetime.datetime.fromtimestamp(
        revision.at_ms / MS_PER_S, datetime.UTC
    )
    return (
        f"{revision.number} {at.isoformat(timespec='milliseconds')} "
        f"{revision.who}: {revision.why} [{revision.digest[:12]}]"
    )
