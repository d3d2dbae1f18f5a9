"""``wigeongw settings``: validates, publishes and lists settings."""

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
from wigeongw.commands import exit_codes
from wigeongw.commands.platform import DEFAULT_PREFIX
from wigeongw.commands.platform import HostListUrl
from wigeongw.commands.platform import KeyPrefix
from wigeongw.commands.platform import open_platform
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
from wigeongw.settings import document
from wigeongw.settings import revisions
from wigeongw.settings import validation as checks
from wigeongw.settings.document import Document
from wigeongw.settings.errors import SettingsError
from wigeongw.settings.revisions import ConflictError
from wigeongw.settings.revisions import HistoryError

OFFER_TIMEOUT_MS = 1_000.0
WAIT_POLL_INTERVAL_MS = 200.0

T = TypeVar("T")

app = typer.Typer(no_args_is_help=True)

Base = Annotated[
    pathlib.Path, typer.Argument(help="TOML file with the base settings.")
]
Overlay = Annotated[
    pathlib.Path | None,
    typer.Argument(help="TOML file merged into the base, for one site."),
]


@app.command()
def check(base: Base, overlay: Overlay = None) -> None:
    """Validate the settings files and report all problems.

    Exit codes: 0 when the files are valid, 2 when they are not.
    """
    _load_settings(base, overlay)
    typer.echo("No problems found.")


@app.command()
def merge(base: Base, overlay: Overlay = None) -> None:
    """Validate the settings files and print the merged settings.

    Exit codes: 0 on success, 2 when the files are invalid.
    """
    typer.echo(document.render(_load_settings(base, overlay).table), nl=False)


@app.command()
def diff(
    base: Base,
    overlay: Overlay = None,
    store: StoreUrl = "http://127.0.0.1:2379",
    prefix: KeyPrefix = DEFAULT_PREFIX,
) -> None:
    """Print the difference between the current and the merged settings.

    Exit codes: 0 on success, 2 when the files are invalid, 5 when the store
    cannot be reached.
    """
    text = document.render(_load_settings(base, overlay).table)

    async def compare() -> str:
        async with open_platform(store, store) as platform:
            current = await revisions.read_current_revision(
                platform.store, prefix
            )
            old_text = current.revision.text if current.revision else ""
            return revisions.difference(old_text, text)

    typer.echo(_run(compare()) or "No difference.")


@app.command()
def publish(
    base: Base,
    why: Annotated[
        str,
        typer.Option(help="Reason for the change; kept in the history."),
    ],
    overlay: Overlay = None,
    store: StoreUrl = "http://127.0.0.1:2379",
    host_list: HostListUrl = "",
    prefix: KeyPrefix = DEFAULT_PREFIX,
    who: Annotated[
        str, typer.Option(help="Operator; defaults to the login name.")
    ] = "",
    expect: Annotated[
        int,
        typer.Option(
            help="Fail unless this is the current revision; -1 for any."
        ),
    ] = -1,
    wait: Annotated[
        bool,
        typer.Option(
            "--wait", help="Wait until all entry hosts use the revision."
        ),
    ] = False,
    timeout_s: Annotated[
        float, typer.Option(help="Timeout of --wait, in seconds.")
    ] = 10.0,
) -> None:
    """Publish the merged settings as the next revision.

    Exit codes: 0 when the revision is accepted (with --wait: in use on every
    live entry host), 2 when the files are invalid, 4 when another operator
    published first, 5 when the store cannot be reached, 6 when the revision
    is accepted but not yet in use on every live entry host.
    """
    text = document.render(_load_settings(base, overlay).table)
    operator = who or getpass.getuser()
    _run(
        _publish(
            _Publication(
                store, host_list, prefix, text, operator, why, expect
            ),
            timeout_s if wait else 0.0,
        )
    )


@app.command()
def history(
    store: StoreUrl = "http://127.0.0.1:2379",
    prefix: KeyPrefix = DEFAULT_PREFIX,
) -> None:
    """List all revisions and verify the chain of digests.

    Exit codes: 0 on success, 1 when a revision is damaged or missing, 5 when
    the store cannot be reached.
    """

    async def read() -> list[Revision]:
        async with open_platform(store, store) as platform:
            return await revisions.read_history(platform.store, prefix)

    for revision in _run(read()):
        typer.echo(_format_revision(revision))


@app.command()
def show(
    revision: Annotated[int, typer.Argument(help="Number of the revision.")],
    store: StoreUrl = "http://127.0.0.1:2379",
    prefix: KeyPrefix = DEFAULT_PREFIX,
) -> None:
    """Print one revision of the settings.

    Exit codes: 0 on success, 1 when the revision does not exist, 5 when the
    store cannot be reached.
    """

    async def read() -> list[Revision]:
        async with open_platform(store, store) as platform:
            return await revisions.read_history(platform.store, prefix)

    for candidate in _run(read()):
        if candidate.number == revision:
            typer.echo(f"# {_format_revision(candidate)}")
            typer.echo(candidate.text, nl=False)
            return
    _exit_with_error(f"no such revision: {revision}", exit_codes.FAILED)


