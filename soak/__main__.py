"""``python -m soak``: play seeds and show which broke a promise."""

import asyncio
import pathlib
import sys
import tempfile
from typing import Annotated

import typer

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "platform"))

from soak.play import play  # noqa: E402


def main(
    seeds: Annotated[int, typer.Option(min=1, help="How many.")] = 50,
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=1.0, help="How long faults strike.")
    ] = 8.0,
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="Keep the hosts' logs here.")
    ] = None,
) -> None:
    """Play seeds one after the other; exit code 1 if one broke a promise."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = logs / str(seed) if logs else pathlib.Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            found = asyncio.run(play(seed, seconds, folder))
        failed += bool(found.broken)
        ended = " ".join(f"{k}:{v}" for k, v in sorted(found.ended.items()))
        typer.echo(f"seed {seed}: {len(found.broken)} broken; {ended}")
        typer.echo(f"  {' '.join(found.struck)}")
        for what in found.broken:
            typer.echo(f"  BROKEN {what}")
    typer.echo(f"{seeds} seeds, {failed} with a broken promise")
    if failed:
        raise typer.Exit(1)


typer.run(main)
