"""``python -m soak``: run seeds and report those that violate an invariant."""

import asyncio
import pathlib
import sys
import tempfile
from typing import Annotated

import typer

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "platform"))

from soak.seed_run import run_seed  # noqa: E402


def main(
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of seeds to run.")
    ] = 50,
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seconds: Annotated[
        float,
        typer.Option(min=1.0, help="Seconds during which faults begin."),
    ] = 8.0,
    logs: Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder in which to keep the logs of the hosts."),
    ] = None,
) -> None:
    """Run seeds one after the other; exit code 1 if an invariant broke."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = logs / str(seed) if logs else pathlib.Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(run_seed(seed, seconds, folder))
        failed += bool(result.violations)
        counts = " ".join(
            f"{k}:{v}" for k, v in sorted(result.status_counts.items())
        )
        typer.echo(f"seed {seed}: {len(result.violations)} broken; {counts}")
        typer.echo(f"  {' '.join(result.fault_names)}")
        for violation in result.violations:
            typer.echo(f"  BROKEN {violation}")
    typer.echo(f"{seeds} seeds, {failed} with a broken invariant")
    if failed:
        raise typer.Exit(1)


typer.run(main)
