"""Interfaces to external systems: store, host list, peers and upstreams."""
