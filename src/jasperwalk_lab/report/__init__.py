"""Renders the results of an experiment as one self-contained HTML page."""
