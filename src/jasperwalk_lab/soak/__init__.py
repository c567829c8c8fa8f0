"""A randomized soak of the datagram plane: real processes, faults from outside, checks."""
