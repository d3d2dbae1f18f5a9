"""Reads a load to play from a TOML file."""

from dataclasses import fields
from dataclasses import replace
import pathlib
import tomllib
from typing import Any

from wigeongw.core.errors import WigeongwError
from wigeongw.model.play import Load
from wigeongw.model.upstreams import Machines

MACHINES = "machines"


class LoadFileError(WigeongwError):
    """The file cannot be used; every mistake is named with its key."""


def read(path: pathlib.Path) -> Load:
    """Read a load; keys are the fields of ``Load`` and ``Machines``.

    Raises:
        LoadFileError: naming the file and every mistake.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise LoadFileError(f"{path}: {error}") from error
    mistakes: list[str] = []
    machines = document.pop(MACHINES, {})
    load = _filled(Load(per_s=0.0), document, f"{path}", mistakes)
    if not isinstance(machines, dict):
        mistakes.append(f"{path}: {MACHINES}: expected a table")
    else:
        place = f"{path}: {MACHINES}"
        found = _filled(Machines(), machines, place, mistakes)
        load = replace(load, machines=found)
    if load.per_s <= 0:
        mistakes.append(f"{path}: per_s: expected a number above 0")
    if mistakes:
        raise LoadFileError("\n".join(mistakes))
    return load


def _filled(
    usual: Any, table: dict[str, Any], place: str, mistakes: list[str]
) -> Any:
    """Return a record with a table's values in place of the usual ones."""
    known = {f.name for f in fields(usual)} - {MACHINES}
    values = {}
    for key, value in table.items():
        if key not in known:
            mistakes.append(f"{place}: {key}: no such key")
            continue
        expected = type(getattr(usual, key))
        if expected is float and type(value) is int:
            value = float(value)
        if type(value) is not expected or (expected is not bool and value < 0):
            wanted = "true or false" if expected is bool else "a number from 0"
            mistakes.append(f"{place}: {key}: expected {wanted}")
            continue
        values[key] = value
    return replace(usual, **values)
