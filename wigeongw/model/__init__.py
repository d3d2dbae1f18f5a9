"""Simulation of upstreams and load, to compare placement policies quickly."""
