"""A layer-4 load balancer for many tenants on machines that may be lost at any moment."""
