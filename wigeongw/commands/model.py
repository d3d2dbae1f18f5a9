"""``wigeongw model``: what callers would get under a load, by policy."""

from collections import Counter
from dataclasses import replace
import pathlib
from typing import Annotated

import typer

from wigeongw.commands import exits
from wigeongw.model import load_file
from wigeongw.model.load_file import LoadFileError
from wigeongw.model.play import Load
from wigeongw.model.play import Play
from wigeongw.model.play import Result
from wigeongw.model.policies import POLICIES

ENDS = ("on time", "late", "refused", "failed", "turned away")
BAR_LENGTH = 40
# Parts of the load that are played one after the other.
STEPS = (0.5, 0.75, 1.0, 1.25)


def model(
    file: Annotated[pathlib.Path, typer.Argument(help="A load in TOML.")],
    policy: Annotated[
        list[str] | None, typer.Option(help="Only these policies.")
    ] = None,
    seeds: Annotated[
        int, typer.Option(min=1, help="How many seeds to play.")
    ] = 3,
) -> None:
    """Play a load on modelled upstreams and show what callers get.

    Exit codes: 0, 2 when the file cannot be used or a policy is unknown.
    """
    try:
        load = load_file.read(file)
    except LoadFileError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(exits.BAD_INPUT) from error
    names = policy or sorted(POLICIES)
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        known = ", ".join(sorted(POLICIES))
        typer.echo(f"no policy {unknown[0]!r}; there are {known}", err=True)
        raise typer.Exit(exits.BAD_INPUT)
    typer.echo(_line("policy", "per_s", ENDS) + "  on time")
    for name in names:
        for step in STEPS:
            _show(name, replace(load, per_s=load.per_s * step), seeds)


def _show(name: str, load: Load, seeds: int) -> None:
    total: Counter[str] = Counter()
    for seed in range(1, seeds + 1):
        total.update(Play(load, name, seed).run().ended)
    result = Result(total)
    shares = tuple(f"{result.share(end):.3f}" for end in ENDS)
    bar = "#" * round(BAR_LENGTH * result.share("on time"))
    typer.echo(_line(name, f"{load.per_s:.0f}", shares) + f"  {bar}")


def _line(name: str, per_s: str, cells: tuple[str, ...]) -> str:
    return f"{name:16} {per_s:>7}" + "".join(f"{c:>12}" for c in cells)
