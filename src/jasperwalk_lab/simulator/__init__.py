"""A deterministic simulator: the product's own code on virtual time, under seeded faults."""
