"""Templates and tenants, their rendering into services, and the resulting routing table."""
