"""The scale run: real control, a few real nodes, thousands of hollow ones."""
