"""Chaos: seeded faults in a running fleet under traffic, and a check of what was recorded."""
