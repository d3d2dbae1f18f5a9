"""``wigeongw replay``: make a recorded trace's decisions again."""

import pathlib
from typing import Annotated

import typer

from wigeongw.commands import exits
from wigeongw.decisions import trace
from wigeongw.decisions.trace import TraceError


def replay(
    file: Annotated[pathlib.Path, typer.Argument(help="A trace file.")],
) -> None:
    """Show where today's decisions differ from a trace's.

    Exit codes: 0 when all are the same, 1 when some differ, 2 when the file
    cannot be read or a line makes no sense.
    """
    try:
        with file.open(encoding="utf-8") as lines:
            differences = list(trace.replay(lines))
    except (OSError, TraceError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(exits.BAD_INPUT) from error
    for found in differences:
        typer.echo(
            f"{file}:{found.line}: {found.call}: recorded "
            f"{found.recorded}, replayed {found.replayed}"
        )
    if differences:
        raise typer.Exit(exits.FAILED)
    typer.echo("All decisions are the same.")
