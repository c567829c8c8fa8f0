"""Deterministic simulation: runs the product's own code on virtual time, under seeded faults."""
