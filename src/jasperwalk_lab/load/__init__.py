"""The open-loop load generator: seeded arrivals on flows whose shares follow a Zipf law."""
