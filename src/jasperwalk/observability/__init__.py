"""Logs, metrics, and the admin HTTP server that every daemon of the HTTP/3 plane has.

Nothing is imported here: a process that needs only logs does not load a web framework.
"""
