"""The command line interface: argument handling over the library."""
