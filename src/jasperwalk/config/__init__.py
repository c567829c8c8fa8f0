"""Templates, tenants, their rendering and the routing table that results."""
