"""``wigeongw record``: searches decision log files."""

import datetime
import pathlib
import re
from typing import Annotated

import typer

from wigeongw.commands import exit_codes
from wigeongw.core.clock import MS_PER_S

# A line of the decision log: a prefix such as "route:" and key=value fields.
# Log collectors may have put text of their own before the prefix.
LINE = re.compile(r"(?:^|\s)[a-z]+: (at=.*)")


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

    With a request, the last return of the store from an older copy that each
    of its hosts had learned of is printed as well.

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
    decisions: list[tuple[float, str]] = []
    returns: list[tuple[float, str]] = []
    for path in files:
        for line in _read_lines(path):
            fields = parse(line)
            at_ms = float(fields.get("at", "0"))
            if fields.get("event") == "era" and "keeps_revision" in fields:
                returns.append((at_ms, line))
            is_match = all(
                not value or fields.get(key) == value
                for key, value in wanted.items()
            )
            if is_match and since_ms <= at_ms < until_ms:
                decisions.append((at_ms, line))
    if request:
        decisions = [*_returns_before(decisions, returns), *decisions]
    for at_ms, line in sorted(decisions):
        time = datetime.datetime.fromtimestamp(at_ms / MS_PER_S, datetime.UTC)
        typer.echo(f"{time.isoformat(timespec='milliseconds')} {line}")
    if not decisions:
        raise typer.Exit(exit_codes.FAILED)


def parse(line: str) -> dict[str, str]:
    """Return the fields of a decision log line; empty for any other line."""
    match = LINE.search(line)
    if match is None:
        return {}
    pairs = (word.partition("=") for word in match[1].split())
    return {key: value for key, _, value in pairs}


def _returns_before(
    decisions: list[tuple[float, str]], returns: list[tuple[float, str]]
) -> list[tuple[float, str]]:
    """Return each host's last return of the store before its decisions."""
    first_at: dict[str, float] = {}
    for at_ms, line in sorted(decisions, reverse=True):
        first_at[parse(line).get("host", "")] = at_ms
    last: dict[str, tuple[float, str]] = {}
    for at_ms, line in sorted(returns):
        host = parse(line).get("host", "")
        if at_ms <= first_at.get(host, float("-inf")):
            last[host] = (at_ms, line)
    return list(last.values())


def _read_lines(path: pathlib.Path) -> list[str]:
    """Return the decision log lines of a file."""
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        typer.echo(f"{path}: cannot read: {error.strerror}", err=True)
        raise typer.Exit(exit_codes.BAD_INPUT) from error
    return [line for line in text.splitlines() if parse(line)]


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
