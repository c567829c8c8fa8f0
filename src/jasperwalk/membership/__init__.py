"""Liveness of hosts: the platform's list, heartbeats and incarnations."""
