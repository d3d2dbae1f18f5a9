"""Entry host that load-balances requests using probes and a catalog."""
