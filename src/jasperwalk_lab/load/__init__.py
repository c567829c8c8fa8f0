"""The open-loop load tool: seeded arrivals on flows of tenants whose sizes follow Zipf."""
