"""``wigeongw model``: simulates a load under each balancing policy."""

from collections import Counter
from dataclasses import replace
import pathlib
from typing import Annotated

import typer

from wigeongw.commands import exit_codes
from wigeongw.model import load_file
from wigeongw.model.load_file import LoadFileError
from wigeongw.model.policies import POLICIES
from wigeongw.model.simulation import Load
from wigeongw.model.simulation import Result
from wigeongw.model.simulation import Simulation

OUTCOMES = ("on time", "late", "refused", "failed", "turned away")
MAX_BAR_LENGTH = 40
# Factors on the request rate of the load file; each one is simulated.
RATE_FACTORS = (0.5, 0.75, 1.0, 1.25)


def model(
    file: Annotated[
        pathlib.Path, typer.Argument(help="TOML file that defines a load.")
    ],
    policy: Annotated[
        list[str] | None,
        typer.Option(help="Simulate this policy only; may be repeated."),
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of seeds to simulate.")
    ] = 3,
) -> None:
    """Simulate a load on modelled upstreams and show the request outcomes.

    Exit codes: 0 on success, 2 when the file is invalid or a policy is
    unknown.
    """
    try:
        load = load_file.read(file)
    except LoadFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(exit_codes.BAD_INPUT) from error
    names = policy or sorted(POLICIES)
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        known = ", ".join(sorted(POLICIES))
        typer.echo(
            f"unknown policy {unknown[0]!r}; expected one of {known}", err=True
        )
        raise typer.Exit(exit_codes.BAD_INPUT)
    typer.echo(_format_row("policy", "per_s", OUTCOMES) + "  on time")
    for name in names:
        for factor in RATE_FACTORS:
            _simulate(name, replace(load, per_s=load.per_s * factor), seeds)


def _simulate(name: str, load: Load, seeds: int) -> None:
    """Simulate a policy with each seed and print a row of the totals."""
    total: Counter[str] = Counter()
    for seed in range(1, seeds + 1):
        total.update(Simulation(load, name, seed).run().ended)
    result = Result(total)
    shares = tuple(f"{result.share(outcome):.3f}" for outcome in OUTCOMES)
    bar = "#" * round(MAX_BAR_LENGTH * result.share("on time"))
    typer.echo(_format_row(name, f"{load.per_s:.0f}", shares) + f"  {bar}")


def _format_row(name: str, per_s: str, cells: tuple[str, ...]) -> str:
    return f"{name:16} {per_s:>7}" + "".join(f"{c:>12}" for c in cells)
