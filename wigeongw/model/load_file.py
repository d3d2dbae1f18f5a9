"""Reads the parameters of a simulation from a TOML file."""

from dataclasses import fields
from dataclasses import replace
import pathlib
import tomllib
from typing import Any

from wigeongw.core.errors import WigeongwError
from wigeongw.model.simulated_upstream import Machines
from wigeongw.model.simulation import Load

MACHINES = "machines"


class LoadFileError(WigeongwError):
    """A load file is invalid; the message has one line per problem."""


def read(path: pathlib.Path) -> Load:
    """Read a load file.

    The keys of the file are the fields of ``Load``; the keys of its table
    ``machines`` are the fields of ``Machines``. Missing keys have their
    default values.

    Args:
        path: the TOML file.

    Raises:
        LoadFileError: if the file cannot be read or has invalid keys or
            values; the message names the file, the key and the expected
            value of every problem.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise LoadFileError(f"{path}: {error}") from error
    problems: list[str] = []
    machines = document.pop(MACHINES, {})
    load = _with_values(Load(per_s=0.0), document, f"{path}", problems)
    if not isinstance(machines, dict):
        problems.append(f"{path}: {MACHINES}: expected a table")
    else:
        place = f"{path}: {MACHINES}"
        found_machines = _with_values(Machines(), machines, place, problems)
        load = replace(load, machines=found_machines)
    if load.per_s <= 0:
        problems.append(f"{path}: per_s: expected a number > 0")
    if problems:
        raise LoadFileError("\n".join(problems))
    return load


def _with_values(
    defaults: Any, table: dict[str, Any], place: str, problems: list[str]
) -> Any:
    """Return a copy of a record with the values of a table.

    Args:
        defaults: the record that supplies the missing values.
        table: the table that was read from the file.
        place: prefix of the error messages.
        problems: receives an error message for each invalid key or value.
    """
    known_keys = {f.name for f in fields(defaults)} - {MACHINES}
    values = {}
    for key, value in table.items():
        if key not in known_keys:
            problems.append(f"{place}: {key}: unknown key")
            continue
        expected = type(getattr(defaults, key))
        if expected is float and type(value) is int:
            value = float(value)
        if type(value) is not expected or (expected is not bool and value < 0):
            expected_text = (
                "true or false" if expected is bool else "a number >= 0"
            )
            problems.append(f"{place}: {key}: expected {expected_text}")
            continue
        values[key] = value
    return replace(defaults, **values)
