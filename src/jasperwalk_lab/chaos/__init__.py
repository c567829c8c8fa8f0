"""Chaos runs: seeded faults in a running fleet under traffic, and a check of the records."""
