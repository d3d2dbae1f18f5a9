"""Validation problems and the error that reports all of them together."""

from collections.abc import Sequence
from dataclasses import dataclass

from wigeongw.core.errors import WigeongwError


@dataclass(frozen=True, slots=True)
class Problem:
    """One reason why a settings document is rejected.

    Attributes:
        file: path or name of the document.
        key: dotted path of the key; empty when the whole document is
            rejected.
        message: what is wrong or which value is expected.
    """

    file: str
    key: str
    message: str

    def __str__(self) -> str:
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: {self.message}"


class SettingsError(WigeongwError):
    """The settings are invalid.

    Attributes:
        problems: every problem found, in the order of detection.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(str(p) for p in self.problems))
