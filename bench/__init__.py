"""Benchmarks: `python -m bench` measures each figure and its baseline in the same run."""
