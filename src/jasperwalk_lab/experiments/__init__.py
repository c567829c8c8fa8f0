"""Experiments: variants of a fleet under the same load, repeated in alternation."""
