"""Logs, metrics, and the admin HTTP server of the daemons of the HTTP/3 plane.

Nothing is imported here: a process that needs only logs does not load a web framework.
"""
