"""Framed TCP and UDP end points for the internal protocol."""
