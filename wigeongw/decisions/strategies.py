"""Builds the sharing strategy that the settings name.

Importing this module registers all strategies.
"""

from wigeongw.decisions.holder import Holder
from wigeongw.decisions.local_strategies import LocalStrategy
from wigeongw.decisions.sharing import build

__all__ = ("build", "Holder", "LocalStrategy")
