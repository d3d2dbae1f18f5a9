"""Implementations of the ports, including in-memory ones for tests."""
