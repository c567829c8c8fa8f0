"""Transports between processes: framed TCP with mutual TLS, and a small HTTP/1.1 server."""
