"""The agent of the datagram plane."""
