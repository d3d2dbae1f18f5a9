"""``wigeongw record``: what was sent where, when, under which settings."""

import datetime
import pathlib
import re
from typing import Annotated

import typer

from wigeongw.commands import exits
from wigeongw.core.clock import MS_PER_S

# A line of a part; what a collector put before it does not matter.
LINE = re.compile(r"(?:^|\s)[a-z]+: (at=.*)")


def record(
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Files with record lines.")
    ],
    request: Annotated[
        str, typer.Option(help="Only this request or pool.")
    ] = "",
    service: Annotated[str, typer.Option(help="Only this service.")] = "",
    upstream: Annotated[
        str, typer.Option(help="Only what went to this upstream or host.")
    ] = "",
    revision: Annotated[
        str, typer.Option(help="Only under this revision.")
    ] = "",
    since: Annotated[
        str, typer.Option(help="Only from this ISO time on (UTC).")
    ] = "",
    until: Annotated[
        str, typer.Option(help="Only before this ISO time (UTC).")
    ] = "",
) -> None:
    """Print the decisions that match, oldest first.

    Exit codes: 0, 1 when none matches, 2 when a file cannot be read or a
    time makes no sense.
    """
    wanted = {
        "id": request,
        "service": service,
        "to": upstream,
        "revision": revision,
    }
    first = _time(since, "--since") if since else float("-inf")
    last = _time(until, "--until") if until else float("inf")
    found: list[tuple[float, str]] = []
    for path in files:
        for line in _read(path):
            fields = parse(line)
            at = float(fields.get("at", "0"))
            fits = all(
                not value or fields.get(key) == value
                for key, value in wanted.items()
            )
            if fits and first <= at < last:
                found.append((at, line))
    for at, line in sorted(found):
        moment = datetime.datetime.fromtimestamp(at / MS_PER_S, datetime.UTC)
        typer.echo(f"{moment.isoformat(timespec='milliseconds')} {line}")
    if not found:
        raise typer.Exit(exits.FAILED)


def parse(line: str) -> dict[str, str]:
    """Read the fields of a part's line; empty for any other line."""
    found = LINE.search(line)
    if found is None:
        return {}
    pairs = (word.partition("=") for word in found[1].split())
    return {key: value for key, _, value in pairs}


def _read(path: pathlib.Path) -> list[str]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
        raise typer.Exit(exits.BAD_INPUT) from error
    return [line for line in text.splitlines() if parse(line)]


def _time(text: str, option: str) -> float:
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        typer.echo(f"{option}: expected an ISO time: {error}", err=True)
        raise typer.Exit(exits.BAD_INPUT) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp() * MS_PER_S
