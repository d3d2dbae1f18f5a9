"""Mistakes in settings, collected so that all are shown at once."""

from collections.abc import Sequence
from dataclasses import dataclass

from wigeongw.core.errors import WigeongwError


@dataclass(frozen=True, slots=True)
class Mistake:
    """One thing that is wrong, and where.

    Attributes:
        file: the file it stands in.
        key: dotted path of the key; empty when the whole file is at fault.
        expected: what would have been right.
    """

    file: str
    key: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.expected}"


class SettingsError(WigeongwError):
    """Settings that cannot be used, with every mistake found."""

    def __init__(self, mistakes: Sequence[Mistake]) -> None:
        self.mistakes = tuple(mistakes)
        super().__init__("\n".join(str(m) for m in self.mistakes))
