"""Checks a document against the model and gathers every mistake."""

from dataclasses import fields
from dataclasses import is_dataclass
import difflib
import pathlib
from typing import Any
from typing import get_args
from typing import get_type_hints
from typing import TypeVar

from pydantic import TypeAdapter
from pydantic import ValidationError

from wigeongw.settings import document
from wigeongw.settings.document import Document
from wigeongw.settings.document import Path
from wigeongw.settings.errors import Mistake
from wigeongw.settings.errors import SettingsError
from wigeongw.settings.model import HostSettings
from wigeongw.settings.model import Settings

T = TypeVar("T")

SITE = TypeAdapter(Settings)
HOST = TypeAdapter(HostSettings)
UNKNOWN_KEY = "unexpected_keyword_argument"


def site_settings(doc: Document) -> Settings:
    """Check a merged document.

    Raises:
        SettingsError: with every mistake found.
    """
    settings = _validate(SITE, Settings, doc)
    mistakes = _shared_paths(settings, doc)
    if mistakes:
        raise SettingsError(mistakes)
    return settings


def host_settings(doc: Document) -> HostSettings:
    """Check the file that an entry host starts with.

    Raises:
        SettingsError: with every mistake found.
    """
    return _validate(HOST, HostSettings, doc)


def read_site(base: pathlib.Path, overlay: pathlib.Path | None) -> Document:
    """Read a base file and, where given, an overlay over it.

    Raises:
        SettingsError: with the mistakes of both files.
    """
    documents: list[Document] = []
    mistakes: list[Mistake] = []
    for path in (base, overlay):
        if path is None:
            continue
        try:
            documents.append(document.read(path))
        except SettingsError as error:
            mistakes.extend(error.mistakes)
    if mistakes:
        raise SettingsError(mistakes)
    if len(documents) == 1:
        return documents[0]
    return document.merge(documents[0], documents[1])


def from_text(text: str, name: str) -> Settings:
    """Check the text of a revision.

    Raises:
        SettingsError: with every mistake found.
    """
    return site_settings(document.parse(text, name))


def _validate(adapter: TypeAdapter[T], model: Any, doc: Document) -> T:
    try:
        return adapter.validate_python(doc.table)
    except ValidationError as error:
        found = [_mistake(e, model, doc) for e in error.errors()]
        raise SettingsError(found) from error


def _mistake(error: Any, model: Any, doc: Document) -> Mistake:
    path = tuple(str(part) for part in error["loc"] if part != "[key]")
    if error["type"] == UNKNOWN_KEY:
        expected = _unknown(path, model)
    else:
        expected = f"expected: {error['msg']}, found {error['input']!r}"
        if error["type"] == "missing":
            expected = "expected a value, found none"
    return Mistake(doc.origin(path), ".".join(path), expected)


def _unknown(path: Path, model: Any) -> str:
    known = _known_keys(model, path[:-1])
    near = difflib.get_close_matches(path[-1], known, n=1)
    if near:
        return f"unknown key; did you mean {near[0]}?"
    return "unknown key; expected one of " + ", ".join(sorted(known))


def _known_keys(model: Any, path: Path) -> list[str]:
    """Walk the model along a path and return the keys known there."""
    here = model
    for part in path:
        if is_dataclass(here):
            here = get_type_hints(here).get(part)
        else:
            here = _dataclass_in(here)
    return [f.name for f in fields(here)] if is_dataclass(here) else []


def _dataclass_in(kind: Any) -> Any:
    """Return the value type of a mapping to data classes."""
    return next((a for a in get_args(kind) if is_dataclass(a)), None)


def _shared_paths(settings: Settings, doc: Document) -> list[Mistake]:
    owners: dict[str, str] = {}
    mistakes: list[Mistake] = []
    for service, its in settings.services.items():
        for prefix in its.paths:
            if prefix in owners:
                path = ("services", service, "paths")
                expected = (
                    f"expected paths of its own, but {prefix} belongs to "
                    f"{owners[prefix]} already"
                )
                mistakes.append(
                    Mistake(doc.origin(path), ".".join(path), expected)
                )
            owners.setdefault(prefix, service)
    return mistakes
