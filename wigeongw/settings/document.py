"""Reads TOML files, lays an overlay over a base and writes TOML back.

Each key remembers the file it came from, so that a mistake in a merged
document is reported where the operator can mend it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
import json
import pathlib
import tomllib
from typing import Any

from wigeongw.settings.errors import Mistake
from wigeongw.settings.errors import SettingsError

Table = dict[str, Any]
Path = tuple[str, ...]


@dataclass(frozen=True)
class Document:
    """A parsed document.

    Attributes:
        table: the values.
        origins: the file that each key path came from.
        name: the file named for whatever has no origin of its own.
    """

    table: Table
    origins: Mapping[Path, str]
    name: str

    def origin(self, path: Path) -> str:
        """Return the file of a key path, or of its nearest parent."""
        while path:
            if path in self.origins:
                return self.origins[path]
            path = path[:-1]
        return self.name


def parse(text: str, name: str) -> Document:
    """Parse TOML text.

    Args:
        text: the document.
        name: what to call it in errors.

    Raises:
        SettingsError: when it is not TOML.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        mistake = Mistake(name, "", f"expected valid TOML: {error}")
        raise SettingsError([mistake]) from error
    return Document(table, dict.fromkeys(_paths(table), name), name)


def read(path: pathlib.Path) -> Document:
    """Read a TOML file.

    Raises:
        SettingsError: when it cannot be read or is not TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        mistake = Mistake(str(path), "", f"expected a readable file: {error}")
        raise SettingsError([mistake]) from error
    return parse(text, str(path))


def merge(base: Document, overlay: Document) -> Document:
    """Lay an overlay over a base: tables merge, anything else replaces."""
    table = _merge_tables(base.table, overlay.table)
    origins = {**base.origins, **overlay.origins}
    return Document(table, origins, overlay.name)


def render(table: Table) -> str:
    """Write a table as TOML with sorted keys, the same for equal tables."""
    lines: list[str] = []
    _render_table(table, (), lines)
    return "\n".join(lines) + "\n"


def _paths(table: Table, above: Path = ()) -> list[Path]:
    found: list[Path] = []
    for key, value in table.items():
        here = (*above, key)
        found.append(here)
        if isinstance(value, dict):
            found.extend(_paths(value, here))
    return found


def _merge_tables(base: Table, overlay: Table) -> Table:
    merged = dict(base)
    for key, value in overlay.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            merged[key] = _merge_tables(below, value)
        else:
            merged[key] = value
    return merged


def _render_table(table: Table, above: Path, lines: list[str]) -> None:
    plain = {k: v for k, v in table.items() if not isinstance(v, dict)}
    tables = {k: v for k, v in table.items() if isinstance(v, dict)}
    if above and (plain or not tables):
        if lines:
            lines.append("")
        lines.append("[" + ".".join(_render_key(k) for k in above) + "]")
    for key in sorted(plain):
        lines.append(f"{_render_key(key)} = {_render_value(plain[key])}")
    for key in sorted(tables):
        _render_table(tables[key], (*above, key), lines)


def _render_key(key: str) -> str:
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
