"""Randomized soak test of the datagram plane: real processes, injected faults, checked promises."""
