"""Builds the way of sharing that the settings name.

Importing this module registers every way there is.
"""

from wigeongw.decisions.holder import Holder
from wigeongw.decisions.local_sharing import LocalSharing
from wigeongw.decisions.sharing import build

__all__ = ("build", "Holder", "LocalSharing")
