"""Plays real hosts through faults drawn from a seed; checks promises."""
