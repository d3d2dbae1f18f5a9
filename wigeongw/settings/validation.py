"""Validates settings documents and reports all problems together."""

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
from wigeongw.settings.document import KeyPath
from wigeongw.settings.errors import Problem
from wigeongw.settings.errors import SettingsError
from wigeongw.settings.schema import HostSettings
from wigeongw.settings.schema import Settings

T = TypeVar("T")

SITE_ADAPTER = TypeAdapter(Settings)
HOST_ADAPTER = TypeAdapter(HostSettings)
# The error type that pydantic reports for an undefined key.
UNKNOWN_KEY_TYPE = "unexpected_keyword_argument"


def validate_site(doc: Document) -> Settings:
    """Validate the settings of a site.

    Args:
        doc: the base document with the overlay merged in.

    Raises:
        SettingsError: with every problem found.
    """
    settings = _validate(SITE_ADAPTER, Settings, doc)
    problems = _duplicate_path_prefixes(settings, doc)
    if problems:
        raise SettingsError(problems)
    return settings


def validate_host(doc: Document) -> HostSettings:
    """Validate the startup settings of an entry host.

    Raises:
        SettingsError: with every problem found.
    """
    return _validate(HOST_ADAPTER, HostSettings, doc)


def read_site(base: pathlib.Path, overlay: pathlib.Path | None) -> Document:
    """Read a base file and merge an overlay file into it, if there is one.

    Raises:
        SettingsError: with the problems of both files.
    """
    documents: list[Document] = []
    problems: list[Problem] = []
    for path in (base, overlay):
        if path is None:
            continue
        try:
            documents.append(document.read(path))
        except SettingsError as error:
            problems.extend(error.problems)
    if problems:
        raise SettingsError(problems)
    if len(documents) == 1:
        return documents[0]
    return document.merge(documents[0], documents[1])


def validate_text(text: str, name: str) -> Settings:
    """Parse and validate the text of a settings revision.

    Args:
        text: the merged settings as TOML.
        name: the document name to use in problem reports.

    Raises:
        SettingsError: with every problem found.
    """
    return validate_site(document.parse(text, name))


def _validate(adapter: TypeAdapter[T], model: Any, doc: Document) -> T:
    try:
        return adapter.validate_python(doc.table)
    except ValidationError as error:
        problems = [_problem_from(e, model, doc) for e in error.errors()]
        raise SettingsError(problems) from error


def _problem_from(error: Any, model: Any, doc: Document) -> Problem:
    """Convert a pydantic error to a problem that names file and key."""
    path = tuple(str(part) for part in error["loc"] if part != "[key]")
    if error["type"] == UNKNOWN_KEY_TYPE:
        message = _unknown_key_message(path, model)
    else:
        message = f"expected: {error['msg']}, found {error['input']!r}"
        if error["type"] == "missing":
            message = "expected a value, found none"
    return Problem(doc.origin(path), ".".join(path), message)


def _unknown_key_message(path: KeyPath, model: Any) -> str:
    known_keys = _known_keys(model, path[:-1])
    matches = difflib.get_close_matches(path[-1], known_keys, n=1)
    if matches:
        return f"unknown key; did you mean {matches[0]}?"
    return "unknown key; expected one of " + ", ".join(sorted(known_keys))


def _known_keys(model: Any, path: KeyPath) -> list[str]:
    """Return the keys that the model defines for the table at a path."""
    kind = model
    for part in path:
        if is_dataclass(kind):
            kind = get_type_hints(kind).get(part)
        else:
            kind = _value_dataclass(kind)
    return [f.name for f in fields(kind)] if is_dataclass(kind) else []


def _value_dataclass(kind: Any) -> Any:
    """Return the dataclass that a mapping type has as its value type."""
    return next((a for a in get_args(kind) if is_dataclass(a)), None)


def _duplicate_path_prefixes(
    settings: Settings, doc: Document
) -> list[Problem]:
    """Return a problem for each path prefix that two services declare."""
    service_by_prefix: dict[str, str] = {}
    problems: list[Problem] = []
    for service, service_settings in settings.services.items():
        for prefix in service_settings.paths:
            if prefix in service_by_prefix:
                path = ("services", service, "paths")
                message = (
                    f"expected unique path prefixes, but {prefix} belongs to "
                    f"{service_by_prefix[prefix]} already"
                )
                problems.append(
                    Problem(doc.origin(path), ".".join(path), message)
                )
            service_by_prefix.setdefault(prefix, service)
    return problems
