"""Decisions as pure code: no I/O, no clock and no randomness of its own."""
