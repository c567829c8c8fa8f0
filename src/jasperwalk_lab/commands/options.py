"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path

import click

from jasperwalk_lab.example import EXAMPLE_NAMES

example_option = click.option(
    "--example",
    type=click.Choice(EXAMPLE_NAMES),
    default=EXAMPLE_NAMES[0],
    show_default=True,
    help="Deployment to run.",
)
seed_option = click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of spraying and traffic."
)
runs_option = click.option(
    "--runs",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("run"),
    show_default=True,
    help="Folder under which the run's settings, data and logs go.",
)
