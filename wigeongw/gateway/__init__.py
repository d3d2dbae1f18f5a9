"""An entry host that places by probes and learns its site from a catalog."""
