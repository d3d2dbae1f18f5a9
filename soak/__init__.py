"""Runs real entry hosts under seeded random faults and checks invariants."""
