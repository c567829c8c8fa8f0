"""`jasperwalk-lab experiment` and `jasperwalk-lab report`."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator
from pathlib import Path

import click

from jasperwalk_lab.commands.options import runs_option
from jasperwalk_lab.commands.running import run_stoppable
from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.experiments.definition import load_experiment
from jasperwalk_lab.experiments.run import run_experiment
from jasperwalk_lab.fleet import make_run_folder
from jasperwalk_lab.report.page import write_report

EXIT_VIOLATED = 1
EXIT_UNUSABLE = 2


@contextlib.contextmanager
def exit_on_unusable_file() -> Iterator[None]:
    """Exit with one line and status 2 where a file can't be used."""
    try:
        yield
    except LabSettingsError as error:
        click.echo(f"jasperwalk-lab: {error.kind}: {error.describe()}", err=True)
        sys.exit(EXIT_UNUSABLE)


@click.group("experiment")
def experiment() -> None:
    """Compare variants of dispatching under the same load."""


@experiment.command("run")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@runs_option
def run(file: Path, runs: Path) -> None:
    """Run the experiment FILE (TOML); print the result folder last.

    Exit status 0; 1 when a run of the product's balancers broke a promise or a process ended
    unexpectedly (baselines break flows by design); 2 when FILE can't be used.
    """
    with exit_on_unusable_file():
        loaded = load_experiment(file)
    folder = make_run_folder(runs, f"experiment-{loaded.name}")
    definition = file.read_text(encoding="utf-8")
    lines = run_stoppable(
        run_experiment(loaded, definition, folder, lambda line: click.echo(line, err=True))
    )
    click.echo(folder)
    if any((line.product and line.violations) or line.processes_ended for line in lines):
        sys.exit(EXIT_VIOLATED)


@click.command("report")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def report(folder: Path) -> None:
    """Write FOLDER/report.html, one self-contained page, from an experiment's results."""
    with exit_on_unusable_file():
        click.echo(write_report(folder))
