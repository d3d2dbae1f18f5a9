"""Operators' settings: read, merged, checked and kept as revisions."""
