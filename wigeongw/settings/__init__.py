"""Operators' settings: model, validation, merging and revision history."""
