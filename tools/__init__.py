"""Tools for the development of the project."""
