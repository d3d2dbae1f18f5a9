"""The command line: thin programs over the library."""
