"""Benchmarks: `python -m bench` measures each figure beside its baseline in the same run."""