class _Publication:
    """The arguments of one run of the publish command.

    Attributes:
        store: base URL of the store.
        host_list: URL of the host list; empty to notify no entry hosts.
        prefix: prefix of every key in the store.
        text: the merged settings as TOML.
        who: the operator.
        why: the operator's reason.
        expect: number that the current revision must have; -1 for any.
    """

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


async def _publish(publication: _Publication, wait_s: float) -> None:
    """Publish the settings unless they are current, then notify entry hosts.

    Args:
        publication: the command's arguments.
        wait_s: how long to wait for the entry hosts; 0 to notify them once.
    """
    async with open_platform(
        publication.store, publication.host_list
    ) as platform:
        current = await revisions.read_current_revision(
            platform.store, publication.prefix
        )
        _check_expected(publication, current.revision)
        if current.revision and current.revision.text == publication.text:
            typer.echo(
                f"Revision {current.revision.number} has these settings "
                "already; nothing published."
            )
            accepted = current.revision
        else:
            candidate = revisions.next_revision(
                current.revision,
                publication.text,
                publication.who,
                publication.why,
                Clock().wall(),
            )
            accepted = await revisions.publish(
                platform.store, publication.prefix, current, candidate
            )
            typer.echo(f"Revision {accepted.number} is accepted.")
        if publication.host_list:
            await _notify_hosts(platform, accepted, wait_s)


def _check_expected(
    publication: _Publication, current: Revision | None
) -> None:
    """End the command unless the current revision is the expected one."""
    number = current.number if current else 0
    if publication.expect in (-1, number):
        return
    if current is None:
        _exit_with_error("no revision was published yet", exit_codes.CONFLICT)
    assert current is not None
    raise ConflictError(
        current, revisions.difference(current.text, publication.text)
    )


async def _notify_hosts(
    platform: Platform, accepted: Revision, wait_s: float
) -> None:
    """Send the revision to every live entry host, repeatedly when waiting."""
    try:
        listing = await platform.host_list.read()
    except HostListError as error:
        typer.echo(
            f"Entry hosts were not notified: cannot read the host list: "
            f"{error}",
            err=True,
        )
        if wait_s:
            raise typer.Exit(exit_codes.NOT_ON_ALL_HOSTS) from error
        return
    outdated = [h for h in listing.entry_hosts if h.state is HostState.LIVE]
    clock = Clock()
    ends_at = clock.now() + wait_s * MS_PER_S
    while True:
        outdated = await _offer(outdated, accepted)
        if not outdated or clock.now() >= ends_at:
            break
        await asyncio.sleep(seconds(WAIT_POLL_INTERVAL_MS))
    if not outdated:
        typer.echo(f"In use on {len(listing.entry_hosts)} entry hosts.")
        return
    names = ", ".join(h.name for h in outdated)
    typer.echo(
        f"Revision {accepted.number} is not yet in use on: {names}", err=True
    )
    if wait_s:
        raise typer.Exit(exit_codes.NOT_ON_ALL_HOSTS)


async def _offer(
    hosts: list[EntryHost], accepted: Revision
) -> list[EntryHost]:
    """Send the revision to all hosts concurrently.

    Returns:
        The hosts that still use an older revision or did not respond.
    """

    async def is_outdated(host: EntryHost) -> bool:
        try:
            number = await offer_settings(host, accepted, OFFER_TIMEOUT_MS)
        except PeerError:
            return True
        return number < accepted.number

    results = await asyncio.gather(*(is_outdated(h) for h in hosts))
    pairs = zip(hosts, results, strict=True)
    return [host for host, outdated in pairs if outdated]


def _load_settings(
    base: pathlib.Path, overlay: pathlib.Path | None
) -> Document:
    """Read, merge and validate the files; end the command on problems."""
    result = _read_and_validate(base, overlay)
    if isinstance(result, Failure):
        _exit_with_error(str(result.failure()), exit_codes.BAD_INPUT)
    return result.unwrap()


def _read_and_validate(
    base: pathlib.Path, overlay: pathlib.Path | None
) -> Result[Document, SettingsError]:
    @safe(exceptions=(SettingsError,))
    def read() -> Document:
        doc = checks.read_site(base, overlay)
        checks.validate_site(doc)
        return doc

    return read()


def _run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine and convert its errors to exit codes."""
    try:
        return asyncio.run(work)
    except ConflictError as error:
        _exit_with_error(f"{error}\n{error.difference}", exit_codes.CONFLICT)
    except HistoryError as error:
        _exit_with_error(str(error), exit_codes.FAILED)
    except StoreError as error:
        _exit_with_error(str(error), exit_codes.UNREACHABLE)
    raise AssertionError("unreachable")


def _exit_with_error(message: str, code: int) -> None:
    """End the command with a message and an exit code."""
    typer.echo(message, err=True)
    raise typer.Exit(code)


def _format_revision(revision: Revision) -> str:
    """Return a revision's number, time, operator, reason and short digest."""
    accepted_at = datetime.datetime.fromtimestamp(
        revision.at_ms / MS_PER_S, datetime.UTC
    )
    return (
        f"{revision.number} {accepted_at.isoformat(timespec='milliseconds')} "
        f"{revision.who}: {revision.why} [{revision.digest[:12]}]"
    )
