"""Reads, merges and writes TOML settings documents.

A document keeps, for each key, the name of the file that the key was read
from. Problems in a merged document are therefore reported against the file
that the operator has to edit.
"""

from collections.abc import Mapping
from dataclasses import dataclass
import json
import pathlib
import tomllib
from typing import Any

from wigeongw.settings.errors import Problem
from wigeongw.settings.errors import SettingsError

Table = dict[str, Any]
KeyPath = tuple[str, ...]


@dataclass(frozen=True)
class Document:
    """A parsed settings document.

    Attributes:
        table: the values.
        origins: the file that each key path was read from.
        name: the file to report for a key path that has no origin.
    """

    table: Table
    origins: Mapping[KeyPath, str]
    name: str

    def origin(self, path: KeyPath) -> str:
        """Return the file of a key path, or of its nearest known parent."""
        while path:
            if path in self.origins:
                return self.origins[path]
            path = path[:-1]
        return self.name


def parse(text: str, name: str) -> Document:
    """Parse TOML text.

    Args:
        text: the TOML text.
        name: the file name to use in problem reports.

    Raises:
        SettingsError: when the text is not valid TOML.
    """
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        problem = Problem(name, "", f"expected valid TOML: {error}")
        raise SettingsError([problem]) from error
    return Document(table, dict.fromkeys(_key_paths(table), name), name)


def read(path: pathlib.Path) -> Document:
    """Read a TOML file.

    Raises:
        SettingsError: when the file cannot be read or is not valid TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(str(path), "", f"expected a readable file: {error}")
        raise SettingsError([problem]) from error
    return parse(text, str(path))


def merge(base: Document, overlay: Document) -> Document:
    """Merge an overlay into a base.

    Tables are merged recursively; any other value of the overlay replaces
    the value of the base.
    """
    table = _merge_tables(base.table, overlay.table)
    origins = {**base.origins, **overlay.origins}
    return Document(table, origins, overlay.name)


def render(table: Table) -> str:
    """Return a table as TOML with sorted keys.

    Equal tables give the same text.
    """
    lines: list[str] = []
    _render_table(table, (), lines)
    return "\n".join(lines) + "\n"


def _key_paths(table: Table, parent: KeyPath = ()) -> list[KeyPath]:
    """Return the paths of all keys in a table and its subtables."""
    paths: list[KeyPath] = []
    for key, value in table.items():
        path = (*parent, key)
        paths.append(path)
        if isinstance(value, dict):
            paths.extend(_key_paths(value, path))
    return paths


def _merge_tables(base: Table, overlay: Table) -> Table:
    merged = dict(base)
    for key, value in overlay.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = _merge_tables(base_value, value)
        else:
            merged[key] = value
    return merged


def _render_table(table: Table, path: KeyPath, lines: list[str]) -> None:
    """Append a table's values, then its subtables, to lines."""
    values = {k: v for k, v in table.items() if not isinstance(v, dict)}
    subtables = {k: v for k, v in table.items() if isinstance(v, dict)}
    if path and (values or not subtables):
        if lines:
            lines.append("")
        lines.append("[" + ".".join(_render_key(k) for k in path) + "]")
    for key in sorted(values):
        lines.append(f"{_render_key(key)} = {_render_value(values[key])}")
    for key in sorted(subtables):
        _render_table(subtables[key], (*path, key), lines)


def _render_key(key: str) -> str:
    """Return a key, quoted unless TOML allows it as a bare key."""
    bare = key.replace("-", "").replace("_", "")
    return key if bare.isalnum() and bare.isascii() else json.dumps(key)


def _render_value(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_render_value(v) for v in value) + "]"
    if isinstance(value, dict):
        pairs = (
            f"{_render_key(k)} = {_render_value(v)}" for k, v in value.items()
        )
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, bool | str):
        return json.dumps(value, ensure_ascii=False)
    return str(value)
