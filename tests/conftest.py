"""Shared set-up of all tests: hypothesis draws the same examples in every run."""

import hypothesis

pytest_plugins = ["pytester"]

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, database=None, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("repeatable")
