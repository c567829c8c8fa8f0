"""The balancer of the datagram plane."""
