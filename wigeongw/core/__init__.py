"""Records, clocks, identifiers and errors shared by all other packages."""
