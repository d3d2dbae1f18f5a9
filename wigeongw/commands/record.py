"""``wigeongw record``: searches decision log files."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import pathlib
from typing import Annotated

import typer

from wigeongw.commands import exit_codes
from wigeongw.commands.record_context import context_of
from wigeongw.commands.record_context import is_context
from wigeongw.commands.record_context import LogLine
from wigeongw.commands.record_context import read_line
from wigeongw.core.clock import MS_PER_S


def record(
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Files with decision log lines."),
    ],
    request: Annotated[
        str, typer.Option(help="Only decisions on this request or pool.")
    ] = "",
    service: Annotated[
        str, typer.Option(help="Only decisions on this service.")
    ] = "",
    upstream: Annotated[
        str, typer.Option(help="Only decisions for this upstream or host.")
    ] = "",
    revision: Annotated[
        str,
        typer.Option(help="Only decisions under this settings revision."),
    ] = "",
    since: Annotated[
        str,
        typer.Option(help="Only decisions from this ISO time on (UTC)."),
    ] = "",
    until: Annotated[
        str, typer.Option(help="Only decisions before this ISO time (UTC).")
    ] = "",
) -> None:
    """Print the decisions that match all given options, oldest first.

    With a request, what its hosts had logged of faults before is printed as
    well: the store lost, regained or back from an older copy, entries that
    cannot be read, tasks that failed.

    Exit codes: 0 when some match, 1 when none matches, 2 when a file cannot
    be read or a time is invalid.
    """
    wanted = {
        "id": request,
        "service": service,
        "to": upstream,
        "revision": revision,
    }
    since_ms = _parse_time(since, "--since") if since else float("-inf")
    until_ms = _parse_time(until, "--until") if until else float("inf")
    found: list[LogLine] = []
    possible_context: list[LogLine] = []
    for line in _read_lines(files):
        if _has_fields(line, wanted) and since_ms <= line.at_ms < until_ms:
            found.append(line)
        elif request and is_context(line):
            possible_context.append(line)
    context = context_of(found, possible_context)
    for line in sorted([*context, *found], key=lambda shown: shown.at_ms):
        time = datetime.datetime.fromtimestamp(
            line.at_ms / MS_PER_S, datetime.UTC
        )
        typer.echo(f"{time.isoformat(timespec='milliseconds')} {line.text}")
    if not found:
        raise typer.Exit(exit_codes.FAILED)


def _has_fields(line: LogLine, wanted: dict[str, str]) -> bool:
    """Return whether a line has the wanted values; empty ones match all."""
    return all(
        not value or line.fields.get(key) == value
        for key, value in wanted.items()
    )


def _read_lines(paths: Iterable[pathlib.Path]) -> Iterator[LogLine]:
    """Yield the decision log lines of files."""
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from filter(None, map(read_line, file))
        except OSError as error:
            typer.echo(f"{path}: cannot read: {error.strerror}", err=True)
            raise typer.Exit(exit_codes.BAD_INPUT) from error


def _parse_time(text: str, option: str) -> float:
    """Return an ISO time as milliseconds since 1970; UTC without an offset."""
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        typer.echo(f"{option}: expected an ISO 8601 time: {error}", err=True)
        raise typer.Exit(exit_codes.BAD_INPUT) from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.timestamp() * MS_PER_S
