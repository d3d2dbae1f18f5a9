"""``wigeongw replay``: repeats the decisions of a recorded trace."""

import pathlib
from typing import Annotated

import typer

from wigeongw.commands import exit_codes
from wigeongw.decisions import trace
from wigeongw.decisions.trace import TraceError


def replay(
    file: Annotated[pathlib.Path, typer.Argument(help="A trace file.")],
) -> None:
    """Show where replayed decisions differ from the recorded ones.

    Exit codes: 0 when all decisions are the same, 1 when some differ, 2 when
    the file cannot be read or a line cannot be parsed.
    """
    try:
        with file.open(encoding="utf-8") as lines:
            differences = list(trace.replay(lines))
    except (OSError, TraceError) as error:
        typer.echo(f"{file}: {error}", err=True)
        raise typer.Exit(exit_codes.BAD_INPUT) from error
    for difference in differences:
        typer.echo(
            f"{file}:{difference.line}: {difference.call}: recorded "
            f"{difference.recorded}, replayed {difference.replayed}"
        )
    if differences:
        raise typer.Exit(exit_codes.FAILED)
    typer.echo("All decisions are the same.")
